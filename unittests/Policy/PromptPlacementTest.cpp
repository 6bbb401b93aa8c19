#include "PolicyFixture.h"

#include <map>
#include <set>

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

/// Engines with a prefill speed of 50 tokens per millisecond, for requests whose prefix length is known.
class PromptPlacementTest : public PolicyFixture
{
protected:
    void startEngines(unsigned count, unsigned slots = 64)
    {
        std::vector<EndpointSpec> specs;
        for (unsigned index = 0; index < count; ++index) {
            specs.push_back(endpointSpec("engine-" + std::to_string(index), slots));
        }
        start({}, specs);
    }

    Submission promptOf(std::uint64_t prefixHash, std::uint32_t prefixTokens, std::uint32_t ownTokens, const std::string &requestClass)
    {
        Submission submission = submissionOf(nextPermit_++, requestClass);
        submission.prefixHash = prefixHash;
        submission.prefixTokens = prefixTokens;
        submission.promptTokens = prefixTokens + ownTokens;
        return submission;
    }

    Submission longPrompt(std::uint64_t prefixHash)
    {
        return promptOf(prefixHash, 13'000, 4'000, "tier2");
    }

    Submission shortPrompt()
    {
        return promptOf(7, 300, 1'100, "tier0");
    }

    /// Submits the request. Returns the name of the endpoint on which it is granted.
    std::string place(const Submission &submission, milliseconds time = {})
    {
        const Decisions decisions = submit(submission, time);
        return decisions.grants.empty() ? std::string("none") : decisions.grants.front().endpoint.value();
    }

    void finish(PermitId permit, milliseconds time)
    {
        progress(permit, 1, time);
        complete(permit, time, {.outputTokens = 1});
    }

    PermitId nextPermit_ = 1;
};

/// Guards against placing several long prompts of a burst on one engine while another engine has fewer.
TEST_F(PromptPlacementTest, SpreadsABurstOfNewPrefixes)
{
    startEngines(4);
    std::map<std::string, unsigned> placed;
    for (std::uint64_t prefixHash = 1; prefixHash <= 8; ++prefixHash) {
        ++placed[place(longPrompt(prefixHash))];
    }
    ASSERT_EQ(placed.size(), 4U);
    for (const auto &[endpoint, count] : placed) {
        EXPECT_EQ(count, 2U) << endpoint;
    }
}

/// Guards against prefilling a prefix on other engines while the wait at the engine that cached it is short.
TEST_F(PromptPlacementTest, SendsAPrefixToTheEngineThatCachedIt)
{
    startEngines(4);
    const Submission first = longPrompt(1);
    const std::string cachingEndpoint = place(first);
    finish(first.permit, milliseconds(400));
    for (unsigned index = 0; index < 5; ++index) {
        EXPECT_EQ(place(longPrompt(1), milliseconds(500)), cachingEndpoint);
    }
}

/// Guards against keeping a prefix on one engine when more requests use it than that engine can prefill in time.
TEST_F(PromptPlacementTest, PrefillsAHotPrefixOnASecondEngine)
{
    startEngines(4);
    std::map<std::string, unsigned> placed;
    for (unsigned index = 0; index < 60; ++index) {
        ++placed[place(longPrompt(1))];
    }
    EXPECT_GT(placed.size(), 1U);
}

/// Guards against short urgent prompts that wait behind the prefill of long ones.
TEST_F(PromptPlacementTest, KeepsShortPromptsAwayFromLongOnes)
{
    startEngines(2);
    const Submission cached = shortPrompt();
    const std::string cachingEndpoint = place(cached);
    finish(cached.permit, milliseconds(50));
    const std::string prefilling = place(longPrompt(1), milliseconds(60));
    const std::string other = prefilling == "engine-0" ? "engine-1" : "engine-0";
    EXPECT_EQ(place(shortPrompt(), milliseconds(70)), other)
        << "prefilling its short prefix again is faster than waiting for the long prompt; cached by " << cachingEndpoint;
}

/// Guards against a burst of long prompts that occupies all engines, so that streams with short inter-token targets miss
/// them.
TEST_F(PromptPlacementTest, ReservesAnEngineForStreamsWithShortTargets)
{
    PoolOptions options;
    options.classes = {tierClass(0), tierClass(2)};
    options.classes[0].interTokenTarget = milliseconds(300);
    options.classes[1].interTokenTarget = milliseconds(2'000);
    std::vector<EndpointSpec> specs;
    for (unsigned index = 0; index < 6; ++index) {
        specs.push_back(endpointSpec("engine-" + std::to_string(index), 64));
    }
    start(options, specs);
    const Submission first = longPrompt(100);
    place(first);
    finish(first.permit, milliseconds(400));

    std::set<std::string> prefilling;
    for (std::uint64_t prefixHash = 1; prefixHash <= 5; ++prefixHash) {
        prefilling.insert(place(longPrompt(prefixHash), milliseconds(500)));
    }
    EXPECT_EQ(prefilling.size(), 5U);
    // More long prompts at once would prefill for longer than their own inter-token targets allow.
    for (unsigned index = 0; index < 4; ++index) {
        EXPECT_FALSE(prefilling.contains(place(shortPrompt(), milliseconds(510))));
    }
}

/// Guards against routers that load the same engine because they ignore each other's requests.
TEST_F(PromptPlacementTest, CountsRequestsOfOtherRouters)
{
    const PeerReport report {.router = support::InstanceId("peer"),
        .requests = {{.endpoint = support::EndpointId("engine-0"), .prefixHash = 9, .prefixTokens = 13'000, .pendingPrefillTokens = 17'000}}};
    // Uses a separate pool for each submission, because a placed request counts as load too.
    const std::vector<std::pair<Submission, std::string>> expected {{shortPrompt(), "engine-1"}, {longPrompt(1), "engine-1"}, {longPrompt(9), "engine-0"}};
    for (const auto &[submission, endpoint] : expected) {
        startEngines(2);
        functions.recordPeerRequests(pool.get(), report, startTime);
        EXPECT_EQ(place(submission), endpoint) << "prefix " << submission.prefixHash << "; the peer's prefix 9 is cached at engine-0";
    }
}

/// Guards against counting the last report of a killed peer for ever.
TEST_F(PromptPlacementTest, ExpiresTheLoadOfASilentPeer)
{
    startEngines(2);
    const PeerReport report {
        .router = support::InstanceId("peer"), .requests = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefillTokens = 100'000}}};
    functions.recordPeerRequests(pool.get(), report, startTime);
    EXPECT_EQ(place(longPrompt(1), milliseconds(100)), "engine-1");
    EXPECT_EQ(place(longPrompt(2), milliseconds(2'000)), "engine-0");
}

TEST_F(PromptPlacementTest, ReplacesAPeersReport)
{
    startEngines(2);
    PeerReport report {.router = support::InstanceId("peer"), .requests = {{.endpoint = support::EndpointId("engine-0"), .pendingPrefillTokens = 100'000}}};
    functions.recordPeerRequests(pool.get(), report, startTime);
    report.requests = {{.endpoint = support::EndpointId("engine-1"), .pendingPrefillTokens = 100'000}};
    functions.recordPeerRequests(pool.get(), report, startTime);
    EXPECT_EQ(place(longPrompt(1)), "engine-0");
}

/// Guards against affinity to an engine that lost its cache at a restart.
TEST_F(PromptPlacementTest, ClearsPrefixesOfARestartedEngine)
{
    startEngines(2);
    const Submission first = longPrompt(1);
    const std::string cachingEndpoint = place(first);
    finish(first.permit, milliseconds(400));
    const PeerReport busyEndpointReport {
        .router = support::InstanceId("peer"), .requests = {{.endpoint = support::EndpointId(cachingEndpoint), .pendingPrefillTokens = 5'000}}};
    functions.recordPeerRequests(pool.get(), busyEndpointReport, at(milliseconds(500)));
    const Submission second = longPrompt(1);
    EXPECT_EQ(place(second, milliseconds(500)), cachingEndpoint) << "waiting for the cached prefix is better than prefilling it again";
    finish(second.permit, milliseconds(700));

    std::vector<EndpointSpec> specs {endpointSpec("engine-0", 64), endpointSpec("engine-1", 64)};
    for (EndpointSpec &spec : specs) {
        spec.incarnation = spec.id.value() == cachingEndpoint ? 2 : 0;
    }
    functions.setEndpoints(pool.get(), specs, at(milliseconds(800)));
    EXPECT_NE(place(longPrompt(1), milliseconds(800)), cachingEndpoint) << "the prefix has to be prefilled on any engine, and the restarted one is busy";
}

TEST_F(PromptPlacementTest, ReportsRunningRequestsAndPendingPrefill)
{
    startEngines(1);
    const Submission submission = longPrompt(5);
    place(submission);
    std::vector<PeerRequest> running = functions.runningRequests(pool.get());
    ASSERT_EQ(running.size(), 1U);
    EXPECT_EQ(running.front().pendingPrefillTokens, 17'000U);
    EXPECT_EQ(running.front().prefixTokens, 13'000U);
    EXPECT_EQ(running.front().prefixHash, 5U);
    progress(submission.permit, 1, milliseconds(350));
    running = functions.runningRequests(pool.get());
    EXPECT_EQ(running.front().pendingPrefillTokens, 0U);
    complete(submission.permit, milliseconds(900), {.outputTokens = 10});
    EXPECT_TRUE(functions.runningRequests(pool.get()).empty());
}

/// Routers that start at the same time with empty caches and hear each other only after an interval.
class ManyRoutersTest : public PromptPlacementTest
{
protected:
    /// Places the prompts of one router that has heard of no other one. Adds the prefill to the engines that it chooses.
    void placeAt(unsigned router, unsigned prompts, std::map<std::string, double> &prefillSeconds)
    {
        startEngines(engines);
        for (unsigned index = 0; index < prompts; ++index) {
            // Each subject has its own prefix, and the same subject is asked about through different routers.
            Submission submission = longPrompt(1 + (router * prompts + index) % subjects);
            submission.spreadSeed = router * prompts + index;
            const std::string endpoint = place(submission);
            prefillSeconds[endpoint] += submission.promptTokens / 50'000.0;
        }
    }

    static constexpr unsigned engines = 240;
    static constexpr unsigned routers = 40;
    static constexpr unsigned subjects = 160;
};

/// Guards against a cold start at which all routers send their first prompts to the same engines, because the load of all
/// engines is zero in their view. 160 prompts in one interval are two thirds of a prompt for each engine.
TEST_F(ManyRoutersTest, ColdStartSpreadsOverAllEngines)
{
    std::map<std::string, double> prefillSeconds;
    for (unsigned router = 0; router < routers; ++router) {
        placeAt(router, 4, prefillSeconds);
    }
    EXPECT_GT(prefillSeconds.size(), 100U) << "160 subjects on 240 engines";
    for (const auto &[endpoint, seconds] : prefillSeconds) {
        EXPECT_LE(seconds, 2.0) << endpoint << " exceeds the first-token target";
    }
}

/// Guards against routers that prefill the same new prefix on different engines because they have not heard of each other.
TEST_F(ManyRoutersTest, AgreeOnTheEngineOfANewPrefix)
{
    std::set<std::string> placed;
    for (unsigned router = 0; router < routers; ++router) {
        startEngines(engines);
        Submission submission = longPrompt(1);
        submission.spreadSeed = router;
        placed.insert(place(submission));
    }
    EXPECT_EQ(placed.size(), 1U);
}

/// Guards against a herd onto the one engine that seemed idle in the last report, when all others are busy.
TEST_F(ManyRoutersTest, DoNotAllChooseTheLeastLoadedEngine)
{
    PeerSummary busy;
    for (unsigned index = 1; index < engines; ++index) {
        busy.endpoints.push_back({.endpoint = support::EndpointId("engine-" + std::to_string(index)), .pendingPrefill = {{.tokens = 20'000}}, .running = 2});
    }
    unsigned atIdleEngine = 0;
    for (unsigned router = 0; router < routers; ++router) {
        startEngines(engines);
        functions.recordPeerSummary(pool.get(), {.summary = busy}, startTime);
        for (unsigned index = 0; index < 4; ++index) {
            atIdleEngine += place(longPrompt(1 + router * 4 + index)) == "engine-0" ? 1 : 0;
        }
    }
    EXPECT_LE(atIdleEngine, 16U) << "a tenth of 160 prompts; each prefills for 0.34 s";
}

} // namespace mulberrywall::policy
