#include "mulberrywall/Metering/WindowClock.h"

#include <gtest/gtest.h>

namespace mulberrywall::metering
{

using std::chrono::milliseconds;

namespace
{

constexpr BootTime boot {std::chrono::hours(1)};
constexpr TrueTime start {milliseconds(1'765'000'000'000)};

support::InstanceId router(int number)
{
    return support::InstanceId("router-" + std::to_string(number));
}

/// Records samples of ten routers after the given time, two of which are wrong by seconds.
void recordRouters(WindowClock &clock, milliseconds after, milliseconds delay)
{
    for (int number = 0; number < 10; ++number) {
        const milliseconds error = number < 2 ? milliseconds(-4'000) : milliseconds(0);
        clock.recordRouterClock(router(number), start + after + error, boot + after + delay);
    }
}

} // namespace

// Guards against windows that follow a system clock which is wrong at the start of the process.
TEST(WindowClock, MajorityCorrectsAWrongAnchor)
{
    WindowClock clock(boot, start + milliseconds(7'000));
    EXPECT_FALSE(clock.isSettled(boot));
    recordRouters(clock, milliseconds(400), milliseconds(1));
    EXPECT_FALSE(clock.isSettled(boot + milliseconds(400))) << "the first few clocks may all be wrong";
    EXPECT_TRUE(clock.isSettled(boot + milliseconds(1'500)));
    const BootTime later = boot + milliseconds(10'000);
    EXPECT_NEAR(static_cast<double>((clock.now(later) - start).count()), 10'000.0, 2.0);
    EXPECT_EQ(clock.anchored(later), start + milliseconds(17'000)) << "the anchor that is sent to others must not include the correction";
}

// Guards against a minority of wrong clocks that moves the others.
TEST(WindowClock, MinorityDoesNotMoveARightAnchor)
{
    WindowClock clock(boot, start);
    recordRouters(clock, milliseconds(400), milliseconds(1));
    EXPECT_NEAR(static_cast<double>((clock.now(boot) - start).count()), 0.0, 2.0);
}

// Guards against datagrams that waited while this process was paused, which make all clocks look late.
TEST(WindowClock, DelayedSamplesDoNotCount)
{
    WindowClock clock(boot, start);
    recordRouters(clock, milliseconds(400), milliseconds(1));
    recordRouters(clock, milliseconds(800), milliseconds(4'800));
    EXPECT_NEAR(static_cast<double>((clock.now(boot) - start).count()), 0.0, 2.0);
}

// Guards against routers that are no candidates and would stay at a wrong anchor, since they receive acknowledgements only.
TEST(WindowClock, CandidatesCorrectTheOthers)
{
    WindowClock clock(boot, start - milliseconds(3'000));
    clock.recordCandidateClock(router(0), start, 1, boot);
    EXPECT_FALSE(clock.isSettled(boot)) << "a candidate that knows only its own clock may be wrong";
    clock.recordCandidateClock(router(1), start, 40, boot);
    clock.recordCandidateClock(router(2), start + milliseconds(5'000), 3, boot);
    clock.recordCandidateClock(router(0), start, 41, boot);
    EXPECT_NEAR(static_cast<double>((clock.now(boot) - start).count()), 0.0, 2.0);
}

// Guards against a router without peers that never closes a window.
TEST(WindowClock, SettlesWithoutOthers)
{
    const WindowClock clock(boot, start);
    EXPECT_TRUE(clock.isSettled(boot + milliseconds(10'000)));
}

} // namespace mulberrywall::metering
