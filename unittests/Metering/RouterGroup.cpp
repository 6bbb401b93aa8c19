#include "RouterGroup.h"

#include "UsageCodec.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace mulberrywall::metering
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds stepLength {10};
constexpr milliseconds sendInterval {400};
constexpr milliseconds holderInterval {100};
/// Time until the membership removes a router.
constexpr milliseconds detectionTime {2'000};
/// Lease of 3 s and a wait of half of it.
constexpr milliseconds takeOverTime {4'500};
constexpr TrueTime startTime {milliseconds(1'765'000'001'234)};
const std::array<std::pair<std::string, double>, 3> organisations {{{"large", 0.5}, {"middle", 0.3}, {"small", 0.2}}};

} // namespace

RouterGroup::RouterGroup(const RouterGroupOptions &options)
    : options_(options),
      random_(options.seed),
      now_(startTime),
      routers_(options.routers),
      partitioned_(options.dataCentres, false)
{
    for (std::size_t index = 0; index < routers_.size(); ++index) {
        routers_[index].instance = support::InstanceId("router-" + std::to_string(index));
        routers_[index].dataCentre = index % options.dataCentres;
        startProcess(index);
    }
}

BootTime RouterGroup::bootTime() const
{
    return BootTime(now_.time_since_epoch());
}

bool RouterGroup::chance(double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
}

void RouterGroup::startProcess(std::size_t index)
{
    Router &router = routers_[index];
    const milliseconds error = index < options_.clockErrors.size() ? options_.clockErrors[index] : milliseconds(0);
    router.counter = std::make_unique<UsageCounter>(
        UsageCounterOptions {.instance = router.instance, .dataCentre = support::DataCentreId("dc"), .window = window}, bootTime(), now_ + error, random_());
    router.ledger = UsageLedger();
    router.queue = ReportQueue();
    router.acknowledged.clear();
    router.sendPhase = stepLength * std::uniform_int_distribution<int>(0, (sendInterval / stepLength) - 1)(random_);
    router.alive = true;
    if (index == holder_) {
        holderStarted_ = false;
        holderStartsAt_ = std::max(holderStartsAt_, now_ + takeOverTime);
    }
}

void RouterGroup::kill(std::size_t router)
{
    routers_[router].alive = false;
    routers_[router].killedAt = now_;
}

void RouterGroup::restart(std::size_t router)
{
    startProcess(router);
}

void RouterGroup::setPartitioned(std::size_t dataCentre, bool partitioned)
{
    partitioned_[dataCentre] = partitioned;
}

void RouterGroup::setApiSilent(bool silent)
{
    apiSilent_ = silent;
}

void RouterGroup::killHolderAfterStoring()
{
    killAfterStoring_ = true;
}

void RouterGroup::killHolderAfterSending()
{
    killAfterSending_ = true;
}

void RouterGroup::run(milliseconds duration)
{
    for (const TrueTime end = now_ + duration; now_ < end;) {
        step();
    }
}

void RouterGroup::step()
{
    now_ += stepLength;
    while (!packets_.empty() && packets_.begin()->first <= now_) {
        const Packet packet = std::move(packets_.extract(packets_.begin()).mapped());
        deliver(packet);
    }
    for (std::size_t index = 0; index < routers_.size(); ++index) {
        if (!routers_[index].alive) {
            continue;
        }
        serve(routers_[index]);
        if (now_.time_since_epoch() % sendInterval == (startTime.time_since_epoch() + routers_[index].sendPhase) % sendInterval) {
            sendCounts(index);
        }
    }
    if ((now_ - startTime) % holderInterval == milliseconds(0)) {
        stepHolder();
    }
}

void RouterGroup::serve(Router &router)
{
    const double seconds = std::chrono::duration<double>(stepLength).count();
    for (const auto &[name, share] : organisations) {
        if (chance(options_.requestRate * share * seconds)) {
            router.counter->recordStart(support::OrganisationId(name), bootTime());
            ++truth_[windowOf(now_, window)][name];
        }
    }
}

std::vector<std::size_t> RouterGroup::candidates() const
{
    constexpr std::size_t maximum = 3;
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < routers_.size() && result.size() < maximum; ++index) {
        if (routers_[index].alive || now_ - routers_[index].killedAt < detectionTime) {
            result.push_back(index);
        }
    }
    return result;
}

bool RouterGroup::isConnected(std::size_t from, std::size_t to) const
{
    const std::size_t source = routers_[from].dataCentre;
    const std::size_t target = routers_[to].dataCentre;
    return source == target || (!partitioned_[source] && !partitioned_[target]);
}

std::vector<support::InstanceId> RouterGroup::liveRouters(std::size_t viewer) const
{
    std::vector<support::InstanceId> result;
    for (std::size_t index = 0; index < routers_.size(); ++index) {
        const bool seen = routers_[index].alive ? isConnected(viewer, index) : now_ - routers_[index].killedAt < detectionTime;
        if (seen) {
            result.push_back(routers_[index].instance);
        }
    }
    return result;
}

void RouterGroup::sendCounts(std::size_t index)
{
    Router &router = routers_[index];
    router.counter->closeWindows(bootTime());
    UsageMessage message = router.counter->message(bootTime());
    message.sequence = ++router.sequence;
    for (const std::size_t candidate : candidates()) {
        if (candidate == index) {
            router.ledger.advance(router.counter->openWindow(bootTime()));
            router.ledger.record(message, bootTime());
            continue;
        }
        UsageMessage part = message;
        part.windows = router.acknowledged[candidate].lacking(message.windows);
        if (part.windows.empty()) {
            continue;
        }
        for (const auto &datagram : encode(part, 1'200)) {
            post(index, candidate, datagram);
        }
    }
}

void RouterGroup::post(std::size_t from, std::size_t to, const std::vector<std::uint8_t> &payload)
{
    const int copies = chance(options_.duplicateProbability) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const milliseconds delay(std::uniform_int_distribution<std::int64_t>(0, options_.maxDelay.count())(random_));
        if (isConnected(from, to) && !chance(options_.lossProbability)) {
            packets_.emplace(now_ + delay, Packet {.from = from, .to = to, .payload = payload});
        }
    }
}

void RouterGroup::deliver(const Packet &packet)
{
    Router &receiver = routers_[packet.to];
    const auto datagram = decodeUsageDatagram(packet.payload);
    if (!receiver.alive || !datagram) {
        return;
    }
    if (const auto *message = std::get_if<UsageMessage>(&*datagram)) {
        if (options_.exchangesClocks) {
            receiver.counter->recordRouterClock(message->instance, message->anchoredTime, bootTime());
        }
        receiver.ledger.advance(receiver.counter->openWindow(bootTime()));
        receiver.ledger.record(*message, bootTime());
        post(packet.to,
            packet.from,
            encode(UsageAcknowledgement {.instance = receiver.instance,
                .incarnation = receiver.counter->incarnation(),
                .countsIncarnation = message->incarnation,
                .time = receiver.counter->now(bootTime()),
                .clocks = static_cast<std::uint16_t>(receiver.counter->clocks()),
                .windows = receiver.ledger.progress(message->instance, message->incarnation)}));
        return;
    }
    const auto &acknowledgement = std::get<UsageAcknowledgement>(*datagram);
    if (acknowledgement.countsIncarnation == receiver.counter->incarnation()) {
        receiver.acknowledged[packet.from].record(acknowledgement);
        receiver.counter->recordCandidateClock(acknowledgement.instance, acknowledgement.time, acknowledgement.clocks, bootTime());
    }
}

void RouterGroup::stepHolder()
{
    if (!routers_[holder_].alive) {
        const auto next = std::find_if(routers_.begin(), routers_.end(), [](const Router &router) { return router.alive; });
        if (next == routers_.end()) {
            return;
        }
        holder_ = static_cast<std::size_t>(next - routers_.begin());
        holderStarted_ = false;
        holderStartsAt_ = now_ + takeOverTime;
    }
    if (now_ < holderStartsAt_) {
        return;
    }
    if (!std::exchange(holderStarted_, true)) {
        takeOver(holder_);
    }
    Router &router = routers_[holder_];
    if (!router.counter->isSettled(bootTime())) {
        return;
    }
    const TrueTime time = router.counter->now(bootTime());
    const ReportScheduleOptions schedule {.window = window};
    for (const WindowNumber number : decideWindows(router.ledger, liveRouters(holder_), router.queue.highestDecided(), time, schedule).assemble) {
        router.queue.add(assembleReport(number, router.ledger.counts(number)));
    }
    storeAndSend(router);
}

void RouterGroup::takeOver(std::size_t router)
{
    StoredReports stored;
    if (!options_.successorIgnoresStore) {
        stored.highestWindow = highestStored_;
        for (const auto &[number, body] : rows_) {
            stored.reports.push_back({.window = number, .body = body});
        }
    }
    routers_[router].queue.begin(stored);
}

void RouterGroup::storeAndSend(Router &router)
{
    const TrueTime time = router.counter->now(bootTime());
    if (const auto batch = router.queue.takeBatch(time)) {
        for (const UsageReport &report : batch->put) {
            rows_[report.window] = report.body;
        }
        for (const WindowNumber number : batch->remove) {
            rows_.erase(number);
        }
        highestStored_ = batch->highestWindow;
        if (std::exchange(killAfterStoring_, false)) {
            kill(holder_);
            return;
        }
        router.queue.onStored(StoreOutcome::Stored, time);
    }
    if (const auto call = router.queue.takeCall(time)) {
        const SendOutcome outcome = callApi(call->report);
        if (outcome != SendOutcome::Unknown && std::exchange(killAfterSending_, false)) {
            kill(holder_);
            return;
        }
        router.queue.onSent(outcome, time);
    }
}

SendOutcome RouterGroup::callApi(const UsageReport &report)
{
    ++calls_;
    if (apiSilent_) {
        return SendOutcome::Unknown;
    }
    accepted_[report.window].push_back({.body = report.body, .at = now_});
    return chance(options_.responseLossProbability) ? SendOutcome::Unknown : SendOutcome::Accepted;
}

WindowNumber RouterGroup::openWindow() const
{
    return windowOf(now_, window);
}

std::size_t RouterGroup::holder() const
{
    return holder_;
}

std::vector<std::string> RouterGroup::accepted(WindowNumber number) const
{
    std::vector<std::string> bodies;
    const auto found = accepted_.find(number);
    for (const Call &call : found == accepted_.end() ? std::vector<Call>() : found->second) {
        if (std::find(bodies.begin(), bodies.end(), call.body) == bodies.end()) {
            bodies.push_back(call.body);
        }
    }
    return bodies;
}

std::size_t RouterGroup::conflicts() const
{
    return static_cast<std::size_t>(std::count_if(accepted_.begin(), accepted_.end(), [this](const auto &entry) { return accepted(entry.first).size() > 1; }));
}

double RouterGroup::worstError(WindowNumber number) const
{
    const auto calls = accepted_.find(number);
    if (calls == accepted_.end() || calls->second.front().at > dueTime(number, {.window = window})) {
        return 1.0;
    }
    const auto counts = boost::json::parse(calls->second.front().body).at("counts").as_object();
    double worst = 0.0;
    for (const auto &[name, requests] : truth_.at(number)) {
        const auto *reported = counts.if_contains(name);
        const double value = reported == nullptr ? 0.0 : reported->to_number<double>();
        worst = std::max(worst, std::abs(value - static_cast<double>(requests)) / static_cast<double>(requests));
    }
    return worst;
}

} // namespace mulberrywall::metering
