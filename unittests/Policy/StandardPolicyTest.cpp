#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

using StandardPolicyTest = PolicyFixture;

// Guards against a free slot that stays unused and against granting more than the endpoint's slots.
TEST_F(StandardPolicyTest, GrantsUpToTheSlotsAndTheNextWhenOneFrees)
{
    start({}, {endpointSpec("a", 2)});
    EXPECT_EQ(submit(submissionOf(1, "tier0")).grants.size(), 1U);
    EXPECT_EQ(submit(submissionOf(2, "tier0")).grants.size(), 1U);
    EXPECT_TRUE(submit(submissionOf(3, "tier0")).grants.empty());
    const Decisions decisions = complete(1, 10ms);
    ASSERT_EQ(decisions.grants.size(), 1U);
    EXPECT_EQ(decisions.grants[0].permit, 3U);
}

// Guards against a lower tier that overtakes a higher one.
TEST_F(StandardPolicyTest, GrantsTheHigherTierFirst)
{
    start({}, {endpointSpec("a", 1)});
    submit(submissionOf(1, "tier0"));
    submit(submissionOf(2, "tier2"));
    submit(submissionOf(3, "tier1"));
    submit(submissionOf(4, "tier0"));
    EXPECT_EQ(complete(1, 1ms).grants.at(0).permit, 4U);
    EXPECT_EQ(complete(4, 2ms).grants.at(0).permit, 3U);
    EXPECT_EQ(complete(3, 3ms).grants.at(0).permit, 2U);
}

// Guards against shedding a higher tier, or an older request, while a lower or newer one waits.
TEST_F(StandardPolicyTest, ShedsTheNewestRequestOfTheLowestTier)
{
    start({.queueLimit = 2}, {endpointSpec("a", 1)});
    submit(submissionOf(1, "tier0"));
    submit(submissionOf(2, "tier2"));
    submit(submissionOf(3, "tier2"));
    const Decisions decisions = submit(submissionOf(4, "tier1"));
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections[0].permit, 3U);
    EXPECT_EQ(decisions.rejections[0].reason, RejectionReason::Shed);
}

// Guards against running a request after its deadline, and against a missing wake-up for the deadline.
TEST_F(StandardPolicyTest, RejectsAtTheDeadline)
{
    start({}, {endpointSpec("a", 1)});
    submit(submissionOf(1, "tier0"));
    Submission late = submissionOf(2, "tier0");
    late.deadline = at(50ms);
    submit(late);
    ASSERT_TRUE(functions.nextWakeUp(pool.get()).has_value());
    EXPECT_LE(*functions.nextWakeUp(pool.get()), at(50ms));
    const Decisions decisions = functions.advance(pool.get(), at(50ms));
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections[0].reason, RejectionReason::DeadlineExpired);
    EXPECT_TRUE(complete(1, 60ms).grants.empty());
}

// Guards against a second attempt on the endpoint where the first one failed.
TEST_F(StandardPolicyTest, NeverGrantsAnExcludedEndpoint)
{
    start({}, {endpointSpec("a", 4), endpointSpec("b", 1)});
    Submission retry = submissionOf(1, "tier0");
    retry.excludedEndpoints = {support::EndpointId("a")};
    EXPECT_EQ(submit(retry).grants.at(0).endpoint, support::EndpointId("b"));
    retry.permit = 2;
    EXPECT_TRUE(submit(retry).grants.empty());
    retry.permit = 3;
    retry.excludedEndpoints.push_back(support::EndpointId("b"));
    EXPECT_EQ(submit(retry).rejections.at(0).reason, RejectionReason::NoEndpoint);
}

// Guards against new work on a leaving endpoint, and against dropping the requests that it still runs.
TEST_F(StandardPolicyTest, LeavingEndpointKeepsItsRequestsAndGetsNoNewOnes)
{
    start({}, {endpointSpec("a", 2)});
    submit(submissionOf(1, "tier0"));
    const std::vector<EndpointSpec> others {endpointSpec("b", 1)};
    functions.setEndpoints(pool.get(), others, at(1ms));
    EXPECT_EQ(submit(submissionOf(2, "tier0"), 2ms).grants.at(0).endpoint, support::EndpointId("b"));
    EXPECT_TRUE(submit(submissionOf(3, "tier0"), 2ms).grants.empty());
    EXPECT_EQ(functions.summarize(pool.get()).running, 2U);
    EXPECT_TRUE(complete(1, 3ms).grants.empty());
    EXPECT_EQ(complete(2, 4ms).grants.size(), 1U);
}

// Guards against a request that waits for ever because its last endpoint was removed.
TEST_F(StandardPolicyTest, RejectsWaitingRequestsWithoutEndpoint)
{
    start({}, {endpointSpec("a", 1)});
    submit(submissionOf(1, "tier0"));
    submit(submissionOf(2, "tier0"));
    const Decisions decisions = functions.setEndpoints(pool.get(), {}, at(1ms));
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections[0].reason, RejectionReason::NoEndpoint);
}

// Guards against overcommitting an endpoint whose requests a former owner granted.
TEST_F(StandardPolicyTest, ReregisteredRequestsOccupySlots)
{
    start({}, {endpointSpec("a", 1)});
    functions.reregister(pool.get(), {.submission = submissionOf(9, "tier0"), .endpoint = support::EndpointId("a")}, at(1ms));
    EXPECT_TRUE(submit(submissionOf(1, "tier0"), 2ms).grants.empty());
    EXPECT_EQ(complete(9, 3ms).grants.size(), 1U);
}

// Guards against granting a slot to a caller that disconnected.
TEST_F(StandardPolicyTest, WithdrawnRequestIsNotGranted)
{
    start({}, {endpointSpec("a", 1)});
    submit(submissionOf(1, "tier0"));
    submit(submissionOf(2, "tier0"));
    functions.withdraw(pool.get(), 2, at(1ms));
    EXPECT_TRUE(complete(1, 2ms).grants.empty());
    EXPECT_EQ(functions.summarize(pool.get()).waiting, 0U);
}

} // namespace mulberrywall::policy
