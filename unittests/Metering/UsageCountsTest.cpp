#include "mulberrywall/Metering/UsageCounts.h"

#include <gtest/gtest.h>

namespace mulberrywall::metering
{

namespace
{

const support::OrganisationId first("first");
const support::OrganisationId second("second");

} // namespace

// Guards against counts in the wrong window, and closed windows that lack idle ones.
TEST(UsageCounts, CountsByWindowAndClosesIdleWindows)
{
    UsageCounts counts(10);
    counts.recordStart(first, 10);
    counts.recordStart(first, 10);
    counts.recordStart(second, 11);
    counts.closeBefore(13);
    const std::vector<WindowCounts> expected {{.window = 10, .closed = true, .total = 2, .counts = {{first, 2}}},
        {.window = 11, .closed = true, .total = 1, .counts = {{second, 1}}},
        {.window = 12, .closed = true},
        {.window = 13}};
    EXPECT_EQ(counts.windows(), expected);
}

// Guards against a change of counts that others may have reported already.
TEST(UsageCounts, ClosedWindowsDoNotChange)
{
    UsageCounts counts(10);
    counts.closeBefore(11);
    counts.recordStart(first, 10);
    const std::vector<WindowCounts> expected {{.window = 10, .closed = true}, {.window = 11, .total = 1, .counts = {{first, 1}}}};
    EXPECT_EQ(counts.windows(), expected);
}

// Guards against a first window at which a router appears to have started too late, after its clock was set back by the correction.
TEST(UsageCounts, OpenWindowsMayPrecedeTheFirst)
{
    UsageCounts counts(10);
    counts.recordStart(first, 9);
    EXPECT_EQ(counts.firstWindow(), 9U);
    EXPECT_EQ(counts.windows().front().total, 1U);
}

// Guards against memory that grows with windows or organisations, also after a leap of the clock.
TEST(UsageCounts, BoundsWindowsAndOrganisations)
{
    UsageCounts counts(10, {.maxWindows = 4, .maxOrganisations = 1});
    counts.recordStart(first, 10);
    counts.recordStart(second, 10);
    EXPECT_EQ(counts.uncounted(), 1U);
    counts.recordStart(first, 1'000'000'000'000);
    EXPECT_EQ(counts.windows().size(), 4U);
    counts.recordStart(first, 10);
    EXPECT_LE(counts.windows().size(), 4U);
    EXPECT_EQ(counts.windows().front().window, 10U);
}

} // namespace mulberrywall::metering
