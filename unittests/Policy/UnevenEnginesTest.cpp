#include "EngineFleet.h"

#include "mulberrywall/Policy/EngineSpeed.h"
#include "mulberrywall/Policy/Prefill.h"

#include <array>
#include <cmath>

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

class UnevenEnginesTest : public PolicyFixture
{
protected:
    /// A pool with one engine on which a prompt of 17,000 tokens has been prefilled in the given time.
    void prefillOnce(milliseconds duration, PermitId permit = 1, milliseconds startedAt = {})
    {
        Submission submission = submissionOf(permit, "tier2");
        submission.prefixHash = permit;
        submission.prefixTokens = 13'000;
        submission.promptTokens = 17'000;
        submit(submission, startedAt);
        progress(permit, 1, startedAt + duration);
    }

    static double speedOf(const PoolHandle &handle, const std::string &endpoint)
    {
        const Pool &pool = *static_cast<const Pool *>(handle.get());
        return prefillSpeed(pool, pool.endpoints.at(support::EndpointId(endpoint)));
    }
};

/// Guards against slow engines that get as many prompts as fast ones: 60 routers start with empty caches at two thirds of what the
/// engines can prefill, and hear of each other's load 200 ms late.
TEST_F(UnevenEnginesTest, ColdStartAssignsWorkBySpeed)
{
    constexpr unsigned engines = 140;
    std::vector<double> speeds;
    for (unsigned index = 0; index < engines; ++index) {
        constexpr std::array bySpeed {90.0, 62.0, 35.0};
        speeds.push_back(bySpeed[index % bySpeed.size()]);
    }
    EngineFleet fleet({}, promptsOfCustomerF(), speeds, 60, 16);
    fleet.run(milliseconds(8'000), 1.7);
    std::array<double, 3> prefilled {};
    for (unsigned index = 0; index < engines; ++index) {
        prefilled[index % 3] += fleet.prefilledTokens(index) / speeds[index] / 8'000.0 / (engines / 3.0);
    }
    for (const auto *name : {"long", "medium", "short"}) {
        const PromptCounts &counts = fleet.counts(name);
        EXPECT_LE(counts.late, counts.asked / 20) << name;
        EXPECT_LE(counts.rejected, counts.asked / 20) << name;
    }
    EXPECT_LT(prefilled[2], 1.25 * prefilled[0]) << "work in proportion to speed keeps slow and fast engines busy for the same time";
}

/// Guards against a speed that a router knows only from its own few requests, and against a sample that counts as often as it is
/// reported.
TEST_F(UnevenEnginesTest, LearnsFromOtherRouters)
{
    start({}, {endpointSpec("fast", 16), endpointSpec("slow", 16)});
    PeerReport report {.router = support::InstanceId("peer"), .requests = {{.endpoint = support::EndpointId("slow"), .prefillTokensPerSecond = 25'000}}};
    for (unsigned index = 0; index < 5; ++index) {
        functions.recordPeerRequests(pool.get(), report, startTime);
    }
    EXPECT_DOUBLE_EQ(speedOf(pool, "fast"), 50'000.0);
    EXPECT_DOUBLE_EQ(speedOf(pool, "slow"), 37'500.0) << "one sample against the speed of the pool";
    report.requests.push_back({.endpoint = support::EndpointId("slow"), .prefillTokensPerSecond = 24'900});
    functions.recordPeerRequests(pool.get(), report, startTime);
    EXPECT_LT(speedOf(pool, "slow"), 37'500.0);
    const PeerSummary summary = functions.summarizeLoad(pool.get(), SummaryScope::DataCentre, startTime);
    ASSERT_EQ(summary.endpoints.size(), 1U);
    EXPECT_EQ(summary.endpoints.front().speedSamples, 2U);

    start({}, {endpointSpec("fast", 16), endpointSpec("slow", 16)});
    functions.recordPeerSummary(pool.get(), {.summary = summary}, startTime);
    EXPECT_NEAR(speedOf(pool, "slow"), 33'300.0, 100.0) << "two samples of about 25,000 and the speed of the pool";
}

/// Guards against a speed of the process before, from the router's own memory or from a late report, that is taken for that of
/// the engine that has restarted.
TEST_F(UnevenEnginesTest, ForgetsTheSpeedOfAnEarlierStart)
{
    EndpointSpec spec = endpointSpec("engine", 16);
    spec.incarnation = 7;
    start({}, {spec});
    prefillOnce(milliseconds(1'700));
    const double poolSpeed = 10'000.0;
    EXPECT_NEAR(speedOf(pool, "engine"), poolSpeed, 1.0);
    const PeerSummary early = functions.summarizeLoad(pool.get(), SummaryScope::AllRouters, at(milliseconds(1'700)));
    spec.incarnation = 8;
    functions.setEndpoints(pool.get(), std::span(&spec, 1), at(milliseconds(1'800)));
    const Pool &state = *static_cast<const Pool *>(pool.get());
    EXPECT_EQ(state.endpoints.at(spec.id).speed.samples, 0.0);
    functions.recordPeerSummary(pool.get(), {.summary = early}, at(milliseconds(1'900)));
    EXPECT_EQ(state.endpoints.at(spec.id).speed.samples, 0.0);
}

/// Guards against an engine that attracts all prompts because one of them was prefilled before, unknown to the router.
TEST_F(UnevenEnginesTest, OneWrongSampleDoesNotCount)
{
    start({}, {endpointSpec("engine", 64)});
    for (PermitId permit = 1; permit <= 8; ++permit) {
        prefillOnce(permit == 5 ? milliseconds(5) : milliseconds(340), permit, milliseconds(1'000) * static_cast<int>(permit));
    }
    const Pool &state = *static_cast<const Pool *>(pool.get());
    EXPECT_NEAR(std::exp(state.endpoints.at(support::EndpointId("engine")).speed.prefill.logValue), 50'000.0, 5'000.0);
}

} // namespace mulberrywall::policy
