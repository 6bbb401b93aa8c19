#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class LongRequestsTest : public PolicyFixture
{
protected:
    /// Runs requests so that the pool estimates 100 tokens for class "short" and 4,000 for class "report".
    void establishLengths()
    {
        PermitId permit = 10'000;
        for (unsigned round = 0; round < 30; ++round) {
            for (const auto &[name, tokens] : {std::pair {"short", 100U}, {"short", 100U}, {"short", 100U}, {"report", 4'000U}}) {
                submit(submissionOf(permit, name), time);
                time += 10ms;
                complete(permit, time, {.outputTokens = tokens});
                ++permit;
            }
        }
    }

    PoolOptions options()
    {
        return {.classes = {{.id = support::ClassId("short"), .firstTokenTarget = 1h, .maximumWait = 1h},
                    {.id = support::ClassId("report"), .firstTokenTarget = 1h, .maximumWait = 1h}}};
    }

    std::chrono::milliseconds time {0};
};

// Guards against long requests that occupy all slots while short ones wait.
TEST_F(LongRequestsTest, OccupyOnlyTheirShareOfEachEndpoint)
{
    start(options(), {endpointSpec("a", 10), endpointSpec("b", 10)});
    establishLengths();
    unsigned granted = 0;
    for (PermitId permit = 1; permit <= 20; ++permit) {
        granted += submit(submissionOf(permit, "report"), time).grants.size();
    }
    EXPECT_EQ(granted, 12U);
    for (const EndpointStatus &status : functions.endpointStatus(pool.get())) {
        EXPECT_EQ(status.runningLong, 6U);
    }
    EXPECT_EQ(submit(submissionOf(100, "short"), time).grants.size(), 1U) << "short requests use the remaining slots";
}

// Guards against long requests in every slot of a pool whose endpoints have one slot each.
TEST_F(LongRequestsTest, ShareAppliesToAPoolOfSingleSlots)
{
    start(options(), {endpointSpec("a", 1), endpointSpec("b", 1), endpointSpec("c", 1), endpointSpec("d", 1)});
    establishLengths();
    unsigned granted = 0;
    for (PermitId permit = 1; permit <= 4; ++permit) {
        granted += submit(submissionOf(permit, "report"), time).grants.size();
    }
    EXPECT_EQ(granted, 2U);
}

// Guards against treating a request as short after it has exceeded the quantile, and against lowering its priority
// twice.
TEST_F(LongRequestsTest, ExceedingTheQuantileLowersThePriorityOnce)
{
    start(options(), {endpointSpec("a", 10)});
    establishLengths();
    const Grant grant = submit(submissionOf(1, "short"), time).grants.at(0);
    EXPECT_TRUE(progress(1, 50, time + 1s).priorityChanges.empty());
    const Decisions decisions = progress(1, 1'000, time + 2s);
    ASSERT_EQ(decisions.priorityChanges.size(), 1U);
    EXPECT_GT(decisions.priorityChanges[0].enginePriority, grant.enginePriority);
    EXPECT_EQ(functions.endpointStatus(pool.get()).at(0).runningLong, 1U);
    EXPECT_TRUE(progress(1, 2'000, time + 3s).priorityChanges.empty());
    complete(1, time + 4s, {.outputTokens = 2'000});
    EXPECT_EQ(functions.endpointStatus(pool.get()).at(0).runningLong, 0U);
}

// Guards against an engine that prefers a long request of a lower tier to a short one of a higher tier.
TEST_F(LongRequestsTest, EnginePriorityKeepsTierOrder)
{
    PoolOptions tiers = options();
    tiers.classes[0].tier = 1;
    start(tiers, {endpointSpec("a", 10)});
    establishLengths();
    const std::uint8_t longOfTier0 = submit(submissionOf(1, "report"), time).grants.at(0).enginePriority;
    const std::uint8_t shortOfTier1 = submit(submissionOf(2, "short"), time).grants.at(0).enginePriority;
    EXPECT_LT(longOfTier0, shortOfTier1);
}

} // namespace mulberrywall::policy
