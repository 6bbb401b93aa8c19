#include "EngineFleet.h"

#include "mulberrywall/Policy/StreamProtection.h"

#include <map>
#include <set>
#include <string>

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

/// Engines with a prefill speed of 50 tokens per millisecond, for long prompts beside streams that allow 0.2 s between tokens.
class StreamProtectionTest : public PolicyFixture
{
protected:
    void startEngines(unsigned count, unsigned slots = 64)
    {
        PoolOptions options;
        options.classes = {tierClass(0), tierClass(2)};
        options.classes[0].firstTokenTarget = milliseconds(500);
        options.classes[0].interTokenTarget = milliseconds(200);
        options.classes[1].interTokenTarget = milliseconds(800);
        std::vector<EndpointSpec> specs;
        for (unsigned index = 0; index < count; ++index) {
            specs.push_back(endpointSpec("engine-" + std::to_string(index), slots));
        }
        start(options, specs);
    }

    std::string place(const std::string &requestClass, std::uint32_t sharedTokens, std::uint32_t ownTokens)
    {
        Submission submission = submissionOf(nextPermit_++, requestClass);
        submission.prefixHash = submission.permit;
        submission.prefixTokens = sharedTokens;
        submission.promptTokens = sharedTokens + ownTokens;
        submission.spreadSeed = submission.permit;
        const Decisions decisions = submit(submission);
        return decisions.grants.empty() ? std::string("none") : decisions.grants.front().endpoint.value();
    }

    PermitId nextPermit_ = 1;
};

/// Guards against short streams on all engines of a large pool: they end before other routers hear of them, so that long prompts
/// interrupt them wherever they are. 60 routers at customer F's mean load.
TEST_F(StreamProtectionTest, LongPromptsRarelyInterruptShortStreams)
{
    const std::vector<double> speeds(140, 62.4);
    EngineFleet fleet({}, promptsOfCustomerF(), speeds, 60, 16);
    fleet.run(milliseconds(8'000), 1.0);
    EXPECT_LE(fleet.counts("short").interrupted, fleet.counts("short").asked / 20);
    for (const auto *name : {"long", "medium", "short"}) {
        EXPECT_LE(fleet.counts(name).late, fleet.counts(name).asked / 50) << name;
        EXPECT_EQ(fleet.counts(name).rejected, 0U) << name;
    }
}

/// Guards against streams that wait for a reserved engine, or are rejected, when others are idle.
TEST_F(StreamProtectionTest, StreamsUseAllEnginesWhenTheReservedOnesAreBusy)
{
    startEngines(40, 4);
    std::map<std::string, unsigned> placed;
    functions.recordPeerSummary(pool.get(), {.summary = {.longestPrefill = milliseconds(340)}}, startTime);
    for (unsigned index = 0; index < 120; ++index) {
        ++placed[place("tier0", 350, 1'110)];
    }
    EXPECT_FALSE(placed.contains("none"));
    EXPECT_GT(placed.size(), 20U) << "eight reserved engines have 32 slots";
}

/// Guards against a long prompt on the first acceptable engine of a large pool, where it interrupts a stream, while another of the
/// compared engines has none.
TEST_F(StreamProtectionTest, LongPromptsLookForAnEngineWithoutStreams)
{
    unsigned interrupted = 0;
    constexpr unsigned prompts = 40;
    for (unsigned index = 0; index < prompts; ++index) {
        startEngines(60);
        PeerSummary summary;
        std::set<std::string> withStreams;
        for (unsigned engine = 0; engine < 60; ++engine) {
            const std::string name = "engine-" + std::to_string(engine);
            if (engine % 3 != 0) {
                withStreams.insert(name);
                summary.endpoints.push_back({.endpoint = support::EndpointId(name),
                    .running = 1,
                    .streams = {{.interTokenTarget = milliseconds(200), .streams = 1, .shortPromptStreams = 1}}});
            }
        }
        functions.recordPeerSummary(pool.get(), {.summary = summary}, startTime);
        interrupted += withStreams.contains(place("tier2", 13'300, 3'720)) ? 1 : 0;
    }
    EXPECT_EQ(interrupted, 0U) << "a third of the engines have no streams, and 16 of them are compared";
}

/// Guards against long prompts that wait for an engine without streams, or are rejected, when every engine has some.
TEST_F(StreamProtectionTest, LongPromptsRunBesideStreamsIfAllEnginesHaveThem)
{
    startEngines(4);
    PeerSummary summary;
    for (unsigned engine = 0; engine < 4; ++engine) {
        summary.endpoints.push_back({.endpoint = support::EndpointId("engine-" + std::to_string(engine)),
            .running = 3,
            .streams = {{.interTokenTarget = milliseconds(200), .streams = 3, .shortPromptStreams = 3}}});
    }
    functions.recordPeerSummary(pool.get(), {.summary = summary}, startTime);
    EXPECT_NE(place("tier2", 13'300, 3'720), "none");
}

TEST_F(StreamProtectionTest, CountsStreamsByTargetAndSpeed)
{
    const PlacementTuning tuning;
    const StreamsByInterTokenTarget streams {{milliseconds(200), 2}, {milliseconds(800), 3}};
    EXPECT_EQ(streamsMadeLate(streams, 0.0, 0.06, tuning), 0U);
    EXPECT_EQ(streamsMadeLate(streams, 0.0, 0.15, tuning), 2U) << "the same prompt on a slower engine";
    EXPECT_EQ(streamsMadeLate(streams, 0.2, 0.15, tuning), 0U) << "the first two miss their targets anyway";
}

} // namespace mulberrywall::policy
