#include "PolicyFixture.h"

#include <algorithm>
#include <map>
#include <optional>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

/// Requests of which no two are alike, some with a prompt segment on which engines crash. "common" and "other" are segments
/// that sound requests have as well.
class SegmentQuarantineTest : public PolicyFixture
{
protected:
    static constexpr Fingerprint common = 1;
    static constexpr Fingerprint other = 2;
    static constexpr Fingerprint deadly = 3;

    void startPool(PoolOptions options = {})
    {
        std::vector<EndpointSpec> specs;
        for (unsigned index = 0; index < 20; ++index) {
            specs.push_back(endpointSpec("e" + std::to_string(index), 4));
            specs.back().incarnation = incarnation_;
        }
        ++incarnation_;
        crashed_.clear();
        start(std::move(options), specs);
    }

    Submission submissionWith(const std::vector<Fingerprint> &segments)
    {
        Submission submission = submissionOf(++permit_, "tier1");
        submission.fingerprint = 1'000 + permit_;
        submission.segments = segments;
        // Keeps requests off an endpoint that has "crashed": the tests do not restart it.
        submission.excludedEndpoints = crashed_;
        return submission;
    }

    Submission submissionWithFingerprint(Fingerprint fingerprint)
    {
        Submission submission = submissionWith({other});
        submission.fingerprint = fingerprint;
        return submission;
    }

    /// Submits a request. Returns its permit, or nothing if it was rejected as quarantined.
    std::optional<PermitId> submitWith(const std::vector<Fingerprint> &segments, std::chrono::milliseconds time)
    {
        const Decisions decisions = submit(submissionWith(segments), time);
        collect(decisions);
        if (!decisions.rejections.empty()) {
            EXPECT_EQ(decisions.rejections.front().reason, RejectionReason::Quarantined);
            return std::nullopt;
        }
        EXPECT_EQ(decisions.grants.size(), 1U);
        endpoints_[permit_] = decisions.grants.at(0).endpoint;
        return permit_;
    }

    void crash(PermitId permit, std::chrono::milliseconds time)
    {
        collect(complete(permit, time, {.outcome = AttemptOutcome::EndpointFailed}));
        crashed_.push_back(endpoints_.at(permit));
    }

    /// Lets a request with the segments crash its engine. Returns false if it was rejected instead.
    bool runDeadly(const std::vector<Fingerprint> &segments, std::chrono::milliseconds time)
    {
        const auto permit = submitWith(segments, time);
        if (permit) {
            crash(*permit, time + 10ms);
        }
        return permit.has_value();
    }

    void runSound(const std::vector<Fingerprint> &segments, std::chrono::milliseconds time)
    {
        const auto permit = submitWith(segments, time);
        ASSERT_TRUE(permit);
        progress(*permit, 1, time + 5ms);
        collect(complete(*permit, time + 10ms, {.outputTokens = 5}));
    }

    /// Lets requests with the deadly segment crash engines until it is quarantined. Returns the time of the latest crash.
    std::chrono::milliseconds quarantineDeadly()
    {
        for (const std::chrono::milliseconds time : {0ms, 300ms, 600ms}) {
            EXPECT_TRUE(runDeadly({common, deadly}, time));
            runSound({common, other}, time + 100ms);
        }
        return 610ms;
    }

    void collect(const Decisions &decisions)
    {
        changes_.insert(changes_.end(), decisions.segmentChanges.begin(), decisions.segmentChanges.end());
        for (const Cancellation &cancellation : decisions.cancellations) {
            cancelled_.push_back(cancellation.permit);
        }
    }

    std::vector<SegmentEvidence> evidence(std::chrono::milliseconds time) const
    {
        return functions.segmentEvidence(pool.get(), at(time));
    }

    void merge(const std::vector<SegmentEvidence> &received, std::chrono::milliseconds time)
    {
        collect(functions.recordSegmentEvidence(pool.get(), received, at(time)));
    }

    static bool contains(const std::vector<SegmentEvidence> &evidence, Fingerprint segment)
    {
        return std::any_of(evidence.begin(), evidence.end(), [segment](const SegmentEvidence &entry) { return entry.segment == segment; });
    }

    std::int64_t incarnation_ = 1;
    PermitId permit_ = 0;
    std::map<PermitId, support::EndpointId> endpoints_;
    std::vector<support::EndpointId> crashed_;
    std::vector<SegmentChange> changes_;
    std::vector<PermitId> cancelled_;
};

// Guards against requests that crash one engine after another although no two are alike, and against a quarantine that also
// hits the sound requests with which they share the rest of the prompt.
TEST_F(SegmentQuarantineTest, RejectsADeadlySegmentAndServesTheOthers)
{
    startPool();
    quarantineDeadly();
    EXPECT_FALSE(submitWith({common, deadly}, 700ms));
    EXPECT_FALSE(submitWith({other, deadly}, 800ms));
    EXPECT_TRUE(submitWith({common, other}, 900ms));
    ASSERT_EQ(changes_.size(), 1U);
    EXPECT_EQ(changes_.at(0).segment, deadly);
    EXPECT_TRUE(changes_.at(0).isQuarantined);
    EXPECT_EQ(functions.statistics(pool.get()).quarantinedSegments, 1U);
}

// Guards against blaming a segment that is in all deadly requests, because hardly any sound request with it ran meanwhile.
TEST_F(SegmentQuarantineTest, BlamesTheSegmentWithoutOutput)
{
    startPool();
    runSound({common, other}, 0ms);
    for (const std::chrono::milliseconds time : {5'000ms, 5'300ms, 5'600ms}) {
        ASSERT_TRUE(runDeadly({common, deadly}, time));
    }
    EXPECT_FALSE(submitWith({common, deadly}, 5'700ms));
    EXPECT_TRUE(submitWith({common, other}, 5'700ms));
}

// Guards against the same where no output was seen for either: fewer requests have the later segment.
TEST_F(SegmentQuarantineTest, BlamesTheLaterSegmentOfTwoAlike)
{
    startPool();
    for (const std::chrono::milliseconds time : {0ms, 300ms, 600ms}) {
        ASSERT_TRUE(runDeadly({common, deadly}, time));
    }
    EXPECT_FALSE(submitWith({common, deadly}, 700ms));
    EXPECT_TRUE(submitWith({common, other}, 700ms));
}

// Guards against blaming a segment whose requests waited on the engines that another one crashed.
TEST_F(SegmentQuarantineTest, BlamesNoSegmentOfRequestsThatWaitedBesideIt)
{
    startPool();
    merge({{.segment = other, .crashes = {{.id = 1, .age = 800ms}, {.id = 2, .age = 400ms}, {.id = 3, .age = 0ms}}},
              {.segment = deadly, .crashes = {{.id = 1, .age = 800ms}, {.id = 2, .age = 400ms}, {.id = 3, .age = 0ms}, {.id = 4, .age = 0ms}}}},
        1s);
    EXPECT_FALSE(submitWith({deadly}, 1'100ms));
    EXPECT_TRUE(submitWith({other}, 1'100ms));
}

// Guards against suspecting the segments of streams that happen to run on engines that crash.
TEST_F(SegmentQuarantineTest, StreamsWithOutputAreNoSuspects)
{
    startPool();
    for (const std::chrono::milliseconds time : {0ms, 2'000ms, 4'000ms, 6'000ms}) {
        const auto permit = submitWith({other}, time);
        ASSERT_TRUE(permit);
        progress(*permit, 1, time + 10ms);
        progress(*permit, 2, time + 500ms);
        crash(*permit, time + 1'900ms);
    }
    EXPECT_TRUE(submitWith({other}, 9s));
}

// Guards against an engine that crashes just after the first token of a deadly prompt, which would count as output.
TEST_F(SegmentQuarantineTest, OutputJustBeforeTheCrashIsNoEvidence)
{
    startPool();
    for (const std::chrono::milliseconds time : {0ms, 300ms, 600ms}) {
        const auto permit = submitWith({deadly}, time);
        ASSERT_TRUE(permit);
        progress(*permit, 1, time + 10ms);
        crash(*permit, time + 20ms);
    }
    EXPECT_FALSE(submitWith({deadly}, 700ms));
}

// Guards against taking the failure of many engines at once for the effect of a segment that waited on all of them.
TEST_F(SegmentQuarantineTest, EnginesThatCrashTogetherAreNoEvidence)
{
    startPool();
    std::vector<PermitId> permits;
    for (unsigned index = 0; index < 8; ++index) {
        permits.push_back(submitWith({common}, 0ms).value());
    }
    for (const PermitId permit : permits) {
        crash(permit, 100ms);
    }
    EXPECT_TRUE(submitWith({common}, 200ms));
}

// Guards against counting one crash for each router that saw it.
TEST_F(SegmentQuarantineTest, ACrashThatSeveralRoutersReportCountsOnce)
{
    startPool();
    ASSERT_TRUE(runDeadly({deadly}, 0ms));
    const std::vector<SegmentEvidence> reported = evidence(20ms);
    ASSERT_TRUE(contains(reported, deadly));
    for (const std::chrono::milliseconds time : {200ms, 900ms, 1'500ms}) {
        merge(reported, time);
    }
    EXPECT_TRUE(submitWith({deadly}, 2s));
}

// Guards against routers that each need crashes of their own: of hundreds, each sees hardly any.
TEST_F(SegmentQuarantineTest, CrashesOfDifferentRoutersAddUp)
{
    std::vector<std::vector<SegmentEvidence>> reports;
    for (const std::chrono::milliseconds time : {0ms, 300ms, 600ms}) {
        startPool();
        ASSERT_TRUE(runDeadly({common, deadly}, time));
        reports.push_back(evidence(time + 10ms));
    }
    startPool();
    merge(reports.at(0), 20ms);
    runSound({common, other}, 100ms);
    merge(reports.at(1), 320ms);
    merge(reports.at(2), 620ms);
    EXPECT_FALSE(submitWith({common, deadly}, 700ms));
    EXPECT_TRUE(submitWith({common, other}, 700ms));
    EXPECT_TRUE(contains(evidence(1min), deadly)) << "a router that starts later has to learn of the quarantine";
    startPool();
    merge(reports.at(0), 20ms);
    EXPECT_TRUE(submitWith({common, deadly}, 700ms)) << "one crash is no reason for a quarantine";
}

// Guards against a quarantine at a router that serves few requests with a segment which other routers serve well.
TEST_F(SegmentQuarantineTest, OutputAtAnotherRouterRefutesCrashes)
{
    startPool();
    merge({{.segment = common, .crashes = {{.id = 1, .age = 10ms}}}}, 0ms);
    runSound({common}, 100ms);
    const std::vector<SegmentEvidence> output = evidence(200ms);
    ASSERT_TRUE(contains(output, common)) << "a router that refutes a crash has to tell the others";
    startPool();
    merge({{.segment = common, .crashes = {{.id = 1, .age = 10ms}}}}, 0ms);
    merge(output, 210ms);
    merge({{.segment = common, .crashes = {{.id = 2, .age = 10ms}}}}, 300ms);
    merge({{.segment = common, .crashes = {{.id = 3, .age = 10ms}}}}, 600ms);
    EXPECT_TRUE(submitWith({common}, 700ms));
}

// Guards against a segment that stays quarantined by mistake: the streams that run with it show that it is sound.
TEST_F(SegmentQuarantineTest, OutputEndsTheQuarantine)
{
    startPool();
    const auto running = submitWith({deadly}, 0ms);
    ASSERT_TRUE(running);
    progress(*running, 1, 10ms);
    quarantineDeadly();
    ASSERT_FALSE(submitWith({deadly}, 700ms));
    collect(progress(*running, 2, 800ms));
    EXPECT_TRUE(submitWith({deadly}, 900ms));
    ASSERT_EQ(changes_.size(), 2U);
    EXPECT_FALSE(changes_.at(1).isQuarantined);
}

// Guards against a quarantine without end, and against trials that crash as many engines as there were requests before.
TEST_F(SegmentQuarantineTest, MakesOneTrialAfterGrowingDelays)
{
    startPool();
    const std::chrono::milliseconds latest = quarantineDeadly();
    EXPECT_FALSE(submitWith({deadly}, latest + 4'900ms));
    const auto trial = submitWith({deadly}, latest + 5s);
    ASSERT_TRUE(trial);
    EXPECT_FALSE(submitWith({deadly}, latest + 5'100ms)) << "only one trial at a time";
    crash(*trial, latest + 5'200ms);
    EXPECT_FALSE(submitWith({deadly}, latest + 25s));
    const auto second = submitWith({deadly}, latest + 25'300ms);
    ASSERT_TRUE(second);
    complete(*second, latest + 25'400ms);
    EXPECT_FALSE(submitWith({deadly}, latest + 25'500ms)) << "a response without output shows nothing";
}

// Guards against hundreds of routers that all make trials at the same time.
TEST_F(SegmentQuarantineTest, OnlyTheRouterThatSawTheLatestCrashMakesTrials)
{
    startPool();
    const std::chrono::milliseconds latest = quarantineDeadly();
    merge({{.segment = deadly, .crashes = {{.id = 99, .age = 0ms}}}}, latest + 100ms);
    EXPECT_FALSE(submitWith({deadly}, latest + 1min));
    EXPECT_TRUE(submitWith({deadly}, latest + 100ms + SegmentTuning {}.expiry));
}

// Guards against a segment that is rejected until its quarantine expires, although engines no longer crash on it, because the
// router that may make trials was restarted.
TEST_F(SegmentQuarantineTest, MakesTrialsAfterARestart)
{
    startPool();
    const auto crashedAt = quarantineDeadly();
    std::vector<SegmentEvidence> stored = evidence(700ms);
    for (SegmentEvidence &segment : stored) {
        segment.sawLatestCrash = true;
    }
    startPool();
    merge(evidence(800ms), 800ms);
    merge(stored, 800ms);
    EXPECT_FALSE(submitWith({common, deadly}, crashedAt + 4'900ms));
    runSound({common, deadly}, crashedAt + 5'300ms);
    EXPECT_TRUE(submitWith({common, deadly}, crashedAt + 5'400ms));
}

// Guards against a router that makes trials after a restart although another router has seen a later crash.
TEST_F(SegmentQuarantineTest, MakesNoTrialsAfterARestartIfAnotherRouterSawALaterCrash)
{
    startPool();
    const auto crashedAt = quarantineDeadly();
    std::vector<SegmentEvidence> stored = evidence(700ms);
    ASSERT_TRUE(runDeadly({common, deadly}, crashedAt + 5'100ms));
    const std::vector<SegmentEvidence> later = evidence(crashedAt + 5'200ms);
    for (SegmentEvidence &segment : stored) {
        segment.sawLatestCrash = true;
        for (SegmentCrash &crash : segment.crashes) {
            crash.age += crashedAt + 4'500ms;
        }
    }
    startPool();
    merge(later, crashedAt + 5'200ms);
    merge(stored, crashedAt + 5'200ms);
    EXPECT_FALSE(submitWith({common, deadly}, crashedAt + 60s));
}

// Guards against engines that crash on requests which were sent to them before the quarantine and wait there.
TEST_F(SegmentQuarantineTest, CancelsRequestsThatWaitAtEngines)
{
    startPool();
    const auto waiting = submitWith({common, deadly}, 0ms);
    const auto sound = submitWith({common, other}, 0ms);
    quarantineDeadly();
    EXPECT_EQ(cancelled_, std::vector<PermitId> {waiting.value()});
    EXPECT_TRUE(sound);
}

// Guards against rejecting a sound request for ten minutes because it waited on two engines beside requests with a deadly segment.
TEST_F(SegmentQuarantineTest, RequestsThatWaitedBesideADeadlySegmentAreServed)
{
    constexpr Fingerprint request = 77;
    startPool();
    for (const std::chrono::milliseconds time : {0ms, 300ms}) {
        const auto deadlyPermit = submitWith({common, deadly}, time);
        ASSERT_TRUE(deadlyPermit);
        functions.reregister(pool.get(), {.submission = submissionWithFingerprint(request), .endpoint = endpoints_.at(*deadlyPermit)}, at(time));
        crash(*deadlyPermit, time + 10ms);
        complete(permit_, time + 11ms, {.outcome = AttemptOutcome::EndpointFailed});
    }
    EXPECT_EQ(submit(submissionWithFingerprint(request), 350ms).rejections.size(), 1U) << "nothing explains the two crashes yet";
    ASSERT_TRUE(runDeadly({common, deadly}, 600ms));
    ASSERT_FALSE(submitWith({common, deadly}, 700ms));
    EXPECT_EQ(submit(submissionWithFingerprint(request), 710ms).grants.size(), 1U);
    EXPECT_TRUE(functions.quarantineEntries(pool.get()).empty()) << "other routers must not reject it either";
}

// Guards against the same at a router that knows of both only from others, and against a request that is released for good
// although the segment turns out to be sound.
TEST_F(SegmentQuarantineTest, ReportedCrashesCountAgainWhenTheSegmentIsReleased)
{
    constexpr Fingerprint request = 77;
    startPool();
    functions.recordQuarantineEntry(pool.get(), {.fingerprint = request, .crashes = 2, .expiresAt = at(600ms) + CrashTuning {}.expiry - 900ms}, at(600ms));
    ASSERT_EQ(submit(submissionWithFingerprint(request), 610ms).rejections.size(), 1U);
    merge({{.segment = deadly, .crashes = {{.id = 1, .age = 600ms}, {.id = 2, .age = 300ms}, {.id = 3, .age = 0ms}}}}, 620ms);
    EXPECT_EQ(submit(submissionWithFingerprint(request), 630ms).grants.size(), 1U);
    merge({{.segment = deadly, .outputAge = 0ms}}, 700ms);
    EXPECT_EQ(submit(submissionWithFingerprint(request), 710ms).rejections.size(), 1U);
}

// Guards against memory that grows with each segment ever seen.
TEST_F(SegmentQuarantineTest, RemembersABoundedNumberOfSegments)
{
    PoolOptions options;
    options.tuning.segments.maximumSegments = 2;
    startPool(options);
    merge({{.segment = 11, .crashes = {{.id = 1}}}, {.segment = 12, .crashes = {{.id = 1}}}, {.segment = 13, .crashes = {{.id = 1}}}}, 0ms);
    EXPECT_EQ(evidence(10ms).size(), 2U);
    merge({}, SegmentTuning {}.expiry);
    merge({{.segment = 13, .crashes = {{.id = 2}}}}, SegmentTuning {}.expiry + 1ms);
    EXPECT_EQ(evidence(SegmentTuning {}.expiry + 2ms).size(), 1U);
}

} // namespace mulberrywall::policy
