#include "EngineFleet.h"

#include "mulberrywall/Policy/PrefixCost.h"
#include "mulberrywall/Policy/PromptCache.h"

#include <set>

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

/// Engines with a prefill speed of 50 tokens per millisecond, for prompts that share the first segments of their prefixes.
class PrefixCostTest : public PolicyFixture
{
protected:
    void startEngines(unsigned count, std::uint64_t memoryTokens = 0)
    {
        PoolOptions options {.engineMemoryTokens = memoryTokens};
        std::vector<EndpointSpec> specs;
        for (unsigned index = 0; index < count; ++index) {
            specs.push_back(endpointSpec("engine-" + std::to_string(index), 64));
        }
        start(options, specs);
    }

    /// A prompt whose prefix consists of the given segments, followed by 1,000 tokens of its own.
    Submission promptOf(const std::vector<PrefixSegment> &segments)
    {
        Submission submission = submissionOf(nextPermit_++, "tier2");
        submission.prefixSegments = segments;
        submission.prefixHash = segments.back().hash;
        submission.prefixTokens = 0;
        for (const PrefixSegment &segment : segments) {
            *submission.prefixTokens += segment.tokens;
        }
        submission.promptTokens = *submission.prefixTokens + 1'000;
        return submission;
    }

    std::string place(const Submission &submission, milliseconds time = {})
    {
        const Decisions decisions = submit(submission, time);
        return decisions.grants.empty() ? std::string("none") : decisions.grants.front().endpoint.value();
    }

    /// Runs the request to its end. Returns its endpoint.
    std::string run(const Submission &submission, milliseconds time)
    {
        std::string endpoint = place(submission, time);
        progress(submission.permit, 1, time + milliseconds(1 + submission.promptTokens / 50));
        complete(submission.permit, time + milliseconds(2 + submission.promptTokens / 50), {.outputTokens = 1});
        return endpoint;
    }

    std::uint32_t pendingPrefill()
    {
        return functions.runningRequests(pool.get()).front().pendingPrefillTokens;
    }

    PeerReport heldByPeer(const std::string &endpoint, std::uint32_t tokens)
    {
        return {.router = support::InstanceId("peer"), .requests = {{.endpoint = support::EndpointId(endpoint), .heldTokens = tokens}}};
    }

    static constexpr PrefixSegment instructions {.hash = 1, .tokens = 8'000};
    static constexpr PrefixSegment firstDocument {.hash = 2, .tokens = 5'000};
    static constexpr PrefixSegment secondDocument {.hash = 3, .tokens = 5'000};
    PermitId nextPermit_ = 1;
};

/// Guards against prefilling a segment again because the prompts differ after it, on the engine that has it and on another.
TEST_F(PrefixCostTest, SharesOnlyTheFirstSegment)
{
    startEngines(4);
    const std::string caching = run(promptOf({instructions, firstDocument}), milliseconds(0));
    EXPECT_EQ(place(promptOf({instructions, secondDocument}), milliseconds(1'000)), caching);
    EXPECT_EQ(pendingPrefill(), 6'000U) << "the second document and the own tokens";
}

/// Guards against prompts that are compared only on the few engines of a large pool that hold their first segment, and rejected for the
/// backlog there while all others are idle.
TEST_F(PrefixCostTest, SharedFirstSegmentDoesNotNarrowTheCandidates)
{
    constexpr unsigned engines = 100;
    constexpr unsigned holders = 16;
    startEngines(engines);
    PeerSummary summary;
    for (unsigned index = 0; index < holders; ++index) {
        const support::EndpointId holder("engine-" + std::to_string(index));
        summary.endpoints.push_back({.endpoint = holder, .pendingPrefill = {{.tokens = 100'000}}, .running = 1});
        summary.prefixes.push_back({.endpoint = holder, .prefixHash = instructions.hash, .tokens = instructions.tokens});
    }
    functions.recordPeerSummary(pool.get(), {.summary = summary}, startTime);
    // The first prompt of a tier is always admitted.
    place(promptOf({instructions, firstDocument}));
    EXPECT_NE(place(promptOf({instructions, secondDocument}), milliseconds(1)), "none");
}

/// Guards against segments that other routers do not hear of, since a running request states only the whole prefix.
TEST_F(PrefixCostTest, SegmentsAreReportedToOtherRouters)
{
    startEngines(4);
    const std::string caching = place(promptOf({instructions, firstDocument}));
    PeerReport report {
        .router = support::InstanceId("peer"), .requests = functions.runningRequests(pool.get()), .prefixes = functions.newPrefixes(pool.get(), startTime)};
    for (PeerRequest &request : report.requests) {
        request.pendingPrefillTokens = 0;
    }
    startEngines(4);
    functions.recordPeerRequests(pool.get(), report, startTime);
    EXPECT_EQ(place(promptOf({instructions, secondDocument})), caching);
    EXPECT_EQ(pendingPrefill(), 6'000U);
    const PeerSummary summary = functions.summarizeLoad(pool.get(), SummaryScope::AllRouters, startTime);
    EXPECT_EQ(summary.prefixes.size(), 3U) << "the instructions and both documents, each once";
}

/// Guards against a saving that does not happen: prompts that the engine prefills first take the memory of the prefix.
TEST_F(PrefixCostTest, PrefixThatIsEvictedBeforeTheStartIsNotSaved)
{
    startEngines(1, 50'000);
    run(promptOf({instructions, firstDocument}), milliseconds(0));
    EXPECT_EQ(place(promptOf({instructions, firstDocument}), milliseconds(1'000)), "engine-0");
    EXPECT_EQ(pendingPrefill(), 1'000U);
    complete(nextPermit_ - 1, milliseconds(1'100), {.outputTokens = 1});
    functions.recordPeerRequests(pool.get(), heldByPeer("engine-0", 45'000), at(milliseconds(1'200)));
    place(promptOf({instructions, firstDocument}), milliseconds(1'200));
    EXPECT_EQ(pendingPrefill(), 14'000U) << "13,000 cached tokens do not fit beside 45,000 of 50,000";
}

/// Guards against an engine that is chosen for a cached prefix while running requests fill its memory.
TEST_F(PrefixCostTest, FullEngineIsNotPreferredForItsCache)
{
    startEngines(2, 50'000);
    const std::string caching = run(promptOf({instructions, firstDocument}), milliseconds(0));
    functions.recordPeerRequests(pool.get(), heldByPeer(caching, 10'000), at(milliseconds(1'000)));
    EXPECT_EQ(run(promptOf({instructions, firstDocument}), milliseconds(1'000)), caching) << "there is room for both";
    functions.recordPeerRequests(pool.get(), heldByPeer(caching, 49'000), at(milliseconds(2'000)));
    EXPECT_NE(place(promptOf({instructions, firstDocument}), milliseconds(2'000)), caching);
}

/// Guards against evicting the segment that all prompts share before one that a single prompt used.
TEST_F(PrefixCostTest, EvictsTheLeastRecentlyUsedSegmentFirst)
{
    startEngines(1, 21'000);
    run(promptOf({instructions, firstDocument}), milliseconds(0));
    run(promptOf({instructions, secondDocument}), milliseconds(1'000));
    run(promptOf({instructions, {.hash = 4, .tokens = 7'000}}), milliseconds(2'000));
    const Pool &state = *static_cast<const Pool *>(pool.get());
    const EndpointState &engine = state.endpoints.at(support::EndpointId("engine-0"));
    EXPECT_EQ(cachedPrefixTokens(engine, promptOf({instructions, firstDocument})), 8'000U);
    EXPECT_EQ(cachedPrefixTokens(engine, promptOf({instructions, {.hash = 4, .tokens = 7'000}})), 15'000U);
}

/// Guards against a hot prefix that every engine prefills, and against one that overloads a single engine. Its requests ask for what
/// 1.6 engines prefill.
TEST_F(PrefixCostTest, HotPrefixIsCachedByAsManyEnginesAsItsRateNeeds)
{
    const std::vector<PromptClass> classes {
        {.spec = {.id = support::ClassId("hot"), .tier = 2}, .sharedTokens = 13'000, .ownTokens = 4'000, .requestsPerSecond = 20, .subjects = 1}};
    const std::vector<double> speeds(8, 50.0);
    EngineFleet fleet({}, classes, speeds, 1, 64);
    fleet.run(milliseconds(20'000), 1.0);
    unsigned caching = 0;
    for (std::size_t engine = 0; engine < speeds.size(); ++engine) {
        caching += fleet.prefilledTokens(engine) > 0.0 ? 1 : 0;
    }
    EXPECT_GE(caching, 2U);
    EXPECT_LE(caching, 3U);
    EXPECT_EQ(fleet.counts("hot").late, 0U);
    EXPECT_EQ(fleet.counts("hot").rejected, 0U);
}

/// Guards against a copy of a prefix that costs more than the wait that it saves.
TEST_F(PrefixCostTest, WaitIsCheaperThanACopyUntilItExceedsItsPrefill)
{
    const PlacementTuning tuning;
    const PrefixCostInputs caching {
        .tokensPerSecond = 50'000.0, .promptTokens = 17'000, .cachedTokens = 13'000, .cachedAnywhereTokens = 13'000, .memoryTokens = 400'000};
    PrefixCostInputs other = caching;
    other.cachedTokens = 0;
    for (const double aheadTokens : {0.0, 5'000.0, 13'000.0}) {
        PrefixCostInputs waiting = caching;
        waiting.tokensAhead = aheadTokens;
        EXPECT_LT(prefixCost(waiting, tuning).total(), prefixCost(other, tuning).total()) << aheadTokens;
    }
    PrefixCostInputs waiting = caching;
    waiting.tokensAhead = 100'000.0;
    EXPECT_GT(prefixCost(waiting, tuning).total(), prefixCost(other, tuning).total());
}

} // namespace mulberrywall::policy
