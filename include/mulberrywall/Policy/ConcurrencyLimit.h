#pragma once

#include "mulberrywall/Policy/Tuning.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

namespace mulberrywall::policy
{

/// Limit and mean inter-token latency before the last decrease, to decide whether it was effective.
struct ConcurrencyDecrease
{
    double limit = 0.0;
    double meanSeconds = 0.0;
};

/// Adaptive concurrency limit of one endpoint; starts at the configured maximum.
///
/// Continuous batching lets an engine accept more requests than it can serve at the inter-token target. The limit is
/// therefore decreased by a factor when too many tokens are late, and increased additively while it is fully used. A
/// decrease that does not reduce the inter-token latency is undone: concurrency is then not the cause.
struct ConcurrencyLimit
{
    double limit = std::numeric_limits<double>::max();
    std::chrono::steady_clock::time_point intervalStart;
    std::uint64_t tokens = 0;
    std::uint64_t lateTokens = 0;
    double tokenSeconds = 0.0;
    /// Maximum number of concurrent requests in the current interval.
    unsigned peakRunning = 0;
    /// Attempts that the endpoint refused in the current interval.
    unsigned refusedAttempts = 0;
    std::optional<ConcurrencyDecrease> decrease;
    /// Until then late tokens do not decrease the limit.
    std::chrono::steady_clock::time_point holdUntil;
};

/// Returns the current limit, at least 1.
unsigned currentLimit(const ConcurrencyLimit &limit, unsigned maximumConcurrency);

/// Records the number of concurrent requests.
void recordConcurrency(ConcurrencyLimit &limit, unsigned running);

/// Records that the endpoint refused an attempt, which counts as overload.
void recordRefusedAttempt(ConcurrencyLimit &limit);

/// Records the mean inter-token latency of a number of tokens and whether it exceeds the target.
void recordTokenLatency(ConcurrencyLimit &limit, std::uint64_t tokens, double secondsPerToken, std::chrono::duration<double> target);

/// Adjusts the limit if the current interval has ended.
void adjustLimit(ConcurrencyLimit &limit, unsigned maximumConcurrency, const ConcurrencyTuning &tuning, std::chrono::steady_clock::time_point now);

} // namespace mulberrywall::policy
