#include "PolicyFixture.h"

#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/PeerLoads.h"
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

    /// Returns a prefix that two idle engines would place on the given one.
    static std::uint64_t prefixPreferring(const std::string &endpoint)
    {
        const std::string other = endpoint == "engine-0" ? "engine-1" : "engine-0";
        std::uint64_t prefix = 1;
        while (rendezvousWeight(prefix, support::EndpointId(endpoint)) > rendezvousWeight(prefix, support::EndpointId(other))) {
            ++prefix;
        }
        return prefix;
    }

    void recordSummary(const PeerSummary &summary, milliseconds time = {})
    {
        functions.recordPeerSummary(pool.get(), {.summary = summary}, at(time));
    }

    PermitId nextPermit_ = 1;
};

/// Guards against a burst over many routers that is placed on one engine, when a router gets the load of the others only
/// as one summary.
TEST_F(PeerLoadsTest, PlacesByTheCombinedLoadOfOtherRouters)
{
    startEngines(2);
    recordSummary({.endpoints = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefill = {{.tokens = 50'000}}, .running = 3}}});
    EXPECT_EQ(place(promptOf(1)), "engine-1");
    EXPECT_EQ(place(promptOf(2)), "engine-1");
}

TEST_F(PeerLoadsTest, ReplacesAndExpiresASummary)
{
    startEngines(2);
    const PeerSummary busyFirst {.endpoints = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefill = {{.tokens = 90'000}}, .running = 5}}};
    recordSummary(busyFirst);
    EXPECT_EQ(place(promptOf(prefixPreferring("engine-0")), milliseconds(2'000)), "engine-0") << "the summary is older than its lifetime";
    recordSummary(busyFirst, milliseconds(2'100));
    recordSummary({}, milliseconds(2'200));
    EXPECT_EQ(place(promptOf(prefixPreferring("engine-1")), milliseconds(2'200)), "engine-1") << "only this router's own request runs at engine-0";
}

/// Guards against prefilling a prefix again because the request that cached it came from another router.
TEST_F(PeerLoadsTest, RecordsPrefixesCachedByEndpoints)
{
    startEngines(4);
    recordSummary({.prefixes = {{.endpoint = support::EndpointId("engine-3"), .prefixHash = 8, .tokens = 13'000}}});
    EXPECT_EQ(place(promptOf(8)), "engine-3");
}

TEST_F(PeerLoadsTest, SummarizesTheRequestsOfAllRoutersThatReport)
{
    startEngines(2);
    functions.recordPeerRequests(pool.get(), reportOf("first", "engine-0", 1), startTime);
    functions.recordPeerRequests(pool.get(), reportOf("second", "engine-0", 2), startTime);
    const PeerSummary summary = functions.summarizeLoad(pool.get(), SummaryScope::DataCentre, startTime);
    ASSERT_EQ(summary.endpoints.size(), 1U);
    EXPECT_EQ(summary.endpoints.front().pendingPrefill, (std::vector<PeerPrefill> {{.tokens = 34'000}}));
    EXPECT_EQ(summary.endpoints.front().running, 2U);
    ASSERT_EQ(summary.endpoints.front().streams.size(), 1U);
    EXPECT_EQ(summary.endpoints.front().streams.front().streams, 2U);
    EXPECT_EQ(summary.prefixes.size(), 2U);
    EXPECT_EQ(summary.longestPrefill, milliseconds(340)) << "17,000 tokens at 50 per millisecond";
}

/// Guards against a router that counts its own requests twice: directly, and in the summary of all routers that it receives.
TEST_F(PeerLoadsTest, SubtractsOwnRequestsFromTheSummaryOfAllRouters)
{
    startEngines(2);
    const std::uint64_t prefix = prefixPreferring("engine-0");
    EXPECT_EQ(place(promptOf(prefix)), "engine-0");
    const PeerSummary all {.endpoints = {{.endpoint = support::EndpointId("engine-0"),
                                             .pendingPrefill = {{.tier = 2, .tokens = 17'000}},
                                             .running = 1,
                                             .streams = {{.interTokenTarget = milliseconds(100), .streams = 1}}},
                               {.endpoint = support::EndpointId("engine-1"), .pendingPrefill = {{.tier = 2, .tokens = 25'000}}, .running = 1}}};
    functions.recordPeerSummary(pool.get(), {.summary = all, .ownRequests = functions.runningRequests(pool.get())}, startTime);
    EXPECT_EQ(place(promptOf(prefix + 1)), "engine-0") << "17,000 tokens of its own request there, against 25,000";
}

/// Guards against load of other data centres that is missing in, or circulates through, what aggregators send each other.
TEST_F(PeerLoadsTest, AddsOtherDataCentresForItsOwnOnly)
{
    startEngines(1);
    functions.recordPeerRequests(pool.get(), reportOf("local", "engine-0", 1), startTime);
    const PeerSummary remote {.endpoints = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefill = {{.tokens = 9'000}}, .running = 4}}};
    for (const auto *dataCentre : {"b", "c", "c"}) {
        functions.recordPeerSummary(pool.get(), {.dataCentre = support::DataCentreId(dataCentre), .summary = remote}, startTime);
    }
    EXPECT_EQ(functions.summarizeLoad(pool.get(), SummaryScope::DataCentre, startTime).endpoints.front().running, 1U);
    EXPECT_EQ(functions.summarizeLoad(pool.get(), SummaryScope::AllRouters, startTime).endpoints.front().running, 9U);
}

/// Guards against load that is lost, or stays for ever, when a summary of many endpoints arrives in parts.
TEST_F(PeerLoadsTest, ReplacesOnlyThePartThatASummaryCovers)
{
    startEngines(8);
    const std::uint16_t parts = 2;
    std::vector<PeerSummary> summaries(parts);
    for (unsigned index = 0; index < 8; ++index) {
        const support::EndpointId id("engine-" + std::to_string(index));
        const std::size_t part = isInPart(id, {.index = 0, .count = parts}) ? 0 : 1;
        summaries[part].endpoints.push_back({.endpoint = id, .running = 1});
    }
    ASSERT_FALSE(summaries[0].endpoints.empty());
    ASSERT_FALSE(summaries[1].endpoints.empty());
    const auto record = [&](std::uint16_t index, const PeerSummary &summary) {
        functions.recordPeerSummary(
            pool.get(), {.dataCentre = support::DataCentreId("b"), .part = {.index = index, .count = parts}, .summary = summary}, startTime);
    };
    const auto loaded = [&] {
        return functions.summarizeLoad(pool.get(), SummaryScope::AllRouters, startTime).endpoints.size();
    };
    record(0, summaries[0]);
    record(1, summaries[1]);
    EXPECT_EQ(loaded(), 8U);
    record(1, {});
    EXPECT_EQ(loaded(), summaries[0].endpoints.size());
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
            recordSummary({.longestPrefill = milliseconds(340),
                .endpoints = {{.endpoint = lowTiers, .pendingPrefill = {{.tier = 2, .tokens = 170'000}}, .running = 10},
                    {.endpoint = highTier, .pendingPrefill = {{.tier = 0, .tokens = 34'000}}, .running = 10}}});
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
    recordSummary({.endpoints = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefill = {{.tokens = 9'000}}, .running = 2}}});
    EXPECT_TRUE(functions.summarizeLoad(pool.get(), SummaryScope::AllRouters, startTime).endpoints.empty());
}

TEST_F(PeerLoadsTest, ReportsNewPrefixesForALimitedTime)
{
    startEngines(1);
    functions.recordPeerRequests(pool.get(), reportOf("first", "engine-0", 1), startTime);
    EXPECT_EQ(functions.summarizeLoad(pool.get(), SummaryScope::DataCentre, at(milliseconds(300))).prefixes.size(), 1U);
    EXPECT_TRUE(functions.summarizeLoad(pool.get(), SummaryScope::DataCentre, at(milliseconds(600))).prefixes.empty());
}

} // namespace mulberrywall::policy
