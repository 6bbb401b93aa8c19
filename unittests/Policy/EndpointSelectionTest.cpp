#include "PolicyFixture.h"

#include <set>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class EndpointSelectionTest : public PolicyFixture
{
protected:
    /// Runs one request of the given number of tokens at a fixed inter-token latency. Returns the endpoint that it got.
    support::EndpointId run(PermitId permit, std::uint64_t tokens, std::chrono::milliseconds interval, std::chrono::milliseconds time)
    {
        support::EndpointId endpoint = submit(submissionOf(permit, "tier0"), time).grants.at(0).endpoint;
        progress(permit, 1, time + 10ms);
        progress(permit, tokens, time + 10ms + interval * (tokens - 1));
        return endpoint;
    }
};

// Guards against selecting an endpoint for its few requests although it is several times slower.
TEST_F(EndpointSelectionTest, PrefersTheFasterEndpointUnderEqualWork)
{
    start({}, {endpointSpec("a", 8), endpointSpec("b", 8)});
    const support::EndpointId fast = run(1, 100, 10ms, 0ms);
    const support::EndpointId slow = run(2, 100, 50ms, 1s);
    ASSERT_NE(fast, slow);
    complete(1, 7s, {.outputTokens = 100});
    complete(2, 7s, {.outputTokens = 100});
    unsigned onFast = 0;
    for (PermitId permit = 10; permit < 16; ++permit) {
        onFast += submit(submissionOf(permit, "tier0"), 8s).grants.at(0).endpoint == fast ? 1 : 0;
    }
    EXPECT_GE(onFast, 4U);
    EXPECT_LT(onFast, 6U) << "the slow endpoint has capacity too";
}

// Guards against comparing the duration of a response without a token count with inter-token latencies.
TEST_F(EndpointSelectionTest, ResponseWithoutTokenCountDoesNotChangeTheSpeed)
{
    start({}, {endpointSpec("a", 8), endpointSpec("b", 8)});
    const support::EndpointId fast = run(1, 100, 10ms, 0ms);
    const support::EndpointId slow = run(2, 100, 50ms, 1s);
    complete(1, 7s, {.outputTokens = 100});
    complete(2, 7s, {.outputTokens = 100});
    ASSERT_EQ(submit(submissionOf(3, "tier0"), 8s).grants.at(0).endpoint, fast);
    complete(3, 12s);
    EXPECT_NE(submit(submissionOf(4, "tier0"), 13s).grants.at(0).endpoint, slow);
}

// Guards against spreading a prefix over all caches, and against overloading the endpoint that has cached it.
TEST_F(EndpointSelectionTest, PrefixAffinityStaysWithinTheLoadBound)
{
    std::vector<EndpointSpec> endpoints;
    for (const char *name : {"a", "b", "c", "d"}) {
        endpoints.push_back({.id = support::EndpointId(name), .maximumConcurrency = 32, .prefixCache = true});
    }
    start({}, endpoints);
    Submission document = submissionOf(1, "tier0");
    document.prefixHash = 42;
    document.promptTokens = 2'000;
    const support::EndpointId preferredEndpoint = submit(document, 0ms).grants.at(0).endpoint;
    for (PermitId permit = 2; permit < 6; ++permit) {
        complete(permit - 1, permit * 10ms, {.outputTokens = 100});
        document.permit = permit;
        EXPECT_EQ(submit(document, permit * 10ms).grants.at(0).endpoint, preferredEndpoint);
    }
    std::map<support::EndpointId, unsigned> granted;
    for (PermitId permit = 100; permit < 132; ++permit) {
        document.permit = permit;
        ++granted[submit(document, 1s).grants.at(0).endpoint];
    }
    EXPECT_LE(granted[preferredEndpoint], 16U);
    EXPECT_GE(granted.size(), 3U) << "32 requests with one prefix must not queue up on one or two endpoints";
}

// Guards against identical short prompts that leave endpoints idle, although a cached prefix would save nothing.
TEST_F(EndpointSelectionTest, ShortPromptsAreSpreadEvenly)
{
    std::vector<EndpointSpec> endpoints;
    for (const char *name : {"a", "b", "c"}) {
        endpoints.push_back({.id = support::EndpointId(name), .maximumConcurrency = 8, .prefixCache = true});
    }
    start({}, endpoints);
    Submission question = submissionOf(1, "tier0");
    question.prefixHash = 42;
    question.promptTokens = 5;
    std::map<support::EndpointId, unsigned> granted;
    for (question.permit = 1; question.permit <= 6; ++question.permit) {
        ++granted[submit(question, 1s).grants.at(0).endpoint];
    }
    EXPECT_EQ(granted, (std::map<support::EndpointId, unsigned> {{endpoints[0].id, 2}, {endpoints[1].id, 2}, {endpoints[2].id, 2}}));
}

// Guards against a stale load report that overrides newer observations of the owner, and against ignoring a fresh one.
TEST_F(EndpointSelectionTest, LoadReportLosesWeightWithAge)
{
    start({}, {endpointSpec("a", 8), endpointSpec("b", 8)});
    const support::EndpointId first = submit(submissionOf(1, "tier0"), 0ms).grants.at(0).endpoint;
    complete(1, 10ms);
    const support::EndpointId second(first.value() == "a" ? "b" : "a");
    functions.recordLoadReport(pool.get(), {.endpoint = second, .running = 4, .waiting = 3, .measuredAt = at(20ms)}, at(30ms));
    EXPECT_EQ(submit(submissionOf(2, "tier0"), 40ms).grants.at(0).endpoint, first) << "the other endpoint reported load from elsewhere";
    complete(2, 50ms);
    EXPECT_EQ(submit(submissionOf(3, "tier0"), 10s).grants.at(0).endpoint, second) << "the report has expired";
    progress(3, 1, 10'100ms);
    progress(3, 2, 10'130ms);
    functions.recordLoadReport(pool.get(), {.endpoint = second, .running = 50, .measuredAt = at(10'120ms)}, at(10'140ms));
    submit(submissionOf(4, "tier0"), 10'150ms);
    complete(3, 10'160ms, {.outputTokens = 2});
    EXPECT_EQ(submit(submissionOf(5, "tier0"), 10'170ms).grants.at(0).endpoint, second) << "the observation of the owner is newer than the report";
}

// Guards against an endpoint that refuses immediately and attracts every request because it is idle.
TEST_F(EndpointSelectionTest, BacksOffFromAFailingEndpointAndRetriesIt)
{
    start({}, {endpointSpec("a", 1), endpointSpec("b", 1)});
    const support::EndpointId failing = submit(submissionOf(1, "tier0"), 0ms).grants.at(0).endpoint;
    submit(submissionOf(2, "tier0"), 0ms);
    EXPECT_TRUE(complete(1, 1ms, {.outcome = AttemptOutcome::NotRun}).grants.empty());
    EXPECT_TRUE(submit(submissionOf(3, "tier0"), 2ms).grants.empty());
    const auto wakeUp = functions.nextWakeUp(pool.get());
    ASSERT_TRUE(wakeUp.has_value());
    const Decisions decisions = functions.advance(pool.get(), *wakeUp);
    ASSERT_EQ(decisions.grants.size(), 1U);
    EXPECT_EQ(decisions.grants[0].endpoint, failing);
    EXPECT_GE(*wakeUp, at(101ms));
}

// Guards against an endpoint that hangs before the first token and attracts a new request whenever one times out.
TEST_F(EndpointSelectionTest, BacksOffFromAStalledEndpoint)
{
    start({}, {endpointSpec("a", 2), endpointSpec("b", 2)});
    const support::EndpointId hanging = submit(submissionOf(1, "tier0"), 0ms).grants.at(0).endpoint;
    submit(submissionOf(2, "tier0"), 0ms);
    complete(1, 5s, {.outcome = AttemptOutcome::Stalled});
    EXPECT_NE(submit(submissionOf(3, "tier0"), 5'001ms).grants.at(0).endpoint, hanging);
}

// Guards against ending the backoff of an endpoint that refuses new requests because older ones make progress there.
TEST_F(EndpointSelectionTest, ProgressOfOlderRequestsDoesNotEndTheBackoff)
{
    start({}, {endpointSpec("a", 2)});
    submit(submissionOf(1, "tier0"), 0ms);
    submit(submissionOf(2, "tier0"), 0ms);
    complete(1, 1ms, {.outcome = AttemptOutcome::NotRun});
    progress(2, 1, 2ms);
    EXPECT_TRUE(submit(submissionOf(3, "tier0"), 3ms).grants.empty());
    EXPECT_EQ(functions.advance(pool.get(), at(101ms)).grants.size(), 1U);
}

} // namespace mulberrywall::policy
