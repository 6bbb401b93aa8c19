#include "mulberrywall/Router/ServiceLevelWindows.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace mulberrywall::router
{

static const configuration::LatencyTargets modelTargets {.timeToFirstToken = 1'000ms, .interTokenLatency = 50ms};

// Guards against counting a request as within its targets that exceeded the first-token or inter-token
// target or did not complete.
TEST(ServiceLevelTest, AllTargetsMustBeMet)
{
    const RequestTiming good {.completed = true, .total = 1.4s, .firstToken = 0.9s, .deliveredTokens = 11};
    EXPECT_TRUE(meetsTargets(good, modelTargets));
    RequestTiming late = good;
    late.firstToken = 1.1s;
    EXPECT_FALSE(meetsTargets(late, modelTargets));
    RequestTiming slow = good;
    slow.total = 1.5s;
    EXPECT_FALSE(meetsTargets(slow, modelTargets));
    RequestTiming failed = good;
    failed.completed = false;
    EXPECT_FALSE(meetsTargets(failed, modelTargets));
}

// Guards against windows that never drop old counts or that drop them too early.
TEST(ServiceLevelTest, WindowsDropOldCounts)
{
    ServiceLevelWindows windows;
    const support::ClassId id("fast");
    const policy::TimePoint start {100h};
    windows.record(id, {.requests = 1, .withinTargets = 1}, start);
    windows.record(id, {.requests = 2}, start + 10min);
    const std::vector<WindowCounts> counts = windows.summarize(start + 10min).at(id);
    ASSERT_EQ(counts.size(), 3U);
    EXPECT_EQ(counts[0].counts.requests, 2U);
    EXPECT_EQ(counts[1].counts.requests, 3U);
    EXPECT_EQ(windows.summarize(start + 7h).at(id)[2].counts.requests, 0U);
}

} // namespace mulberrywall::router
