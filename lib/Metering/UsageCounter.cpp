#include "mulberrywall/Metering/UsageCounter.h"

#include "UsageCodec.h"

#include <random>
#include <utility>

namespace mulberrywall::metering
{

static TrueTime systemTime()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

static std::uint64_t makeIncarnation()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

UsageCounter::UsageCounter(UsageCounterOptions options)
    : UsageCounter(std::move(options), support::BootClock::now(), systemTime(), makeIncarnation())
{
}

UsageCounter::UsageCounter(UsageCounterOptions options, BootTime startedAt, TrueTime systemTimeAtStart, std::uint64_t incarnation)
    : options_(std::move(options)),
      incarnation_(incarnation),
      clock_(startedAt, systemTimeAtStart, options_.clock),
      counts_(windowOf(systemTimeAtStart, options_.window), options_.counts)
{
}

void UsageCounter::recordStart(const support::OrganisationId &organisation)
{
    recordStart(organisation, support::BootClock::now());
}

void UsageCounter::recordStart(const support::OrganisationId &organisation, BootTime now)
{
    if (organisation.empty() || organisation.value().size() > maxNameBytes) {
        return;
    }
    const std::scoped_lock lock(mutex_);
    counts_.recordStart(organisation, windowOf(clock_.now(now), options_.window));
}

template <typename Change>
void UsageCounter::changeDemand(const support::PoolId &pool, const Change &change)
{
    if (pool.empty() || pool.value().size() > maxNameBytes) {
        return;
    }
    const std::scoped_lock lock(mutex_);
    auto found = demand_.find(pool);
    if (found == demand_.end()) {
        if (demand_.size() >= options_.maxPools) {
            return;
        }
        found = demand_.emplace(pool, PoolDemand {.pool = pool}).first;
    }
    change(found->second);
}

void UsageCounter::recordAccepted(const support::PoolId &pool, std::uint64_t prefillTokens)
{
    changeDemand(pool, [prefillTokens](PoolDemand &demand) {
        ++demand.requestsStarted;
        demand.promptTokensAccepted += prefillTokens;
    });
}

void UsageCounter::recordRefused(const support::PoolId &pool, std::uint64_t promptTokens)
{
    changeDemand(pool, [promptTokens](PoolDemand &demand) {
        ++demand.requestsRefused;
        demand.promptTokensRefused += promptTokens;
    });
}

void UsageCounter::recordOutput(const support::PoolId &pool, std::uint64_t tokens)
{
    changeDemand(pool, [tokens](PoolDemand &demand) { demand.outputTokens += tokens; });
}

void UsageCounter::closeWindows(BootTime now)
{
    const std::scoped_lock lock(mutex_);
    if (clock_.isSettled(now)) {
        counts_.closeBefore(windowOf(clock_.now(now) - options_.closeDelay, options_.window));
    }
}

void UsageCounter::closeAllWindows(BootTime now)
{
    const std::scoped_lock lock(mutex_);
    counts_.closeBefore(windowOf(clock_.now(now), options_.window) + 1);
}

void UsageCounter::recordRouterClock(const support::InstanceId &router, TrueTime sentAt, BootTime receivedAt)
{
    const std::scoped_lock lock(mutex_);
    clock_.recordRouterClock(router, sentAt, receivedAt);
}

void UsageCounter::recordCandidateClock(const support::InstanceId &candidate, TrueTime sentAt, unsigned clocks, BootTime receivedAt)
{
    const std::scoped_lock lock(mutex_);
    clock_.recordCandidateClock(candidate, sentAt, clocks, receivedAt);
}

UsageMessage UsageCounter::message(BootTime now) const
{
    const std::scoped_lock lock(mutex_);
    UsageMessage message {.instance = options_.instance,
        .dataCentre = options_.dataCentre,
        .incarnation = incarnation_,
        .anchoredTime = clock_.anchored(now),
        .firstWindow = counts_.firstWindow(),
        .windows = counts_.windows()};
    for (const auto &[pool, demand] : demand_) {
        message.demand.push_back(demand);
    }
    return message;
}

TrueTime UsageCounter::now(BootTime now) const
{
    const std::scoped_lock lock(mutex_);
    return clock_.now(now);
}

bool UsageCounter::isSettled(BootTime now) const
{
    const std::scoped_lock lock(mutex_);
    return clock_.isSettled(now);
}

unsigned UsageCounter::clocks() const
{
    const std::scoped_lock lock(mutex_);
    return clock_.clocks();
}

WindowNumber UsageCounter::openWindow(BootTime now) const
{
    return windowOf(this->now(now), options_.window);
}

std::uint64_t UsageCounter::uncounted() const
{
    const std::scoped_lock lock(mutex_);
    return counts_.uncounted();
}

} // namespace mulberrywall::metering
