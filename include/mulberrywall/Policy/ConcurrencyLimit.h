#pragma once

#include "mulberrywall/Policy/Tuning.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

namespace mulberrywall::policy
{

/// Limit and mean inter-token latency before the last decrease, to see whether it helped.
struct ConcurrencyDecrease
{
    double limit = 0.0;
    double meanSeconds = 0.0;
};

/// Adaptive concurrency limit of one endpoint; starts at what its configuration allows.
///
/// Continuous batching lets an engine accept more requests than it can serve at the inter-token target, so the
/// limit falls by a factor when too many tokens come late and rises step by step while it is in use. A decrease
/// that makes the tokens no faster is taken back: the cause is then something other than concurrency.
struct ConcurrencyLimit
{
    double limit = std::numeric_limits<double>::max();
    std::chrono::steady_clock::time_point intervalStart;
    std::uint64_t tokens = 0;
    std::uint64_t lateTokens = 0;
    double tokenSeconds = 0.0;
    /// Most requests at once in the current interval.
    unsigned peakRunning = 0;
    /// Attempts that the endpoint refused in the current interval.
    unsigned refusedAttempts = 0;
    std::optional<ConcurrencyDecrease> decrease;
    /// Until then late tokens do not lower the limit.
    std::chrono::steady_clock::time_point holdUntil;
};

/// Returns the current limit, at least 1.
unsigned currentLimit(const ConcurrencyLimit &limit, unsigned maximumConcurrency);

/// Notes how many requests run at once.
void recordConcurrency(ConcurrencyLimit &limit, unsigned running);

/// Notes that the endpoint refused an attempt, which counts as overload.
void recordRefusedAttempt(ConcurrencyLimit &limit);

/// Adds the inter-token latency of some tokens against their target.
void recordTokenLatency(ConcurrencyLimit &limit, std::uint64_t tokens, double secondsPerToken, std::chrono::duration<double> target);

/// Adjusts the limit when the current interval is over.
void adjustLimit(ConcurrencyLimit &limit, unsigned maximumConcurrency, const ConcurrencyTuning &tuning, std::chrono::steady_clock::time_point now);

} // namespace mulberrywall::policy
