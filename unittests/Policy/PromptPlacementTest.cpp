#include "PolicyFixture.h"

#include <map>
#include <set>

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

/// Engines that read 50 tokens in a millisecond, for requests whose shared parts are known.
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

    Submission promptOf(std::uint64_t subject, std::uint32_t prefixTokens, std::uint32_t ownTokens, const std::string &requestClass)
    {
        Submission submission = submissionOf(nextPermit_++, requestClass);
        submission.prefixHash = subject;
        submission.prefixTokens = prefixTokens;
        submission.promptTokens = prefixTokens + ownTokens;
        return submission;
    }

    Submission longPrompt(std::uint64_t subject)
    {
        return promptOf(subject, 13'000, 4'000, "tier2");
    }

    Submission shortPrompt()
    {
        return promptOf(7, 300, 1'100, "tier0");
    }

    /// Returns the name of the endpoint that the request is granted on.
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

/// A burst of long prompts about different subjects: each engine gets one before any gets a second.
TEST_F(PromptPlacementTest, SpreadsABurstOfNewSubjects)
{
    startEngines(4);
    std::map<std::string, unsigned> placed;
    for (std::uint64_t subject = 1; subject <= 8; ++subject) {
        ++placed[place(longPrompt(subject))];
    }
    ASSERT_EQ(placed.size(), 4U);
    for (const auto &[endpoint, count] : placed) {
        EXPECT_EQ(count, 2U) << endpoint;
    }
}

/// A subject that many ask for stays where its shared part was read, as long as the wait there is short.
TEST_F(PromptPlacementTest, SendsASubjectToTheEngineThatHoldsIt)
{
    startEngines(4);
    const Submission first = longPrompt(1);
    const std::string holder = place(first);
    finish(first.permit, milliseconds(400));
    for (unsigned index = 0; index < 5; ++index) {
        EXPECT_EQ(place(longPrompt(1), milliseconds(500)), holder);
    }
}

/// A subject that more requests ask for than one engine can read in time is read on another engine too.
TEST_F(PromptPlacementTest, ReadsAHotSubjectOnASecondEngine)
{
    startEngines(4);
    std::map<std::string, unsigned> placed;
    for (unsigned index = 0; index < 60; ++index) {
        ++placed[place(longPrompt(1))];
    }
    EXPECT_GT(placed.size(), 1U);
}

/// Short urgent prompts beside long ones: they avoid engines that are busy reading.
TEST_F(PromptPlacementTest, KeepsShortPromptsAwayFromLongOnes)
{
    startEngines(2);
    const Submission known = shortPrompt();
    const std::string holder = place(known);
    finish(known.permit, milliseconds(50));
    const std::string reading = place(longPrompt(1), milliseconds(60));
    const std::string other = reading == "engine-0" ? "engine-1" : "engine-0";
    EXPECT_EQ(place(shortPrompt(), milliseconds(70)), other) << "its small shared part is read again sooner than the long prompt ends; held by " << holder;
}

/// A burst of long prompts: one engine stays free of them for streams whose pause targets they would make miss.
TEST_F(PromptPlacementTest, ReservesAnEngineForStreamsWithShortPauses)
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

    std::set<std::string> reading;
    for (std::uint64_t subject = 1; subject <= 5; ++subject) {
        reading.insert(place(longPrompt(subject), milliseconds(500)));
    }
    EXPECT_EQ(reading.size(), 5U);
    // More at once would read for longer than their own pauses allow.
    for (unsigned index = 0; index < 4; ++index) {
        EXPECT_FALSE(reading.contains(place(shortPrompt(), milliseconds(510))));
    }
}

/// Guards against routers that load the same engine because none knows of the others' requests.
TEST_F(PromptPlacementTest, CountsWhatOtherRoutersHaveSent)
{
    const PeerReport report {.router = support::InstanceId("peer"),
        .requests = {{.endpoint = support::EndpointId("engine-0"), .prefixHash = 9, .prefixTokens = 13'000, .pendingPrefillTokens = 17'000}}};
    // Each in a pool of its own, because a placed request counts as load too.
    const std::vector<std::pair<Submission, std::string>> expected {{shortPrompt(), "engine-1"}, {longPrompt(1), "engine-1"}, {longPrompt(9), "engine-0"}};
    for (const auto &[submission, endpoint] : expected) {
        startEngines(2);
        functions.recordPeerRequests(pool.get(), report, startTime);
        EXPECT_EQ(place(submission), endpoint) << "subject " << submission.prefixHash << "; the peer's subject 9 is held at engine-0";
    }
}

/// Guards against a peer that was killed and whose last report counts for ever.
TEST_F(PromptPlacementTest, ForgetsTheLoadOfASilentPeer)
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

/// Guards against affinity to an engine that lost its memory at a restart.
TEST_F(PromptPlacementTest, ForgetsWhatARestartedEngineHeld)
{
    startEngines(2);
    const Submission first = longPrompt(1);
    const std::string holder = place(first);
    finish(first.permit, milliseconds(400));
    const PeerReport busyHolder {.router = support::InstanceId("peer"), .requests = {{.endpoint = support::EndpointId(holder), .pendingPrefillTokens = 5'000}}};
    functions.recordPeerRequests(pool.get(), busyHolder, at(milliseconds(500)));
    const Submission second = longPrompt(1);
    EXPECT_EQ(place(second, milliseconds(500)), holder) << "waiting for the holder is better than reading again";
    finish(second.permit, milliseconds(700));

    std::vector<EndpointSpec> specs {endpointSpec("engine-0", 64), endpointSpec("engine-1", 64)};
    for (EndpointSpec &spec : specs) {
        spec.incarnation = spec.id.value() == holder ? 2 : 0;
    }
    functions.setEndpoints(pool.get(), specs, at(milliseconds(800)));
    EXPECT_NE(place(longPrompt(1), milliseconds(800)), holder) << "the prompt has to be read anyway, and the holder is busy";
}

TEST_F(PromptPlacementTest, ReportsRunningRequestsAndWhatTheyStillRead)
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

} // namespace mulberrywall::policy
