#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class AdmissionTest : public PolicyFixture
{
protected:
    /// Runs requests that each hold a slot for one second, so that the pool estimates this holding time.
    void establishHoldingTime(const std::string &requestClass)
    {
        for (PermitId permit = 1'000; permit < 1'010; ++permit) {
            submit(submissionOf(permit, requestClass), time);
            time += 1s;
            complete(permit, time);
        }
    }

    std::chrono::milliseconds time {0};
};

// Guards against queueing requests that will miss their target, and against rejecting those that can meet it.
TEST_F(AdmissionTest, RejectsRequestsThatWouldMissTheirTarget)
{
    ClassSpec spec = tierClass(0);
    spec.firstTokenTarget = 6s;
    start({.classes = {spec}}, {endpointSpec("a", 1)});
    establishHoldingTime("tier0");
    unsigned admitted = 0;
    unsigned unreachable = 0;
    for (PermitId permit = 1; permit <= 20; ++permit) {
        const Decisions decisions = submit(submissionOf(permit, "tier0"), time);
        if (decisions.rejections.empty()) {
            ++admitted;
            continue;
        }
        EXPECT_EQ(decisions.rejections[0].permit, permit);
        EXPECT_EQ(decisions.rejections[0].reason, RejectionReason::TargetUnreachable);
        EXPECT_GT(decisions.rejections[0].retryAfter, 0ms);
        ++unreachable;
    }
    // The slot becomes free once a second, and the time to first token is one second, which leaves five seconds for
    // queueing. AdmissionTuning::slack allows three quarters of that: one request runs and three wait.
    EXPECT_EQ(admitted, 4U);
    EXPECT_EQ(admitted + unreachable, 20U);
}

// Guards against rejecting all waiting requests after a pause of the router or its machine: every endpoint then seems to have
// stalled and is not used for a tenth of a second, as if the pool had no slots.
TEST_F(AdmissionTest, ShortBackoffOfAllEndpointsRejectsNothing)
{
    ClassSpec spec = tierClass(0);
    spec.firstTokenTarget = 30s;
    start({.classes = {spec}}, {endpointSpec("a", 8), endpointSpec("b", 8)});
    establishHoldingTime("tier0");
    for (PermitId permit = 1; permit <= 16; ++permit) {
        submit(submissionOf(permit, "tier0"), time);
    }
    for (PermitId permit = 1; permit <= 16; ++permit) {
        complete(permit, time, {.outcome = AttemptOutcome::Stalled});
    }
    for (PermitId permit = 17; permit <= 100; ++permit) {
        const Decisions decisions = submit(submissionOf(permit, "tier0"), time);
        EXPECT_TRUE(decisions.grants.empty()) << "the endpoints are not used yet";
        EXPECT_TRUE(decisions.rejections.empty()) << permit;
    }
}

/// A pool whose router was paused while all of its slots were in use.
class PausedAdmissionTest : public AdmissionTest
{
protected:
    static constexpr PermitId slots = 4;

    void pauseWithRunningRequests()
    {
        ClassSpec spec = tierClass(0);
        spec.firstTokenTarget = 8s;
        start({.classes = {spec}}, {endpointSpec("a", slots)});
        for (PermitId permit = 1; permit <= slots; ++permit) {
            submit(submissionOf(permit, "tier0"), time);
        }
        time += 500ms;
        constexpr std::chrono::milliseconds pause = 10s;
        time += pause;
        functions.recordPause(pool.get(), pause, at(time));
    }

    void expectNoRejections()
    {
        for (PermitId permit = 100; permit < 112; ++permit) {
            EXPECT_TRUE(submit(submissionOf(permit, "tier0"), time).rejections.empty()) << permit;
        }
    }
};

// Guards against rejecting callers after a pause of the router because the running requests seem to be as old as the pause.
TEST_F(PausedAdmissionTest, PauseIsNotPartOfTheAgeOfRunningRequests)
{
    pauseWithRunningRequests();
    expectNoRejections();
}

// Guards against rejecting callers after a pause of the router because the requests that ended meanwhile seem to have held their
// slots for all of it.
TEST_F(PausedAdmissionTest, PauseIsNotPartOfTheHoldingTime)
{
    pauseWithRunningRequests();
    for (PermitId permit = 1; permit <= slots; ++permit) {
        complete(permit, time);
    }
    expectNoRejections();
}

// Guards against a router that gives up its estimates for good after a pause.
TEST_F(PausedAdmissionTest, HoldingTimeIsObservedAgainAfterThePause)
{
    pauseWithRunningRequests();
    for (PermitId permit = 1; permit <= slots; ++permit) {
        complete(permit, time);
    }
    establishHoldingTime("tier0");
    unsigned unreachable = 0;
    for (PermitId permit = 100; permit < 200; ++permit) {
        unreachable += submit(submissionOf(permit, "tier0"), time).rejections.empty() ? 0 : 1;
    }
    EXPECT_GT(unreachable, 0U);
}

// Guards against rejecting a higher tier because of requests that wait in a lower tier.
TEST_F(AdmissionTest, WaitingRequestsOfLowerTiersDoNotCount)
{
    std::vector<ClassSpec> classes {tierClass(0), tierClass(1)};
    classes[0].firstTokenTarget = 4s;
    classes[1].firstTokenTarget = 1h;
    start({.classes = classes}, {endpointSpec("a", 1)});
    establishHoldingTime("tier0");
    for (PermitId permit = 1; permit <= 50; ++permit) {
        EXPECT_TRUE(submit(submissionOf(permit, "tier1"), time).rejections.empty());
    }
    EXPECT_TRUE(submit(submissionOf(100, "tier0"), time).rejections.empty());
    EXPECT_TRUE(submit(submissionOf(101, "tier0"), time).rejections.empty());
}

// Guards against a class that is rejected at admission as long as a higher tier saturates the pool.
TEST_F(AdmissionTest, EveryClassMayKeepARequestWaiting)
{
    std::vector<ClassSpec> classes {tierClass(0), tierClass(1)};
    classes[0].firstTokenTarget = 1h;
    classes[1].firstTokenTarget = 10ms;
    start({.classes = classes}, {endpointSpec("a", 1)});
    establishHoldingTime("tier0");
    for (PermitId permit = 1; permit <= 50; ++permit) {
        submit(submissionOf(permit, "tier0"), time);
    }
    EXPECT_TRUE(submit(submissionOf(100, "tier1"), time).rejections.empty());
    EXPECT_EQ(submit(submissionOf(101, "tier1"), time).rejections.at(0).reason, RejectionReason::TargetUnreachable);
}

// Guards against rejecting an organisation with few requests because of another one's backlog in the same tier.
TEST_F(AdmissionTest, BacklogOfAnotherOrganisationDoesNotCount)
{
    ClassSpec spec = tierClass(0);
    spec.firstTokenTarget = 10s;
    start({.classes = {spec}}, {endpointSpec("a", 1)});
    establishHoldingTime("tier0");
    for (PermitId permit = 1; permit <= 30; ++permit) {
        submit(submissionOf(permit, "tier0"), time);
    }
    EXPECT_FALSE(submit(submissionOf(31, "tier0"), time).rejections.empty());
    Submission other = submissionOf(32, "tier0");
    other.organisation = support::OrganisationId("other");
    EXPECT_TRUE(submit(other, time).rejections.empty());
}

} // namespace mulberrywall::policy
