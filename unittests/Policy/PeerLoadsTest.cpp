#include "PolicyFixture.h"

#include "mulberrywall/Policy/PolicyFunctions.h"

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

/// Load that a router receives in summaries, in deployments with too many routers for all of them to report to each other.
class PeerLoadsTest : public PolicyFixture
{
protected:
    void startEngines(unsigned count)
    {
        std::vector<EndpointSpec> specs;
        for (unsigned index = 0; index < count; ++index) {
            specs.push_back(endpointSpec("engine-" + std::to_string(index), 64));
        }
        start({}, specs);
    }

    Submission promptOf(std::uint64_t prefixHash, const std::string &requestClass = "tier2")
    {
        Submission submission = submissionOf(nextPermit_++, requestClass);
        submission.prefixHash = prefixHash;
        submission.prefixTokens = 13'000;
        submission.promptTokens = 17'000;
        return submission;
    }

    std::string place(const Submission &submission, milliseconds time = {})
    {
        const Decisions decisions = submit(submission, time);
        return decisions.grants.empty() ? std::string("none") : decisions.grants.front().endpoint.value();
    }

    static PeerReport reportOf(const std::string &router, const std::string &endpoint, std::uint64_t prefixHash)
    {
        return {.router = support::InstanceId(router),
            .requests = {{.endpoint = support::EndpointId(endpoint),
                .prefixHash = prefixHash,
                .prefixTokens = 13'000,
                .pendingPrefillTokens = 17'000,
                .interTokenTarget = milliseconds(500)}}};
    }

    PermitId nextPermit_ = 1;
};

/// Guards against a burst over many routers that is placed on one engine, when a router gets the load of the others only
/// as one summary.
TEST_F(PeerLoadsTest, PlacesByTheCombinedLoadOfOtherRouters)
{
    startEngines(2);
    functions.recordPeerSummary(
        pool.get(), {.endpoints = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefill = {{.tokens = 50'000}}, .running = 3}}}, startTime);
    EXPECT_EQ(place(promptOf(1)), "engine-1");
    EXPECT_EQ(place(promptOf(2)), "engine-1");
}

TEST_F(PeerLoadsTest, ReplacesAndExpiresASummary)
{
    startEngines(2);
    const PeerSummary busyFirst {.endpoints = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefill = {{.tokens = 90'000}}, .running = 5}}};
    functions.recordPeerSummary(pool.get(), busyFirst, startTime);
    EXPECT_EQ(place(promptOf(1), milliseconds(2'000)), "engine-0") << "the summary is older than its lifetime";
    functions.recordPeerSummary(pool.get(), busyFirst, at(milliseconds(2'100)));
    functions.recordPeerSummary(pool.get(), {}, at(milliseconds(2'200)));
    EXPECT_EQ(place(promptOf(2), milliseconds(2'200)), "engine-1") << "only this router's own request runs at engine-0";
}

/// Guards against prefilling a prefix again because the request that cached it came from another router.
TEST_F(PeerLoadsTest, RecordsPrefixesCachedByEndpoints)
{
    startEngines(4);
    functions.recordPeerSummary(pool.get(), {.prefixes = {{.endpoint = support::EndpointId("engine-3"), .prefixHash = 8, .tokens = 13'000}}}, startTime);
    EXPECT_EQ(place(promptOf(8)), "engine-3");
}

/// Guards against a router that counts its own requests twice: directly, and in the summary that it receives.
TEST_F(PeerLoadsTest, ExcludesTheReceiverFromItsSummary)
{
    startEngines(2);
    functions.recordPeerRequests(pool.get(), reportOf("first", "engine-0", 1), startTime);
    functions.recordPeerRequests(pool.get(), reportOf("second", "engine-0", 2), startTime);
    const PeerSummary forFirst = functions.summarizeFor(pool.get(), support::InstanceId("first"), startTime);
    ASSERT_EQ(forFirst.endpoints.size(), 1U);
    EXPECT_EQ(forFirst.endpoints.front().pendingPrefill, (std::vector<PeerPrefill> {{.tokens = 17'000}}));
    EXPECT_EQ(forFirst.endpoints.front().running, 1U);
    ASSERT_EQ(forFirst.endpoints.front().streams.size(), 1U);
    EXPECT_EQ(forFirst.endpoints.front().streams.front().streams, 1U);
    const PeerSummary forThird = functions.summarizeFor(pool.get(), support::InstanceId("third"), startTime);
    EXPECT_EQ(forThird.endpoints.front().pendingPrefill, (std::vector<PeerPrefill> {{.tokens = 34'000}}));
    EXPECT_EQ(forThird.prefixes.size(), 2U);
    EXPECT_EQ(forThird.longestPrefill, milliseconds(340)) << "17,000 tokens at 50 per millisecond";
}

/// Guards against an urgent request that avoids an engine because of prefill that the engine will do after it. Load of other
/// routers arrives as requests or as a summary; both have to carry the tier.
TEST_F(PeerLoadsTest, PrefillOfLowerTiersDelaysOnlyByTheOneThatRuns)
{
    for (const bool isSummary : {false, true}) {
        startEngines(2);
        const support::EndpointId lowTiers("engine-0");
        const support::EndpointId highTier("engine-1");
        if (isSummary) {
            functions.recordPeerSummary(pool.get(),
                {.longestPrefill = milliseconds(340),
                    .endpoints = {{.endpoint = lowTiers, .pendingPrefill = {{.tier = 2, .tokens = 170'000}}, .running = 10},
                        {.endpoint = highTier, .pendingPrefill = {{.tier = 0, .tokens = 34'000}}, .running = 10}}},
                startTime);
        } else {
            PeerReport report {.router = support::InstanceId("peer")};
            for (unsigned index = 0; index < 10; ++index) {
                report.requests.push_back({.endpoint = lowTiers, .pendingPrefillTokens = 17'000, .tier = 2});
                report.requests.push_back({.endpoint = highTier, .pendingPrefillTokens = 3'400, .tier = 0});
            }
            functions.recordPeerRequests(pool.get(), report, startTime);
        }
        EXPECT_EQ(place(promptOf(1, "tier0")), "engine-0") << "0.34 s of prefill that runs, against 0.68 s of the own tier";
        EXPECT_EQ(place(promptOf(2, "tier2")), "engine-1") << "3.4 s of the own tier, against 0.68 s of a higher one";
    }
}

/// Guards against totals that grow with each summary when two routers send each other their summaries.
TEST_F(PeerLoadsTest, DoesNotForwardSummaries)
{
    startEngines(1);
    functions.recordPeerSummary(
        pool.get(), {.endpoints = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefill = {{.tokens = 9'000}}, .running = 2}}}, startTime);
    EXPECT_TRUE(functions.summarizeFor(pool.get(), support::InstanceId("other"), startTime).endpoints.empty());
}

TEST_F(PeerLoadsTest, ReportsNewPrefixesForALimitedTime)
{
    startEngines(1);
    functions.recordPeerRequests(pool.get(), reportOf("first", "engine-0", 1), startTime);
    const support::InstanceId receiver("second");
    EXPECT_EQ(functions.summarizeFor(pool.get(), receiver, at(milliseconds(300))).prefixes.size(), 1U);
    EXPECT_TRUE(functions.summarizeFor(pool.get(), receiver, at(milliseconds(600))).prefixes.empty());
}

} // namespace mulberrywall::policy
