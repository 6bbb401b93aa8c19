#include "mulberrywall/Duties/Lease.h"

#include <gtest/gtest.h>

namespace mulberrywall::duties
{

namespace
{

using std::chrono::milliseconds;

LeaseTime at(std::int64_t ms)
{
    return {.monotonic = TimePoint(milliseconds(ms)), .boot = support::BootClock::time_point(milliseconds(ms))};
}

class LeaseTest : public testing::Test
{
protected:
    LeaseTest()
    {
        state_.self = "router-a/1";
    }

    void find(const LeaseRow &row, std::uint64_t version, std::int64_t ms)
    {
        onRead(state_, options_, {.status = LeaseReadStatus::Found, .stored = {.version = version, .text = encodeLease(row)}}, at(ms));
    }

    /// Takes the row over at the given time, which the state allows.
    LeaseRow takeOver(std::int64_t ms)
    {
        const LeaseStep step = nextStep(state_, options_, at(ms));
        EXPECT_EQ(step.kind, LeaseStepKind::Write);
        onWrite(state_, options_, step.row, {.status = LeaseWriteStatus::Applied, .version = 100}, at(ms), at(ms));
        return step.row;
    }

    LeaseOptions options_ = makeLeaseOptions(milliseconds(3'000));
    LeaseState state_;
};

// Guards against a candidate that reads the row more often than the lease may expire, or takes it over too early.
TEST_F(LeaseTest, CandidateReadsOnceInEachLease)
{
    const LeaseRow other {.holder = "router-b/1", .fencing = 4};
    find(other, 7, 0);
    EXPECT_EQ(nextStep(state_, options_, at(2'999)).kind, LeaseStepKind::Wait);
    EXPECT_EQ(nextStep(state_, options_, at(3'000)).kind, LeaseStepKind::Read);
    find(other, 8, 3'000);
    EXPECT_EQ(nextStep(state_, options_, at(5'999)).kind, LeaseStepKind::Wait);
    EXPECT_EQ(nextStep(state_, options_, at(6'000)).kind, LeaseStepKind::Read);
    find(other, 8, 6'000);
    EXPECT_EQ(takeOver(6'000).fencing, 5U);
}

// Guards against a successor that assembles a usage report anew because it does not know the highest stored window.
TEST_F(LeaseTest, TakeoverKeepsTheValues)
{
    find({.fencing = 4, .releasedBy = "router-b/1", .values = {{"usageWindow", 353'445'120}}}, 7, 0);
    const LeaseRow row = takeOver(0);
    EXPECT_EQ(row.values.at("usageWindow"), 353'445'120U);
    EXPECT_EQ(parseLease(encodeLease(row)), row);
}

// Guards against the order A, B, A within the duration of a lease when B releases it at once.
TEST_F(LeaseTest, ReturningInstanceWaitsForAWholeLease)
{
    find({.fencing = 4, .previousHolder = "router-a/0", .releasedBy = "router-b/1"}, 7, 0);
    EXPECT_EQ(takeOver(0).previousHolder, "router-b/1");
    EXPECT_FALSE(mayAct(state_, options_, at(1'999)).has_value());
    EXPECT_EQ(state_.actsFrom, at(3'000).monotonic);
    LeaseState other {.self = "router-c/1"};
    std::swap(state_, other);
    find({.fencing = 4, .previousHolder = "router-a/0", .releasedBy = "router-b/1"}, 7, 0);
    takeOver(0);
    EXPECT_EQ(state_.actsFrom, at(1'500).monotonic);
}

// Guards against a fence that is used again after the store has lost the row.
TEST_F(LeaseTest, FenceIncreasesAfterTheRowWasLost)
{
    find({.holder = "router-b/1", .fencing = 4}, 7, 0);
    onRead(state_, options_, {.status = LeaseReadStatus::Absent}, at(3'000));
    EXPECT_EQ(takeOver(3'000).fencing, 5U);
    onRead(state_, options_, {.status = LeaseReadStatus::Absent}, at(4'000));
    EXPECT_EQ(takeOver(4'000).fencing, 6U);
}

// Guards against a holder that acts after its instance was suspended, when only the boot clock has advanced.
TEST_F(LeaseTest, SuspendedHolderDoesNotAct)
{
    find({.fencing = 4}, 7, 0);
    takeOver(0);
    EXPECT_TRUE(mayAct(state_, options_, at(1'600)).has_value());
    const LeaseTime resumed {.monotonic = at(1'600).monotonic, .boot = at(2'001).boot};
    EXPECT_FALSE(mayAct(state_, options_, resumed).has_value());
    const LeaseTime later {.monotonic = at(1'600).monotonic, .boot = at(3'000).boot};
    EXPECT_EQ(nextStep(state_, options_, later).kind, LeaseStepKind::Read);
    EXPECT_FALSE(state_.isHeld);
}

// Guards against a lease that counts from the confirmation of a write instead of from when it was sent: the confirmation may be read after
// a pause.
TEST_F(LeaseTest, LateConfirmationCountsFromTheFirstAttempt)
{
    find({.fencing = 4}, 7, 0);
    const LeaseRow acquired = takeOver(0);
    const LeaseStep renewal = nextStep(state_, options_, at(1'000));
    onWrite(state_, options_, renewal.row, {.status = LeaseWriteStatus::Unknown}, at(1'000), at(1'900));
    find(acquired, 100, 1'950);
    const LeaseStep repeated = nextStep(state_, options_, at(1'950));
    EXPECT_TRUE(repeated.isRepeated);
    EXPECT_EQ(repeated.row, renewal.row);
    const StoredLease stored {.version = 101, .text = encodeLease(renewal.row)};
    onWrite(state_, options_, repeated.row, {.status = LeaseWriteStatus::Conflict, .current = stored}, at(1'950), at(2'900));
    EXPECT_TRUE(state_.isHeld);
    EXPECT_EQ(state_.validUntil, at(4'000));
    EXPECT_EQ(state_.rowVersion, 101U);
}

// Guards against a release that is lost because a renewal was under way, and against acts during the release.
TEST_F(LeaseTest, ReleaseFollowsARenewalUnderWay)
{
    find({.fencing = 4}, 7, 0);
    takeOver(0);
    const LeaseStep renewal = nextStep(state_, options_, at(1'000));
    beginRelease(state_, at(1'010));
    EXPECT_FALSE(mayAct(state_, options_, at(1'600)).has_value());
    onWrite(state_, options_, renewal.row, {.status = LeaseWriteStatus::Applied, .version = 101}, at(1'000), at(1'050));
    EXPECT_FALSE(state_.isHeld);
    const LeaseStep release = nextStep(state_, options_, at(1'050));
    EXPECT_EQ(release.expectedVersion, 101U);
    EXPECT_EQ(release.row.holder, "");
    EXPECT_EQ(release.row.releasedBy, "router-a/1");
    EXPECT_EQ(release.row.fencing, 5U);
    onWrite(state_, options_, release.row, {.status = LeaseWriteStatus::Applied, .version = 102}, at(1'050), at(1'100));
    EXPECT_FALSE(state_.isReleasing);
}

// Guards against a release that replaces the highest stored window by an older one, because the write that stored it got no response.
TEST_F(LeaseTest, ReleaseKeepsTheValuesOfAnUnconfirmedWrite)
{
    find({.fencing = 4}, 7, 0);
    takeOver(0);
    LeaseStep renewal = nextStep(state_, options_, at(1'000));
    renewal.row.values["usageWindow"] = 8;
    onWrite(state_, options_, renewal.row, {.status = LeaseWriteStatus::Unknown}, at(1'000), at(1'900));
    beginRelease(state_, at(1'900));
    const LeaseStep refused = nextStep(state_, options_, at(1'900));
    const StoredLease stored {.version = 101, .text = encodeLease(renewal.row)};
    onWrite(state_, options_, refused.row, {.status = LeaseWriteStatus::Conflict, .current = stored}, at(1'900), at(1'950));
    const LeaseStep release = nextStep(state_, options_, at(1'950));
    EXPECT_EQ(release.expectedVersion, 101U);
    EXPECT_EQ(release.row.holder, "");
    EXPECT_EQ(release.row.values.at("usageWindow"), 8U);
}

} // namespace

} // namespace mulberrywall::duties
