#include "KeyDisruptions.h"

#include "KeyCallers.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

namespace mulberrywall::withdrawnkeys
{

using platform::ScriptedStore;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds longerThanLease = revocationLimit + milliseconds(700);
constexpr milliseconds shorterThanLease {600};
constexpr milliseconds calmTime {300};

std::size_t draw(std::minstd_rand &generator, std::size_t number)
{
    return std::uniform_int_distribution<std::size_t>(0, number - 1)(generator);
}

std::string drawOrganisation(std::minstd_rand &generator)
{
    return draw(generator, 2) == 0 ? "first" : "second";
}

/// Removes the key from all organisations. Returns whether one had it.
bool removeKey(Organisations &organisations, const std::string &key)
{
    std::size_t removed = 0;
    for (auto &[name, keys] : organisations) {
        removed += keys.erase(key);
    }
    return removed > 0;
}

void addKey(Organisations &organisations, const std::string &key, std::minstd_rand &generator)
{
    organisations[drawOrganisation(generator)].insert(key);
}

} // namespace

std::string_view toString(DisruptionKind kind)
{
    switch (kind) {
    case DisruptionKind::Kill:
        return "kill";
    case DisruptionKind::Stop:
        return "stop";
    case DisruptionKind::Pause:
        return "pause";
    case DisruptionKind::Reload:
        return "reload";
    case DisruptionKind::SilentForOne:
        return "silent for one";
    case DisruptionKind::SilentForAll:
        return "silent for all";
    }
    return "unknown";
}

std::vector<Disruption> makeDisruptions(std::uint64_t seed)
{
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(seed));
    std::vector<Disruption> result {
        {.kind = DisruptionKind::Kill, .duration = calmTime},
        {.kind = DisruptionKind::Stop, .duration = calmTime},
        {.kind = DisruptionKind::Pause, .duration = shorterThanLease},
        {.kind = DisruptionKind::Pause, .duration = longerThanLease},
        {.kind = DisruptionKind::Reload, .duration = calmTime},
        {.kind = DisruptionKind::SilentForOne, .duration = longerThanLease},
        {.kind = DisruptionKind::SilentForAll, .duration = longerThanLease},
    };
    for (Disruption &disruption : result) {
        disruption.router = draw(generator, routerCount);
    }
    std::shuffle(result.begin(), result.end(), generator);
    return result;
}

void carryOut(RouterPair &pair, const Disruption &disruption)
{
    const std::size_t router = disruption.router;
    switch (disruption.kind) {
    case DisruptionKind::Kill:
        pair.restart(router, SIGKILL);
        std::this_thread::sleep_for(disruption.duration);
        return;
    case DisruptionKind::Stop:
        pair.restart(router, SIGTERM);
        std::this_thread::sleep_for(disruption.duration);
        return;
    case DisruptionKind::Pause:
        pair.sendSignal(router, SIGSTOP);
        std::this_thread::sleep_for(disruption.duration);
        pair.sendSignal(router, SIGCONT);
        return;
    case DisruptionKind::Reload:
        pair.reloadSettings(router);
        std::this_thread::sleep_for(disruption.duration);
        return;
    case DisruptionKind::SilentForOne:
        pair.storeOf(router).setService(ScriptedStore::Service::Silent);
        std::this_thread::sleep_for(disruption.duration);
        pair.storeOf(router).setService(ScriptedStore::Service::Normal);
        return;
    case DisruptionKind::SilentForAll:
        for (std::size_t each = 0; each < routerCount; ++each) {
            pair.storeOf(each).setService(ScriptedStore::Service::Silent);
        }
        std::this_thread::sleep_for(disruption.duration);
        for (std::size_t each = 0; each < routerCount; ++each) {
            pair.storeOf(each).setService(ScriptedStore::Service::Normal);
        }
        return;
    }
}

std::optional<Organisations> changeKeys(const std::optional<Organisations> &current, std::minstd_rand &generator)
{
    if (!current || current->empty()) {
        return Organisations {{drawOrganisation(generator), {makeKey(draw(generator, keyCount))}}};
    }
    Organisations changed = *current;
    const std::string key = makeKey(draw(generator, keyCount));
    // Of twelve changes, eight concern one key.
    switch (draw(generator, 12)) {
    case 0:
        return std::nullopt;
    case 1:
        return Organisations {};
    case 2:
        changed.begin()->second.clear();
        return changed;
    case 3:
        changed.erase(changed.begin());
        return changed;
    default:
        break;
    }
    const bool wasKey = removeKey(changed, key);
    // Half of the known keys are dropped; the others get an organisation, which may be the one before.
    if (!wasKey || draw(generator, 2) == 0) {
        addKey(changed, key, generator);
    }
    return changed;
}

} // namespace mulberrywall::withdrawnkeys
