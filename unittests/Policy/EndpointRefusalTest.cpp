#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

/// Endpoints that state for how long they accept no requests. The first-token target of the classes is 2 s.
class EndpointRefusalTest : public PolicyFixture
{
protected:
    void startPool(unsigned endpoints)
    {
        std::vector<EndpointSpec> specs;
        for (unsigned index = 0; index < endpoints; ++index) {
            specs.push_back(endpointSpec("e" + std::to_string(index), 1));
        }
        start({}, specs);
    }

    /// Lets the endpoint of a running request refuse it and state the time.
    void refuse(PermitId permit, std::chrono::milliseconds refusesFor, std::chrono::milliseconds time)
    {
        complete(permit, time, {.outcome = AttemptOutcome::NotRun, .refusesFor = refusesFor});
    }
};

// Guards against an endpoint that gets requests within the time that it has stated, although other endpoints are free.
TEST_F(EndpointRefusalTest, RefusingEndpointGetsNoRequests)
{
    startPool(2);
    const support::EndpointId refusing = submit(submissionOf(1, "tier0")).grants.at(0).endpoint;
    refuse(1, 3s, 0ms);
    for (PermitId permit = 2; permit < 6; ++permit) {
        const Decisions decisions = submit(submissionOf(permit, "tier0"), permit * 100ms);
        ASSERT_EQ(decisions.grants.size(), 1U);
        EXPECT_NE(decisions.grants.at(0).endpoint, refusing);
        complete(permit, permit * 100ms + 50ms);
    }
}

// Guards against a second statement that shortens the first one.
TEST_F(EndpointRefusalTest, LongestTimeCounts)
{
    startPool(1);
    submit(submissionOf(1, "tier0"));
    refuse(1, 3s, 0ms);
    functions.reregister(pool.get(), {.submission = submissionOf(2, "tier0"), .endpoint = support::EndpointId("e0")}, at(10ms));
    refuse(2, 1s, 20ms);
    EXPECT_TRUE(submit(submissionOf(3, "tier0"), 1'500ms).grants.empty());
}

// Guards against a request that waits in vain where no endpoint accepts it, and against callers who are told to come back
// before there is room, or all at the same time.
TEST_F(EndpointRefusalTest, RejectsUntilAnEndpointAcceptsRequests)
{
    startPool(2);
    submit(submissionOf(1, "tier0"));
    submit(submissionOf(2, "tier0"));
    ASSERT_TRUE(submit(submissionOf(3, "tier0")).grants.empty());
    refuse(1, 5s, 0ms);
    const Decisions ended = functions.complete(pool.get(), 2, {.outcome = AttemptOutcome::NotRun, .refusesFor = 8s}, at(0ms));
    ASSERT_EQ(ended.rejections.size(), 1U) << "the request that waits has to be told as well";
    EXPECT_EQ(ended.rejections.at(0).permit, 3U);
    EXPECT_EQ(ended.rejections.at(0).retryAfter, 5s);
    Submission spread = submissionOf(4, "tier0");
    spread.spreadSeed = 512;
    const Decisions rejected = submit(spread, 1s);
    ASSERT_EQ(rejected.rejections.size(), 1U);
    EXPECT_EQ(rejected.rejections.at(0).reason, RejectionReason::TargetUnreachable);
    EXPECT_EQ(rejected.rejections.at(0).retryAfter, 4'667ms) << "half of the first third of the time over which callers return";
}

// Guards against callers of a low tier who take the room that there is first when the endpoints accept requests again.
TEST_F(EndpointRefusalTest, CallersOfHigherTiersReturnFirst)
{
    startPool(1);
    submit(submissionOf(1, "tier0"));
    refuse(1, 6s, 0ms);
    std::chrono::milliseconds longest = 6s;
    for (const std::string requestClass : {"tier0", "tier1", "tier2"}) {
        std::chrono::milliseconds longestOfTier {0};
        for (const std::uint64_t seed : {0U, 512U, 1'023U}) {
            Submission submission = submissionOf(2, requestClass);
            submission.spreadSeed = seed;
            const std::chrono::milliseconds retryAfter = submit(submission).rejections.at(0).retryAfter;
            EXPECT_GE(retryAfter, longest) << requestClass;
            longestOfTier = std::max(longestOfTier, retryAfter);
        }
        longest = longestOfTier;
    }
    EXPECT_LE(longest, 12s);
}

// Guards against rejecting what could still be served in time, and against a request that waits beyond the end of the time.
TEST_F(EndpointRefusalTest, RequestWaitsForAShortTime)
{
    startPool(1);
    submit(submissionOf(1, "tier0"));
    refuse(1, 800ms, 0ms);
    const Decisions waiting = submit(submissionOf(2, "tier0"), 10ms);
    EXPECT_TRUE(waiting.grants.empty());
    EXPECT_TRUE(waiting.rejections.empty());
    EXPECT_EQ(advanceThroughWakeUps(800ms).grants.size(), 1U);
}

// Guards against requests to a refusing endpoint whose entry has lapsed in the store and come back.
TEST_F(EndpointRefusalTest, OutlastsTheEntry)
{
    startPool(1);
    const std::vector<EndpointSpec> specs {endpointSpec("e0", 1)};
    submit(submissionOf(1, "tier0"));
    functions.setEndpoints(pool.get(), {}, at(0ms));
    refuse(1, 10s, 0ms);
    functions.setEndpoints(pool.get(), specs, at(1s));
    EXPECT_TRUE(submit(submissionOf(3, "tier0"), 1s).grants.empty());
    functions.setEndpoints(pool.get(), {}, at(2s));
    functions.setEndpoints(pool.get(), specs, at(3s));
    EXPECT_TRUE(submit(submissionOf(4, "tier0"), 3s).grants.empty());
    functions.setEndpoints(pool.get(), {}, at(11s));
    EXPECT_TRUE(functions.endpointStatus(pool.get()).empty()) << "nothing is left to remember";
}

// Guards against a hedge at an endpoint that accepts no requests.
TEST_F(EndpointRefusalTest, RefusingEndpointGetsNoHedges)
{
    ClassSpec hedged = tierClass(0);
    hedged.hedgeBudgetPercent = 100;
    start({.classes = {hedged}}, {endpointSpec("e0", 8), endpointSpec("e1", 8)});
    const support::EndpointId refusing = submit(submissionOf(1, "tier0")).grants.at(0).endpoint;
    refuse(1, 3s, 0ms);
    Submission hedge = submissionOf(3, "tier0");
    hedge.purpose = AttemptPurpose::Hedge;
    hedge.excludedEndpoints = {submit(submissionOf(2, "tier0"), 1s).grants.at(0).endpoint};
    EXPECT_NE(hedge.excludedEndpoints.at(0), refusing);
    EXPECT_TRUE(submit(hedge, 1s).grants.empty());
    hedge.permit = 4;
    const Decisions later = submit(hedge, 4s);
    ASSERT_EQ(later.grants.size(), 1U) << "the endpoint accepts requests again";
    EXPECT_EQ(later.grants.at(0).endpoint, refusing);
}

// Guards against a statement that outlives the start of the endpoint which made it.
TEST_F(EndpointRefusalTest, EndsWithTheIncarnation)
{
    startPool(1);
    submit(submissionOf(1, "tier0"));
    refuse(1, 1min, 0ms);
    EndpointSpec restarted = endpointSpec("e0", 1);
    restarted.incarnation = 2;
    functions.setEndpoints(pool.get(), std::vector<EndpointSpec> {restarted}, at(1s));
    EXPECT_EQ(submit(submissionOf(2, "tier0"), 1s).grants.size(), 1U);
}

} // namespace mulberrywall::policy
