#include "mulberrywall/Policy/ConcurrencyLimit.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

double meanSeconds(const ConcurrencyLimit &limit)
{
    return limit.tokens == 0 ? 0.0 : limit.tokenSeconds / static_cast<double>(limit.tokens);
}

bool isLate(const ConcurrencyLimit &limit, const ConcurrencyTuning &tuning)
{
    return limit.tokens >= tuning.minimumTokens && static_cast<double>(limit.lateTokens) > tuning.lateShare * static_cast<double>(limit.tokens);
}

double lowered(double from, double maximum, const ConcurrencyTuning &tuning)
{
    const double floor = std::max(1.0, tuning.floorShare * maximum);
    return std::max(floor, tuning.decreaseFactor * from);
}

void respondToLateTokens(
    ConcurrencyLimit &limit, double effectiveLimit, double maximum, const ConcurrencyTuning &tuning, std::chrono::steady_clock::time_point now)
{
    if (now < limit.holdUntil || static_cast<double>(limit.peakRunning) > effectiveLimit + 0.5) {
        // The last decrease takes effect only when enough running requests have ended.
        return;
    }
    const double mean = meanSeconds(limit);
    if (limit.decrease && mean > tuning.improvementFactor * limit.decrease->meanSeconds) {
        limit.limit = limit.decrease->limit;
        limit.decrease.reset();
        limit.holdUntil = now + tuning.holdAfterIneffectiveDecrease;
        return;
    }
    limit.decrease = ConcurrencyDecrease {.limit = effectiveLimit, .meanSeconds = mean};
    limit.limit = lowered(std::min(effectiveLimit, static_cast<double>(limit.peakRunning)), maximum, tuning);
}

} // namespace

unsigned currentLimit(const ConcurrencyLimit &limit, unsigned maximumConcurrency)
{
    return std::max(1U, static_cast<unsigned>(std::min(limit.limit, static_cast<double>(maximumConcurrency))));
}

void recordConcurrency(ConcurrencyLimit &limit, unsigned running)
{
    limit.peakRunning = std::max(limit.peakRunning, running);
}

void recordRefusedAttempt(ConcurrencyLimit &limit)
{
    ++limit.refusedAttempts;
}

void recordTokenLatency(ConcurrencyLimit &limit, std::uint64_t tokens, double secondsPerToken, std::chrono::duration<double> target)
{
    limit.tokens += tokens;
    limit.tokenSeconds += secondsPerToken * static_cast<double>(tokens);
    if (secondsPerToken > target.count()) {
        limit.lateTokens += tokens;
    }
}

void adjustLimit(ConcurrencyLimit &limit, unsigned maximumConcurrency, const ConcurrencyTuning &tuning, std::chrono::steady_clock::time_point now)
{
    if (now - limit.intervalStart < tuning.adjustmentInterval) {
        return;
    }
    const double maximum = maximumConcurrency;
    const double effectiveLimit = std::min(limit.limit, maximum);
    if (limit.refusedAttempts > 0) {
        // Not relative to the running requests: at low load a single refusal would remove most of the limit.
        limit.limit = lowered(effectiveLimit, maximum, tuning);
    } else if (isLate(limit, tuning)) {
        respondToLateTokens(limit, effectiveLimit, maximum, tuning, now);
    } else {
        limit.decrease.reset();
        if (limit.peakRunning >= currentLimit(limit, maximumConcurrency)) {
            limit.limit = std::min(maximum, effectiveLimit + tuning.increase);
        }
    }
    limit = {.limit = limit.limit, .intervalStart = now, .decrease = limit.decrease, .holdUntil = limit.holdUntil};
}

} // namespace mulberrywall::policy
