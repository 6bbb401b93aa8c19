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

    /// Reports the given running requests as failed by a crash of their endpoint.
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

    /// Records the report of another owner that a request has just crashed endpoints.
    Decisions recordReportedCrashes(Fingerprint fingerprint, unsigned crashes, std::chrono::milliseconds time)
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

// Guards against a request that crashes one endpoint after another, and against a quarantine that never expires.
TEST_F(CrashQuarantineTest, RejectsAfterSecondCrashUntilExpiry)
{
    start({}, endpoints(3, 4));
    submit(submissionWith(1, 77));
    crash({1}, 100ms);
    ASSERT_EQ(submit(submissionWith(2, 77), 200ms).grants.size(), 1U);
    crash({2}, 300ms);
    const Decisions rejected = submit(submissionWith(3, 77), 400ms);
    ASSERT_EQ(rejected.rejections.size(), 1U);
    EXPECT_EQ(rejected.rejections[0].reason, RejectionReason::Quarantined);
    recordReportedCrashes(77, 2, 5min);
    EXPECT_EQ(submit(submissionWith(4, 77), 300ms + 10min).grants.size(), 1U) << "a repeated report must not extend the quarantine";
}

// Guards against rejecting a stream that was running on two endpoints that crashed for other reasons, and against a
// request that passes the position of each crash and keeps crashing endpoints.
TEST_F(CrashQuarantineTest, PassedCrashesCountTowardsTotalLimitOnly)
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
    EXPECT_EQ(functions.quarantineEntries(pool.get()).at(0).crashes, 1U) << "other owners must not reject it either";
    ASSERT_EQ(resume(3, 400ms).grants.size(), 1U);
    complete(3, 500ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 10});
    const Decisions rejected = resume(4, 600ms);
    ASSERT_EQ(rejected.rejections.size(), 1U);
    EXPECT_EQ(rejected.rejections[0].reason, RejectionReason::Quarantined);
    EXPECT_EQ(functions.quarantineEntries(pool.get()).at(0).crashes, 2U);
}

// Guards against admitting a request that restarts and crashes each endpoint at the same position of its output.
TEST_F(CrashQuarantineTest, RejectsAfterCrashesAtSamePosition)
{
    start({}, endpoints(4, 4));
    submit(submissionWith(1, 77));
    complete(1, 100ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 30});
    submit(submissionWith(2, 77), 200ms);
    complete(2, 300ms, {.outcome = AttemptOutcome::EndpointFailed, .outputTokens = 31});
    EXPECT_EQ(submit(submissionWith(3, 77), 400ms).rejections.size(), 1U);
}

// Guards against quarantining requests whose connection broke while their endpoint kept running.
TEST_F(CrashQuarantineTest, LostConnectionsDoNotQuarantine)
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

// Guards against other requests on the endpoint of a quarantined request, and against two quarantined requests at once.
TEST_F(CrashQuarantineTest, QuarantinedRequestsRunAloneAndOneAtATime)
{
    start({}, endpoints(4, 2));
    submit(submissionWith(1, 77));
    submit(submissionWith(2, 0));
    recordReportedCrashes(77, 1, 1ms);
    recordReportedCrashes(78, 1, 1ms);
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
    EXPECT_TRUE(granted) << "the next quarantined request runs on the idle endpoint";
}

// Guards against a quarantined request that waits for ever in a busy pool, and against running it among others when an
// endpoint can be drained.
TEST_F(CrashQuarantineTest, BusyPoolDrainsAnEndpoint)
{
    start({}, endpoints(4, 2));
    for (PermitId permit = 1; permit <= 7; ++permit) {
        submit(submissionWith(permit, permit));
    }
    recordReportedCrashes(77, 1, 1ms);
    EXPECT_TRUE(submit(submissionWith(8, 77), 2ms).grants.empty());
    EXPECT_TRUE(submit(submissionWith(9, 9), 2ms).grants.empty()) << "the endpoint with a free slot is being drained";
    bool granted = false;
    for (PermitId permit = 1; permit <= 7 && !granted; ++permit) {
        for (const Grant &grant : complete(permit, 3ms).grants) {
            granted = granted || grant.permit == 8;
        }
    }
    EXPECT_TRUE(granted);
}

// Guards against draining an endpoint without end because its last requests do not end.
TEST_F(CrashQuarantineTest, SharesAnEndpointAfterIsolationWait)
{
    start({}, endpoints(4, 2));
    for (PermitId permit = 1; permit <= 7; ++permit) {
        submit(submissionWith(permit, permit));
    }
    recordReportedCrashes(77, 1, 1ms);
    submit(submissionWith(8, 77), 2ms);
    const Decisions decisions = advanceThroughWakeUps(2ms + CrashTuning {}.isolationWait);
    ASSERT_EQ(decisions.grants.size(), 1U);
    EXPECT_EQ(decisions.grants[0].permit, 8U);
}

// Guards against treating a broken connection as a crash of requests that keep running, and against reports of other
// owners that quarantine a released request again.
TEST_F(CrashQuarantineTest, SurvivingRequestsAreReleased)
{
    start({}, endpoints(1, 4));
    submit(submissionWith(1, 77));
    submit(submissionWith(2, 78));
    crash({1}, 100ms);
    EXPECT_EQ(functions.quarantineEntries(pool.get()).size(), 2U);
    progress(2, 10, 1'200ms);
    ASSERT_EQ(functions.quarantineEntries(pool.get()).size(), 1U);
    EXPECT_EQ(functions.quarantineEntries(pool.get())[0].fingerprint, 77U);
    recordReportedCrashes(78, 1, 1'300ms);
    EXPECT_EQ(functions.quarantineEntries(pool.get()).size(), 1U);
    complete(2, 1'400ms, {.outputTokens = 10});
    submit(submissionWith(3, 77), 1'500ms);
    complete(3, 1'600ms);
    EXPECT_TRUE(functions.quarantineEntries(pool.get()).empty()) << "a request that ran to completion is released";
}

// Guards against streams of a crashed engine that resume one at a time, each only after the previous one has ended.
TEST_F(CrashQuarantineTest, NextQuarantinedRequestStartsAfterIsolatedRun)
{
    start({}, endpoints(3, 4));
    submit(submissionWith(1, 77));
    recordReportedCrashes(78, 1, 1ms);
    recordReportedCrashes(79, 1, 1ms);
    submit(submissionWith(2, 78), 2ms);
    EXPECT_TRUE(submit(submissionWith(3, 79), 3ms).grants.empty());
    EXPECT_TRUE(progress(2, 5, 1s).grants.empty());
    const Decisions decisions = progress(2, 50, 2'100ms);
    ASSERT_EQ(decisions.grants.size(), 1U);
    EXPECT_EQ(decisions.grants[0].permit, 3U);
}

// Guards against owners that renew each other's quarantine entries, and against a waiting request that is rejected only
// with the next command.
TEST_F(CrashQuarantineTest, ReportedQuarantineExpiresAsAtTheReportingOwner)
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

// Guards against counting a late report of a token from before a crash as evidence that the request survived it.
TEST_F(CrashQuarantineTest, OnlyTokensAfterTheCrashConfirmSurvival)
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

// Guards against waiting or running copies that keep crashing endpoints after the request has reached the crash limit.
TEST_F(CrashQuarantineTest, RejectsWaitingAndCancelsRunningCopies)
{
    start({}, endpoints(2, 1));
    const support::EndpointId first = submit(submissionWith(1, 77)).grants.at(0).endpoint;
    submit(submissionWith(2, 77));
    submit(submissionWith(3, 77));
    recordReportedCrashes(77, 1, 1ms);
    const Decisions decisions = crash({1}, 10ms);
    ASSERT_EQ(decisions.rejections.size(), 1U);
    EXPECT_EQ(decisions.rejections[0].permit, 3U);
    ASSERT_EQ(decisions.cancellations.size(), 1U);
    EXPECT_EQ(decisions.cancellations[0].permit, 2U);
}

} // namespace mulberrywall::policy
