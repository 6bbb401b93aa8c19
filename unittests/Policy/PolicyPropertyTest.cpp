#include "Naive/NaivePolicy.h"
#include "Simulation.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

namespace
{

/// Capacity of the default trace in requests per second: 16 slots, and about 1 s for each request.
constexpr double capacityPerSecond = 16.0;

TraceOptions overload(std::uint64_t seed)
{
    return {.seed = seed, .arrivalsPerSecond = {0.5 * capacityPerSecond, capacityPerSecond, 1.5 * capacityPerSecond}};
}

/// Overload with withdrawn requests, deadlines, refusals by endpoints, crashes and leaving endpoints.
TraceOptions faultyOverload(std::uint64_t seed)
{
    TraceOptions options = overload(seed);
    options.withdrawn = 0.2;
    options.withDeadline = 0.3;
    options.refusedByEndpoint = 0.03;
    options.endpointCrash = 0.01;
    options.crashing = 0.002;
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
    static void expectNoViolations(const TraceResult &result)
    {
        EXPECT_EQ(result.violations, std::vector<std::string> {});
    }
};

INSTANTIATE_TEST_SUITE_P(Seeds, PolicyPropertyTest, testing::Range<std::uint64_t>(1, 9));

// Guards against lost or duplicate outcomes, exceeded slots, grants on leaving endpoints or after deadlines, and
// wake-ups in a busy loop, in either policy.
TEST_P(PolicyPropertyTest, EachSubmissionEndsOnceWithinTheSlots)
{
    expectNoViolations(runTrace(standardPolicy(), faultyOverload(GetParam())));
    expectNoViolations(runTrace(naive::naivePolicy(), faultyOverload(GetParam())));
}

// Guards against shedding a request while a lower tier waits. The naive policy does so, which shows that the trace
// detects the fault.
TEST_P(PolicyPropertyTest, ShedsLowerTiersFirst)
{
    EXPECT_EQ(runTrace(standardPolicy(), faultyOverload(GetParam())).tierOrderViolations, 0U);
    EXPECT_EQ(runTrace(standardPolicy(), overload(GetParam())).tierOrderViolations, 0U);
    EXPECT_GT(runTrace(naive::naivePolicy(), overload(GetParam())).tierOrderViolations, 0U);
}

// Guards against a higher tier that is affected by an overload of lower tiers, as it is with the naive policy.
TEST_P(PolicyPropertyTest, OverloadOfLowerTiersDoesNotAffectTheHighestTier)
{
    const TraceResult standard = runTrace(standardPolicy(), overload(GetParam()));
    const TraceResult naive = runTrace(naive::naivePolicy(), overload(GetParam()));
    EXPECT_GT(share(standard.withinTarget, standard, 0), 0.95);
    EXPECT_LT(share(naive.withinTarget, naive, 0), 0.5);
}

// Guards against starvation: every tier must be served regularly while the highest one alone exceeds the capacity.
TEST_P(PolicyPropertyTest, EveryTierIsServedUnderSustainedOverload)
{
    const TraceOptions options {.seed = GetParam(), .duration = 120s, .arrivalsPerSecond = {1.5 * capacityPerSecond, 4.0, 4.0}};
    const TraceResult result = runTrace(standardPolicy(), options);
    expectNoViolations(result);
    EXPECT_EQ(result.tierOrderViolations, 0U);
    for (std::size_t tier = 0; tier < 3; ++tier) {
        EXPECT_LT(result.longestGrantGap.at(tier), 20s) << "tier " << tier;
    }
    EXPECT_GT(result.withinTarget[0], 7 * result.granted[0] / 10) << "admitted requests mostly meet their target";
    EXPECT_GT(result.granted[0], 10 * (result.granted[1] + result.granted[2]) / 3) << "the minimum shares are limited";
}

// Guards against a request that crashes one endpoint after another, as it does with the naive policy, and against
// rejecting requests that were only running on the same endpoint.
TEST_P(PolicyPropertyTest, CrashingRequestCrashesAtMostTwoEndpoints)
{
    const TraceOptions options {.seed = GetParam(), .arrivalsPerSecond = {4.0, 4.0, 2.0}, .endpoints = 6, .crashing = 0.005, .resends = 5};
    const TraceResult standard = runTrace(standardPolicy(), options);
    expectNoViolations(standard);
    EXPECT_LE(standard.maximumCrashes, 2U);
    EXPECT_EQ(standard.falseQuarantineRejections, 0U);
    EXPECT_GT(runTrace(naive::naivePolicy(), options).maximumCrashes, 2U);
}

// Guards against decisions that depend on anything but the calls, such as memory addresses or hash order.
TEST_P(PolicyPropertyTest, ReplayIsDeterministic)
{
    EXPECT_EQ(runTrace(standardPolicy(), faultyOverload(GetParam())).log, runTrace(standardPolicy(), faultyOverload(GetParam())).log);
}

// Guards against rejecting under low load requests that a simple policy would grant.
TEST_P(PolicyPropertyTest, GrantsUnderLowLoadWhatTheNaivePolicyGrants)
{
    const TraceOptions options {.seed = GetParam(), .arrivalsPerSecond = {2.0, 2.0, 1.0}, .withdrawn = 0.1};
    const TraceResult standard = runTrace(standardPolicy(), options);
    const TraceResult naive = runTrace(naive::naivePolicy(), options);
    expectNoViolations(standard);
    EXPECT_GT(naive.grantedByPermit.size(), 100U);
    for (const auto &[permit, granted] : naive.grantedByPermit) {
        EXPECT_TRUE(standard.grantedByPermit.contains(permit)) << "permit " << permit;
    }
}

} // namespace mulberrywall::policy
