#include "KeyCallers.h"
#include "KeyDisruptions.h"
#include "KeyHistory.h"
#include "PlantedFaults.h"
#include "RouterPair.h"

#include "Harness/Wait.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <numeric>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// WithdrawnKeys: which keys work, while versions of the configuration add, move and drop them beside disruptions.
namespace mulberrywall::withdrawnkeys
{

using std::chrono::milliseconds;

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned unauthorized = 401;

/// Seeds of the run in CI.
constexpr std::uint64_t regularSeeds[] = {1, 2, 3};
/// Seed of the runs with planted faults.
constexpr std::uint64_t faultSeed = 1;

constexpr milliseconds shortestChangeInterval {60};
constexpr milliseconds longestChangeInterval {500};
/// Time after a withdrawal for which callers go on, longer than the limit.
constexpr milliseconds watchTime = revocationLimit + milliseconds(400);

/// Returns the seeds. MULBERRYWALL_KEY_SEEDS=<number> replaces the regular ones by 1 to that number.
std::vector<std::uint64_t> keySeeds()
{
    const char *setting = std::getenv("MULBERRYWALL_KEY_SEEDS");
    if (setting == nullptr) {
        return {std::begin(regularSeeds), std::end(regularSeeds)};
    }
    const std::string_view text(setting);
    std::size_t number = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), number).ec != std::errc()) {
        throw std::invalid_argument("MULBERRYWALL_KEY_SEEDS does not contain a number");
    }
    std::vector<std::uint64_t> seeds(number);
    std::iota(seeds.begin(), seeds.end(), 1);
    return seeds;
}

/// The operator, who writes a changed version again and again until the object is destroyed.
class Operator
{
public:
    Operator(RouterPair &pair, std::uint64_t seed)
        : thread_([this, &pair, seed] { run(pair, seed); })
    {
    }
    Operator(const Operator &) = delete;
    Operator &operator=(const Operator &) = delete;
    Operator(Operator &&) = delete;
    Operator &operator=(Operator &&) = delete;
    ~Operator()
    {
        stopping_ = true;
        thread_.join();
    }

private:
    void run(RouterPair &pair, std::uint64_t seed)
    {
        std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(seed));
        std::uniform_int_distribution<milliseconds::rep> interval(shortestChangeInterval.count(), longestChangeInterval.count());
        while (!stopping_) {
            pair.write(changeKeys(pair.newest(), generator));
            std::this_thread::sleep_for(milliseconds(interval(generator)));
        }
    }

    std::atomic<bool> stopping_ {false};
    std::thread thread_;
};

unsigned requestStatus(const RouterPair &pair, std::size_t router, const std::string &key)
{
    static std::atomic<unsigned> number {0};
    const RouterAddress &address = pair.address(router);
    harness::Call call {.address = address.ip,
        .port = address.port,
        .target = "/safe/x",
        .headers = {{"Host", "h"}, {"Mulberrywall-Request-Id", "probe-" + std::to_string(++number)}, {"Mulberrywall-Deadline-Ms", "4000"}}};
    if (!key.empty()) {
        call.headers.emplace_back("Authorization", "Bearer " + key);
    }
    return harness::send(call).status;
}

void waitForStatus(const RouterPair &pair, const std::string &key, unsigned status)
{
    for (std::size_t router = 0; router < routerCount; ++router) {
        harness::waitUntil("router " + std::to_string(router) + " responds to key '" + key + "' with " + std::to_string(status),
            [&] { return requestStatus(pair, router, key) == status; });
    }
}

/// Versions after the disruptions, each as long as a router may use the one before: the last organisation goes, and then the list.
void withdrawAll(RouterPair &pair)
{
    pair.write(Organisations {{"first", {makeKey(0), makeKey(1)}}});
    std::this_thread::sleep_for(watchTime);
    pair.write(Organisations {});
    std::this_thread::sleep_for(watchTime);
    pair.write(std::nullopt);
    std::this_thread::sleep_for(watchTime);
}

/// Returns all that happened, while callers with all keys went on during the disruptions and the versions after them.
KeyHistory play(RouterPair &pair, std::uint64_t seed)
{
    const auto earlierRuns = static_cast<std::ptrdiff_t>(pair.history().runs.size());
    KeyCallers callers(pair, seed);
    {
        const Operator changes(pair, seed);
        for (const Disruption &disruption : makeDisruptions(seed)) {
            std::cout << toString(disruption.kind) << " router " << disruption.router << ", " << disruption.duration.count() << " ms" << std::endl;
            carryOut(pair, disruption);
        }
    }
    withdrawAll(pair);
    const std::vector<CallerRecord> &requests = callers.stop();
    KeyHistory history = pair.history();
    history.runs.erase(history.runs.begin(), history.runs.begin() + earlierRuns);
    history.requests = requests;
    return history;
}

std::size_t countStatus(const KeyHistory &history, unsigned status)
{
    return static_cast<std::size_t>(
        std::count_if(history.requests.begin(), history.requests.end(), [status](const CallerRecord &request) { return request.status == status; }));
}

void printCounts(const KeyHistory &history)
{
    std::map<unsigned, std::size_t> counts;
    for (const CallerRecord &request : history.requests) {
        ++counts[request.status];
    }
    std::cout << history.versions.size() << " versions, " << history.runs.size() << " runs\n";
    for (const auto &[status, number] : counts) {
        std::cout << number << " requests: status " << status << '\n';
    }
}

} // namespace

class WithdrawnKeys : public testing::TestWithParam<std::uint64_t>
{
};

/// Guards against routers that accept a key later than the limit after a version has taken it away, or one that never was, and against
/// routers that reject a key which is there.
TEST_P(WithdrawnKeys, NeverRunLaterThanTheLimit)
{
    RouterPair pair({});
    waitForStatus(pair, makeKey(0), ok);
    const KeyHistory history = play(pair, GetParam());
    printCounts(history);
    for (const std::string &violation : findViolations(history, revocationLimit)) {
        ADD_FAILURE() << violation;
    }
    // A run in which hardly anything was served, or rejected, shows nothing.
    constexpr std::size_t fewRequests = 100;
    EXPECT_GT(countStatus(history, ok), fewRequests);
    EXPECT_GT(countStatus(history, unauthorized), fewRequests);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WithdrawnKeys, testing::ValuesIn(keySeeds()), [](const auto &info) { return std::to_string(info.param); });

class WithdrawnKeysFault : public testing::TestWithParam<std::size_t>
{
};

/// Guards the check itself: it finds each planted fault.
TEST_P(WithdrawnKeysFault, IsFound)
{
    RouterPair pair(makePlantedFaults().at(GetParam()).options);
    waitForStatus(pair, makeKey(0), ok);
    const KeyHistory history = play(pair, faultSeed);
    printCounts(history);
    const std::vector<std::string> violations = findViolations(history, revocationLimit);
    EXPECT_FALSE(violations.empty());
    std::cout << violations.size() << " violations, the first one: " << (violations.empty() ? "none" : violations.front()) << '\n';
}

INSTANTIATE_TEST_SUITE_P(Planted, WithdrawnKeysFault, testing::Range<std::size_t>(0, makePlantedFaults().size()), [](const auto &info) {
    return std::string(makePlantedFaults().at(info.param).name);
});

/// Guards against a router that rejects the callers of a deployment whose configuration has no organisations, and against one that
/// takes such a configuration for a permission to use any key.
TEST(KeylessDeployment, ServesRequestsWithoutAKeyOnly)
{
    RouterPair pair({});
    pair.write(std::nullopt);
    waitForStatus(pair, "", ok);
    EXPECT_EQ(requestStatus(pair, 0, makeKey(0)), unauthorized);
    EXPECT_EQ(requestStatus(pair, 1, "key-that-never-was"), unauthorized);
    pair.write(Organisations {});
    waitForStatus(pair, "", unauthorized);
    pair.write(Organisations {{"first", {makeKey(0)}}});
    waitForStatus(pair, makeKey(0), ok);
    EXPECT_EQ(requestStatus(pair, 0, ""), unauthorized);
}

/// Guards against a router that, cut off from the store, gets no versions from its peers, so that the runs above would show nothing
/// about versions that are passed on.
TEST(PassedOnVersion, WithdrawsAKeyAtARouterWithoutTheStore)
{
    RouterPair pair({});
    waitForStatus(pair, makeKey(0), ok);
    pair.storeOf(1).setService(platform::ScriptedStore::Service::Silent);
    std::this_thread::sleep_for(watchTime);
    harness::waitUntil("a peer confirms the version in force", [&] { return requestStatus(pair, 1, makeKey(0)) == ok; });
    pair.write(Organisations {{"first", {makeKey(1)}}});
    harness::waitUntil("the withdrawn key is rejected", [&] { return requestStatus(pair, 1, makeKey(0)) == unauthorized; });
    harness::waitUntil("the other key is served", [&] { return requestStatus(pair, 1, makeKey(1)) == ok; });
}

} // namespace mulberrywall::withdrawnkeys
