#include "mulberrywall/Policy/DemandMeter.h"

#include <algorithm>
#include <optional>

namespace mulberrywall::policy
{

namespace
{

using Seconds = std::chrono::duration<double>;
using Sample = DemandMeter::Sample;

bool isBehind(const DemandCounters &counters, const DemandCounters &latest)
{
    return counters.requestsStarted < latest.requestsStarted || counters.requestsRefused < latest.requestsRefused || counters.outputTokens < latest.outputTokens
        || counters.acceptedPromptTokens < latest.acceptedPromptTokens || counters.refusedPromptTokens < latest.refusedPromptTokens;
}

bool isBehind(const DemandReport &report, const Sample &latest)
{
    return std::any_of(report.pools.begin(), report.pools.end(), [&](const auto &entry) {
        const auto known = latest.pools.find(entry.first);
        return known != latest.pools.end() && isBehind(entry.second, known->second);
    });
}

DemandCounters countersOf(const Sample &sample, const support::PoolId &pool)
{
    const auto found = sample.pools.find(pool);
    return found == sample.pools.end() ? DemandCounters() : found->second;
}

/// Returns the latest sample that was received at the given time or before, or nullptr.
const Sample *sampleAt(const DemandMeter::Router &router, TimePoint time)
{
    const auto later = std::find_if(router.samples.begin(), router.samples.end(), [time](const Sample &sample) { return sample.receivedAt > time; });
    return later == router.samples.begin() ? nullptr : &*std::prev(later);
}

/// Returns the time at whose end the rates of a router are computed: now, or the latest report of a router that has fallen
/// silent and is probably cut off.
TimePoint endOfRates(const DemandMeterOptions &options, const DemandMeter::Router &router, TimePoint now)
{
    const TimePoint latest = router.samples.back().receivedAt;
    const auto silent = now - latest;
    return silent > options.silence && silent <= options.silenceHold ? latest : now;
}

DemandRates ratesBetween(const DemandCounters &earlier, const DemandCounters &later, Seconds time)
{
    const auto rate = [time](std::uint64_t first, std::uint64_t last) {
        return static_cast<double>(last - first) / time.count();
    };
    return {.acceptedPromptTokens = rate(earlier.acceptedPromptTokens, later.acceptedPromptTokens),
        .refusedPromptTokens = rate(earlier.refusedPromptTokens, later.refusedPromptTokens),
        .outputTokens = rate(earlier.outputTokens, later.outputTokens),
        .requestsStarted = rate(earlier.requestsStarted, later.requestsStarted),
        .requestsRefused = rate(earlier.requestsRefused, later.requestsRefused),
        .waiting = static_cast<double>(later.waiting)};
}

/// Returns the rates of a router over the window, or nothing if it has been known for less.
std::optional<DemandRates> routerRates(const DemandMeter &meter, const DemandMeter::Router &router, const support::PoolId &pool, TimePoint now)
{
    const TimePoint end = endOfRates(meter.options, router, now);
    const Sample *first = sampleAt(router, end - meter.options.window);
    if (first == nullptr) {
        return std::nullopt;
    }
    const Sample &last = router.samples.back();
    // A router that was idle has sent no report for long, but its counters were the same until just before the window.
    const auto time = std::clamp<TimePoint::duration>(
        last.receivedAt - first->receivedAt, TimePoint::duration(meter.options.window) / 2, meter.options.window + meter.options.silence);
    return ratesBetween(countersOf(*first, pool), countersOf(last, pool), time);
}

void addRates(DemandRates &sum, const DemandRates &rates)
{
    sum.acceptedPromptTokens += rates.acceptedPromptTokens;
    sum.refusedPromptTokens += rates.refusedPromptTokens;
    sum.outputTokens += rates.outputTokens;
    sum.requestsStarted += rates.requestsStarted;
    sum.requestsRefused += rates.requestsRefused;
    sum.waiting += rates.waiting;
}

void scaleRates(DemandRates &rates, double factor)
{
    rates.acceptedPromptTokens *= factor;
    rates.refusedPromptTokens *= factor;
    rates.outputTokens *= factor;
    rates.requestsStarted *= factor;
    rates.requestsRefused *= factor;
    rates.waiting *= factor;
}

} // namespace

void recordDemand(DemandMeter &meter, const DemandReport &report, TimePoint now)
{
    DemandMeter::Router &router = meter.routers[report.router];
    if (router.incarnation != report.incarnation) {
        router = {.incarnation = report.incarnation};
    }
    router.dataCentre = report.dataCentre;
    if (!router.samples.empty() && isBehind(report, router.samples.back())) {
        return;
    }
    router.samples.push_back({.receivedAt = now, .pools = report.pools});
    // One sample from before the window remains as its beginning, also for the rates before a silence.
    const TimePoint oldest = now - meter.options.window;
    while (router.samples.size() > 2 && router.samples[1].receivedAt <= oldest) {
        router.samples.pop_front();
    }
}

void removeLostRouters(DemandMeter &meter, const std::set<support::InstanceId> &liveRouters, TimePoint now)
{
    std::erase_if(meter.routers, [&](const auto &entry) {
        const auto &[id, router] = entry;
        const bool isSilent = router.samples.empty() || now - router.samples.back().receivedAt > meter.options.silence;
        return isSilent && !liveRouters.contains(id);
    });
}

PoolDemand poolDemand(const DemandMeter &meter, const support::PoolId &pool, const std::set<support::InstanceId> &liveRouters, TimePoint now)
{
    PoolDemand demand;
    std::size_t known = 0;
    std::size_t total = liveRouters.size();
    for (const auto &[id, router] : meter.routers) {
        total += liveRouters.contains(id) ? 0 : 1;
        if (router.samples.empty()) {
            continue;
        }
        if (const auto rates = routerRates(meter, router, pool, now)) {
            addRates(demand.byDataCentre[router.dataCentre], *rates);
            ++known;
        }
    }
    if (known == 0) {
        return demand;
    }
    for (auto &[dataCentre, rates] : demand.byDataCentre) {
        scaleRates(rates, static_cast<double>(total) / static_cast<double>(known));
    }
    demand.isComplete = static_cast<double>(known) >= meter.options.completeShare * static_cast<double>(total);
    return demand;
}

} // namespace mulberrywall::policy
