#include "Naive/NaivePolicy.h"
#include "Simulation.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

namespace
{

/// Capacity of the default trace: 16 slots and about 1 s for each request.
constexpr double capacityPerSecond = 16.0;

TraceOptions overload(std::uint64_t seed)
{
    return {.seed = seed, .arrivalsPerSecond = {0.5 * capacityPerSecond, capacityPerSecond, 1.5 * capacityPerSecond}};
}

/// Overload with withdrawals, deadlines, refusals by endpoints, crashes and leaving endpoints.
TraceOptions turmoil(std::uint64_t seed)
{
    TraceOptions options = overload(seed);
    options.withdrawn = 0.2;
    options.withDeadline = 0.3;
    options.refusedByEndpoint = 0.03;
    options.endpointCrash = 0.01;
    options.poisonous = 0.002;
    options.resends = 3;
    options.queueLimit = 24;
    options.churn = TraceOptions::Churn::Leaving;
    return options;
}

double share(const std::array<unsigned, 3> &part, const TraceResult &result, std::size_t tier)
{
    return static_cast<double>(part.at(tier)) / result.submitted.at(tier);
}

} // namespace

class PolicyPropertyTest : public testing::TestWithParam<std::uint64_t>
{
protected:
    static void expectSound(const TraceResult &result)
    {
        EXPECT_EQ(result.violations, std::vector<std::string> {});
    }
};

INSTANTIATE_TEST_SUITE_P(Seeds, PolicyPropertyTest, testing::Range<std::uint64_t>(1, 9));

// Guards against lost or doubled outcomes, exceeded slots, grants on leaving endpoints or after deadlines, and busy
// wake-ups, in either policy.
TEST_P(PolicyPropertyTest, EachSubmissionEndsOnceWithinTheSlots)
{
    expectSound(runTrace(standardPolicy(), turmoil(GetParam())));
    expectSound(runTrace(naive::naivePolicy(), turmoil(GetParam())));
}

// Guards against shedding a request while a lower tier waits. The naive policy does it, which shows that the trace
// can tell the difference.
TEST_P(PolicyPropertyTest, ShedsLowerTiersFirst)
{
    EXPECT_EQ(runTrace(standardPolicy(), turmoil(GetParam())).tierOrderViolations, 0U);
    EXPECT_EQ(runTrace(standardPolicy(), overload(GetParam())).tierOrderViolations, 0U);
    EXPECT_GT(runTrace(naive::naivePolicy(), overload(GetParam())).tierOrderViolations, 0U);
}

// Guards against a higher tier that suffers from an overload caused by lower ones, as it does with the naive policy.
TEST_P(PolicyPropertyTest, OverloadFromBelowLeavesTheHighestTierAlone)
{
    const TraceResult standard = runTrace(standardPolicy(), overload(GetParam()));
    const TraceResult naive = runTrace(naive::naivePolicy(), overload(GetParam()));
    EXPECT_GT(share(standard.withinTarget, standard, 0), 0.95);
    EXPECT_LT(share(naive.withinTarget, naive, 0), 0.5);
}

// Guards against starvation: every tier is served again and again while the highest one alone exceeds the capacity.
TEST_P(PolicyPropertyTest, EveryTierIsServedUnderSustainedOverload)
{
    const TraceOptions options {.seed = GetParam(), .duration = 120s, .arrivalsPerSecond = {1.5 * capacityPerSecond, 4.0, 4.0}};
    const TraceResult result = runTrace(standardPolicy(), options);
    expectSound(result);
    EXPECT_EQ(result.tierOrderViolations, 0U);
    for (std::size_t tier = 0; tier < 3; ++tier) {
        EXPECT_LT(result.longestPause.at(tier), 20s) << "tier " << tier;
    }
    EXPECT_GT(result.withinTarget[0], 7 * result.granted[0] / 10) << "what is admitted mostly meets its target";
    EXPECT_GT(result.granted[0], 10 * (result.granted[1] + result.granted[2]) / 3) << "the minimum shares are bounded";
}

// Guards against a request that crashes one endpoint after another, as it does with the naive policy, and against
// refusing requests that only happened to run beside it.
TEST_P(PolicyPropertyTest, PoisonousRequestCrashesTwoEndpointsAtMost)
{
    const TraceOptions options {.seed = GetParam(), .arrivalsPerSecond = {4.0, 4.0, 2.0}, .endpoints = 6, .poisonous = 0.005, .resends = 5};
    const TraceResult standard = runTrace(standardPolicy(), options);
    expectSound(standard);
    EXPECT_LE(standard.mostCrashes, 2U);
    EXPECT_EQ(standard.innocentRefusals, 0U);
    EXPECT_GT(runTrace(naive::naivePolicy(), options).mostCrashes, 2U);
}

// Guards against decisions that depend on anything but the calls, such as addresses or hash order.
TEST_P(PolicyPropertyTest, ReplayIsDeterministic)
{
    EXPECT_EQ(runTrace(standardPolicy(), turmoil(GetParam())).log, runTrace(standardPolicy(), turmoil(GetParam())).log);
}

// Guards against refusing under low load what a simple policy would grant.
TEST_P(PolicyPropertyTest, GrantsUnderLowLoadWhatTheNaivePolicyGrants)
{
    const TraceOptions options {.seed = GetParam(), .arrivalsPerSecond = {2.0, 2.0, 1.0}, .withdrawn = 0.1};
    const TraceResult standard = runTrace(standardPolicy(), options);
    const TraceResult naive = runTrace(naive::naivePolicy(), options);
    expectSound(standard);
    EXPECT_GT(naive.grantedByPermit.size(), 100U);
    for (const auto &[permit, granted] : naive.grantedByPermit) {
        EXPECT_TRUE(standard.grantedByPermit.contains(permit)) << "permit " << permit;
    }
}

} // namespace mulberrywall::policy
