#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class CrashQuarantineTest : public PolicyFixture
{
protected:
    static Submission submissionWith(PermitId permit, Fingerprint fingerprint)
    {
        Submission submission = submissionOf(permit, "tier1");
        submission.fingerprint = fingerprint;
        return submission;
    }

    /// Crashes the endpoint of the given running requests.
    Decisions crash(const std::vector<PermitId> &permits, std::chrono::milliseconds time)
    {
        Decisions all;
        for (const PermitId permit : permits) {
            const Decisions decisions = complete(permit, time, {.outcome = AttemptOutcome::EndpointFailed});
            all.grants.insert(all.grants.end(), decisions.grants.begin(), decisions.grants.end());
            all.rejections.insert(all.rejections.end(), decisions.rejections.begin(), decisions.rejections.end());
            all.cancellations.insert(all.cancellations.end(), decisions.cancellations.begin(), decisions.cancellations.end());
        }
        return all;
    }

    /// Hears from another owner of a request that crashed endpoints just now.
    Decisions learn(Fingerprint fingerprint, unsigned crashes, std::chrono::milliseconds time)
    {
        return functions.recordQuarantineEntry(
            pool.get(), {.fingerprint = fingerprint, .crashes = crashes, .expiresAt = at(time) + CrashTuning {}.expiry}, at(time));
    }

    static std::vector<EndpointSpec> endpoints(unsigned count, unsigned slots)
    {
        std::vector<EndpointSpec> result;
        for (unsigned i = 0; i < count; ++i) {
            result.push_back(endpointSpec("e" + std::to_string(i), slots));
        }
        return result;
    }
};

// Guards against a request that crashes one endpoint after another, and against suspecting it for ever.
TEST_F(CrashQuarantineTest, RefusedAfterTheSecondCrashUntilItExpires)
{
    start({}, endpoints(3, 4));
    submit(submissionWith(1, 77));
    crash({1}, 100ms);
    ASSERT_EQ(submit(submissionWith(2, 77), 200ms).grants.size(), 1U);
    crash({2}, 300ms);
    const Decisions rejected = submit(submissionWith(3, 77), 400ms);
    ASSERT_EQ(rejected.rejections.size(), 1U);
    EXPECT_EQ(rejected.rejections[0].reason, RejectionReason::Quarantined);
    learn(77, 2, 5min);
    EXPECT_EQ(submit(submissionWith(4, 77), 300ms + 10min).grants.size(), 1U) << "an echo of the suspicion must not prolong it";
}

// Guards against refusing a stream that happened to run on two endpoints that crashed for other reasons, and against a
// request that gets past the place of each crash and crashes endpoints without end.
TEST_F(CrashQuarantineTest, OutlivedCrashesCountLess)
{
    start({}, endpoints(4, 4));
    const auto resume = [&](PermitId permit, std::chrono::milliseconds time) {
        Submission submission = submissionWith(permit, 77);
        submission.purpose = AttemptPurpose::Resume;
        return submit(submission, time);
    };
    submit(submissionWith(1, 77));
    complete(1, 100ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 30});
    ASSERT_EQ(resume(2, 200ms).grants.size(), 1U);
    complete(2, 300ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 10});
    EXPECT_EQ(functions.quarantineEntries(pool.get()).at(0).crashes, 1U) << "other owners must not refuse it either";
    ASSERT_EQ(resume(3, 400ms).grants.size(), 1U);
    complete(3, 500ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 10});
    const Decisions rejected = resume(4, 600ms);
    ASSERT_EQ(rejected.rejections.size(), 1U);
    EXPECT_EQ(rejected.rejections[0].reason, RejectionReason::Quarantined);
    EXPECT_EQ(functions.quarantineEntries(pool.get()).at(0).crashes, 2U);
}

// Guards against sparing a request that starts over and crashes each endpoint at the same place of its answer.
TEST_F(CrashQuarantineTest, RefusedForCrashesAtTheSamePlace)
{
    start({}, endpoints(4, 4));
    submit(submissionWith(1, 77));
    complete(1, 100ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 30});
    submit(submissionWith(2, 77), 200ms);
    complete(2, 300ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 31});
    EXPECT_EQ(submit(submissionWith(3, 77), 400ms).rejections.size(), 1U);
}

// Guards against suspecting requests whose connection broke while their endpoint went on.
TEST_F(CrashQuarantineTest, LostConnectionsAreNoCrashes)
{
    start({}, endpoints(2, 4));
    for (PermitId permit = 1; permit <= 3; ++permit) {
        const std::chrono::milliseconds time = permit * 10s;
        ASSERT_EQ(submit(submissionWith(permit, 77), time).grants.size(), 1U);
        complete(permit, time + 1s, {.outcome = AttemptOutcome::ConnectionLost});
    }
    EXPECT_TRUE(functions.quarantineEntries(pool.get()).empty());
}

// Guards against a crash being counted once for each request that reports it.
TEST_F(CrashQuarantineTest, OneCrashCountsOnceForAllRequestsOnTheEndpoint)
{
    start({}, endpoints(1, 4));
    submit(submissionWith(1, 77));
    submit(submissionWith(2, 77));
    submit(submissionWith(3, 78));
    crash({1, 2, 3}, 100ms);
    const auto quarantineEntries = functions.quarantineEntries(pool.get());
    ASSERT_EQ(quarantineEntries.size(), 2U);
    EXPECT_EQ(quarantineEntries[0].crashes, 1U);
    EXPECT_EQ(quarantineEntries[1].crashes, 1U);
    EXPECT_EQ(functions.statistics(pool.get()).endpointCrashes, 1U);
}

// Guards against bystanders on the endpoint of a suspect, and against two suspects at once.
TEST_F(CrashQuarantineTest, SuspectsRunAloneAndOneAtATime)
{
    start({}, endpoints(4, 2));
    submit(submissionWith(1, 77));
    submit(submissionWith(2, 0));
    learn(77, 1, 1ms);
    learn(78, 1, 1ms);
    const Decisions first = submit(submissionWith(3, 77), 2ms);
    ASSERT_EQ(first.grants.size(), 1U);
    const support::EndpointId isolated = first.grants[0].endpoint;
    EXPECT_TRUE(submit(submissionWith(4, 78), 3ms).grants.empty());
    for (PermitId permit = 10; permit < 20; ++permit) {
        for (const Grant &grant : submit(submissionWith(permit, permit), 4ms).grants) {
            EXPECT_NE(grant.endpoint, isolated);
        }
    }
    bool granted = false;
    for (const Grant &grant : complete(3, 5ms).grants) {
        granted = granted || grant.permit == 4;
    }
    EXPECT_TRUE(granted) << "the next suspect follows on the idle endpoint";
}

// Guards against a suspect that waits for ever in a busy pool, and against running it among others when an endpoint
// can be emptied.
TEST_F(CrashQuarantineTest, BusyPoolEmptiesAnEndpoint)
{
    start({}, endpoints(4, 2));
    for (PermitId permit = 1; permit <= 7; ++permit) {
        submit(submissionWith(permit, permit));
    }
    learn(77, 1, 1ms);
    EXPECT_TRUE(submit(submissionWith(8, 77), 2ms).grants.empty());
    EXPECT_TRUE(submit(submissionWith(9, 9), 2ms).grants.empty()) << "the endpoint with a free slot is being emptied";
    bool granted = false;
    for (PermitId permit = 1; permit <= 7 && !granted; ++permit) {
        for (const Grant &grant : complete(permit, 3ms).grants) {
            granted = granted || grant.permit == 8;
        }
    }
    EXPECT_TRUE(granted);
}

// Guards against an endpoint that stays empty when its last requests do not end.
TEST_F(CrashQuarantineTest, SharesAnEndpointAfterTheBound)
{
    start({}, endpoints(4, 2));
    for (PermitId permit = 1; permit <= 7; ++permit) {
        submit(submissionWith(permit, permit));
    }
    learn(77, 1, 1ms);
    submit(submissionWith(8, 77), 2ms);
    const Decisions decisions = followWakeUps(2ms + CrashTuning {}.isolationWait);
    ASSERT_EQ(decisions.grants.size(), 1U);
    EXPECT_EQ(decisions.grants[0].permit, 8U);
}

// Guards against treating a broken connection as a crash of requests that go on, and against gossip that brings a
// cleared suspicion back.
TEST_F(CrashQuarantineTest, SurvivorsAreCleared)
{
    start({}, endpoints(1, 4));
    submit(submissionWith(1, 77));
    submit(submissionWith(2, 78));
    crash({1}, 100ms);
    EXPECT_EQ(functions.quarantineEntries(pool.get()).size(), 2U);
    progress(2, 10, 1'200ms);
    ASSERT_EQ(functions.quarantineEntries(pool.get()).size(), 1U);
    EXPECT_EQ(functions.quarantineEntries(pool.get())[0].fingerprint, 77U);
    learn(78, 1, 1'300ms);
    EXPECT_EQ(functions.quarantineEntries(pool.get()).size(), 1U);
    complete(2, 1'400ms, {.outputTokens = 10});
    submit(submissionWith(3, 77), 1'500ms);
    complete(3, 1'600ms);
    EXPECT_TRUE(functions.quarantineEntries(pool.get()).empty()) << "a suspect that ran to its end is none";
}

// Guards against streams of a crashed engine that resume one after another to the end of each.
TEST_F(CrashQuarantineTest, NextSuspectFollowsWhenTheTrialIsPassed)
{
    start({}, endpoints(3, 4));
    submit(submissionWith(1, 77));
    learn(78, 1, 1ms);
    learn(79, 1, 1ms);
    submit(submissionWith(2, 78), 2ms);
    EXPECT_TRUE(submit(submissionWith(3, 79), 3ms).grants.empty());
    EXPECT_TRUE(progress(2, 5, 1s).grants.empty());
    const Decisions decisions = progress(2, 50, 2'100ms);
    ASSERT_EQ(decisions.grants.size(), 1U);
    EXPECT_EQ(decisions.grants[0].permit, 3U);
}

// Guards against owners that keep a suspicion alive by telling each other, and against a waiting request that is refused
// only with the next command.
TEST_F(CrashQuarantineTest, LearntSuspicionEndsWithTheFirstOwners)
{
    start({}, endpoints(1, 1));
    submit(submissionWith(1, 1));
    submit(submissionWith(2, 77));
    const TimePoint end = at(1s);
    const Decisions decisions = functions.recordQuarantineEntry(pool.get(), {.fingerprint = 77, .crashes = 2, .expiresAt = end}, at(1ms));
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections[0].permit, 2U);
    ASSERT_EQ(functions.quarantineEntries(pool.get()).size(), 1U);
    EXPECT_EQ(functions.quarantineEntries(pool.get())[0].expiresAt, end);
    EXPECT_TRUE(submit(submissionWith(3, 77), 1s).rejections.empty());
    functions.recordQuarantineEntry(pool.get(), {.fingerprint = 77, .crashes = 2, .expiresAt = end}, end);
    EXPECT_TRUE(functions.quarantineEntries(pool.get()).empty());
}

// Guards against a late report of a token from before a crash that counts as proof of having survived the crash.
TEST_F(CrashQuarantineTest, OnlyTokensAfterTheCrashProveSurvival)
{
    start({}, endpoints(1, 4));
    submit(submissionWith(1, 77));
    submit(submissionWith(2, 88));
    crash({1}, 100ms);
    functions.recordProgress(pool.get(), 2, {.outputTokens = 5, .sinceLatestToken = 1'250ms}, at(1'300ms));
    EXPECT_EQ(functions.quarantineEntries(pool.get()).size(), 2U);
    functions.recordProgress(pool.get(), 2, {.outputTokens = 6, .sinceLatestToken = 100ms}, at(1'300ms));
    EXPECT_EQ(functions.quarantineEntries(pool.get()).size(), 1U);
}

// Guards against copies of a request that go on crashing endpoints after the verdict, waiting or running.
TEST_F(CrashQuarantineTest, VerdictReachesWaitingAndRunningCopies)
{
    start({}, endpoints(2, 1));
    const support::EndpointId first = submit(submissionWith(1, 77)).grants.at(0).endpoint;
    submit(submissionWith(2, 77));
    submit(submissionWith(3, 77));
    learn(77, 1, 1ms);
    const Decisions decisions = crash({1}, 10ms);
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections[0].permit, 3U);
    ASSERT_EQ(decisions.cancellations.size(), 1U);
    EXPECT_EQ(decisions.cancellations[0].permit, 2U);
}

} // namespace mulberrywall::policy
