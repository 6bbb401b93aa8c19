#include "LeaseModel.h"

#include <gtest/gtest.h>

namespace mulberrywall::duties
{

static constexpr std::int64_t durationMs = 600'000;

// Guards against two holders that act with the same fence, against a fence that decreases, against calls of a holder after another one has
// taken over, and against the order A, B, A within the duration of a lease.
TEST(LeaseModelTest, HoldersKeepTheInvariants)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        const std::size_t processes = 3 + (seed * 7) % 38;
        LeaseModel model(seed, processes, PlantedFault::None);
        model.run(durationMs);
        EXPECT_TRUE(model.violations.empty()) << "seed " << seed << ": " << model.violations.front();
        EXPECT_GT(model.calls, 1'000U) << "seed " << seed;
        EXPECT_GT(model.highestFence, 10U) << "seed " << seed;
    }
}

/// Returns whether the model finds a violation with one of the seeds.
static bool findsViolation(PlantedFault fault)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        LeaseModel model(seed, 3 + seed % 5, fault);
        model.run(durationMs);
        if (!model.violations.empty()) {
            return true;
        }
    }
    return false;
}

// Guards against a model that is too gentle to find a lease that is used to its last millisecond.
TEST(LeaseModelTest, FindsALeaseWithoutMargin)
{
    EXPECT_TRUE(findsViolation(PlantedFault::NoMargin));
}

// Guards against a model that is too gentle to find a fence that is not taken from the row that is replaced.
TEST(LeaseModelTest, FindsAFenceFromACachedRow)
{
    EXPECT_TRUE(findsViolation(PlantedFault::CachedFence));
}

} // namespace mulberrywall::duties
