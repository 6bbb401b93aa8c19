#include "PolicyFixture.h"

#include "mulberrywall/Policy/ConcurrencyLimit.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

namespace
{

constexpr unsigned maximumConcurrency = 64;

/// Simulates adjustment intervals of an engine whose inter-token latency is a base plus a cost for each concurrent
/// request. Returns the resulting limit.
unsigned runIntervals(ConcurrencyLimit &limit, unsigned intervals, double baseSeconds, double secondsPerRequest, std::chrono::milliseconds target)
{
    const ConcurrencyTuning tuning;
    TimePoint now = std::max(limit.intervalStart, startTime);
    for (unsigned i = 0; i < intervals; ++i) {
        const unsigned running = currentLimit(limit, maximumConcurrency);
        recordConcurrency(limit, running);
        recordTokenLatency(limit, 50, baseSeconds + secondsPerRequest * running, target);
        now += tuning.adjustmentInterval;
        adjustLimit(limit, maximumConcurrency, tuning, now);
    }
    return currentLimit(limit, maximumConcurrency);
}

} // namespace

// Guards against a limit that stays above what the inter-token target allows, and against one that collapses.
TEST(ConcurrencyLimitTest, ConvergesToTheTargetAndRecovers)
{
    ConcurrencyLimit limit;
    // The target of 50 ms is met up to 40 concurrent requests.
    const unsigned settled = runIntervals(limit, 100, 0.010, 0.001, 50ms);
    EXPECT_GE(settled, 30U);
    EXPECT_LE(settled, 41U);
    EXPECT_EQ(runIntervals(limit, 200, 0.010, 0.0001, 50ms), maximumConcurrency);
}

// Guards against losing throughput for a target that the engine misses at any concurrency.
TEST(ConcurrencyLimitTest, UndoesIneffectiveDecreases)
{
    ConcurrencyLimit limit;
    unsigned lowest = maximumConcurrency;
    for (unsigned i = 0; i < 100; ++i) {
        lowest = std::min(lowest, runIntervals(limit, 1, 0.080, 0.0, 50ms));
    }
    EXPECT_EQ(lowest, 51U) << "one tentative decrease at a time";
    EXPECT_EQ(runIntervals(limit, 2, 0.080, 0.0, 50ms), maximumConcurrency);
}

// Guards against sending an endpoint more than it accepts, and against a limit that collapses after one refusal.
TEST(ConcurrencyLimitTest, RefusedAttemptsLowerTheLimit)
{
    ConcurrencyLimit limit;
    TimePoint now = startTime;
    for (unsigned i = 0; i < 8; ++i) {
        now += 500ms;
        recordConcurrency(limit, 10);
        recordRefusedAttempt(limit);
        adjustLimit(limit, maximumConcurrency, {}, now);
        EXPECT_GE(currentLimit(limit, maximumConcurrency), i == 0 ? 51U : 8U) << "one refusal must not remove most of the limit";
    }
    EXPECT_LE(currentLimit(limit, maximumConcurrency), 11U);
}

} // namespace mulberrywall::policy
