#include "PermitsFixture.h"

#include <atomic>

namespace mulberrywall::permits
{

namespace
{

class RoutedPermitsTest : public PermitsFixture
{
protected:
    void addTwoRouters()
    {
        addRouter("one");
        addRouter("two");
        waitForSettledOwnership();
    }
    /// Returns a future of the first command that the owner sends to the holder of the permit.
    static std::future<OwnerCommand> firstCommand(Permit &permit)
    {
        const auto promise = std::make_shared<std::promise<OwnerCommand>>();
        permit.setCommandHandler([promise, sent = std::make_shared<std::atomic<bool>>(false)](const OwnerCommand &command) {
            if (!sent->exchange(true)) {
                promise->set_value(command);
            }
        });
        return promise->get_future();
    }
    /// Ends a second copy of the request with the crash that exceeds the limit, and returns a future of the command that the
    /// first copy receives.
    std::future<OwnerCommand> crashOtherCopy(TestRouter &ingress, Permit &copy, const PermitRequest &request)
    {
        PermitRequest other = request;
        other.submission.excludedEndpoints = {copy.endpoint().id};
        const auto crashed = requestPermit(ingress, other).getPermit();
        owner().pools.recordQuarantineEntry(
            {.fingerprint = request.submission.fingerprint, .crashes = 1, .expiresAt = std::chrono::steady_clock::now() + std::chrono::minutes(10)});
        crashed->finish({.outcome = policy::AttemptOutcome::EndpointFailed});
        return firstCommand(copy);
    }
};

} // namespace

// Guards against a permit request to an owner in the same process that is sent over the network, or not sent at all.
TEST_F(RoutedPermitsTest, GrantsLocally)
{
    TestRouter &router = addRouter("one");
    const auto permit = requestPermit(router).getPermit();
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->endpoint().id.value(), "runner-a");
    EXPECT_EQ(router.permits->peers().counters().connectionsAccepted, 0U);
}

// Guards against a running copy of a quarantined request whose holder does not receive the owner's cancellation: in the
// owner's process, over the network, or after the copy was re-registered with a new owner.
TEST_F(RoutedPermitsTest, CancelsRunningCopies)
{
    for (const char *name : {"one", "two", "three"}) {
        addRouter(name, "a", 2, 2);
    }
    waitForSettledOwnership();
    PermitRequest request = makeRequest();
    for (const auto ingress : {&owner(), &nonOwner()}) {
        ++request.submission.fingerprint;
        const auto copy = requestPermit(*ingress, request).getPermit();
        auto command = crashOtherCopy(*ingress, *copy, request);
        ASSERT_EQ(command.wait_for(testLimit), std::future_status::ready);
        EXPECT_EQ(std::get<policy::Cancellation>(command.get()).reason, policy::RejectionReason::Quarantined);
    }
    ++request.submission.fingerprint;
    TestRouter &failedOwner = owner();
    TestRouter &ingress = nonOwner();
    const auto runningCopy = requestPermit(ingress, request).getPermit();
    membership_.remove(failedOwner.name);
    failedOwner.permits->stop();
    reconcileAll();
    ASSERT_TRUE(eventually([&] { return owner().summary().running == 1; }));
    auto command = crashOtherCopy(ingress, *runningCopy, request);
    ASSERT_EQ(command.wait_for(testLimit), std::future_status::ready);
    EXPECT_TRUE(std::holds_alternative<policy::Cancellation>(command.get()));
}

// Guards against progress that does not reach a remote owner or takes one message for each permit, and against a change of
// the engine priority that does not reach the holder.
TEST_F(RoutedPermitsTest, ProgressOfAllPermitsTakesOneMessage)
{
    constexpr unsigned permits = 6;
    addRouter("one", "a", permits);
    addRouter("two", "a", permits);
    waitForSettledOwnership();
    TestRouter &ingress = nonOwner();
    for (int completed = 0; completed < 40; ++completed) {
        requestPermit(ingress).getPermit()->finish({.outcome = policy::AttemptOutcome::Completed, .outputTokens = 10});
    }
    std::vector<std::shared_ptr<Permit>> running;
    std::vector<std::future<OwnerCommand>> commands;
    for (unsigned index = 0; index < permits; ++index) {
        running.push_back(requestPermit(ingress).getPermit());
        commands.push_back(firstCommand(*running.back()));
    }
    for (const auto &permit : running) {
        permit->recordProgress({.outputTokens = 1'000});
    }
    for (auto &command : commands) {
        ASSERT_EQ(command.wait_for(testLimit), std::future_status::ready);
        EXPECT_GT(std::get<policy::PriorityChange>(command.get()).enginePriority, running.front()->enginePriority());
    }
    const PeerRpcCounters counters = owner().permits->peers().counters();
    EXPECT_EQ(counters.progressEntriesReceived, permits);
    EXPECT_LE(counters.progressMessagesReceived, 2U) << "the calls above may fall into two report intervals";
}

// Guards against fields of a grant that are lost between two routers, and against a slot that stays in use after the
// completion.
TEST_F(RoutedPermitsTest, GrantsByRemoteOwner)
{
    addTwoRouters();
    const auto permit = requestPermit(nonOwner()).getPermit();
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->endpoint().id.value(), "runner-a");
    EXPECT_EQ(permit->endpoint().address, "127.0.0.1");
    EXPECT_EQ(permit->endpoint().port, 1234);
    EXPECT_TRUE(permit->endpoint().support.resume);
    EXPECT_EQ(owner().summary().running, 1U);
    EXPECT_EQ(owner().permits->peers().counters().permitsHeldByPeers, 1U);
    permit->recordProgress({.outputTokens = 3});
    permit->finish({.outcome = policy::AttemptOutcome::Completed, .outputTokens = 5});
    EXPECT_TRUE(eventually([&] { return owner().summary().running == 0 && owner().permits->peers().counters().permitsHeldByPeers == 0; }));
}

// Guards against requests of the owner and of other routers that wait until their deadlines when the configuration of the owner no
// longer has their pool.
TEST_F(RoutedPermitsTest, RemovedPoolAnswersWaitingRequestsOfAllRouters)
{
    addTwoRouters();
    TestRouter &owning = owner();
    const auto first = requestPermit(owning).getPermit();
    const auto second = requestPermit(owning).getPermit();
    std::vector<PendingAcquire> waiting;
    waiting.push_back(requestPermit(owning));
    waiting.push_back(requestPermit(nonOwner()));
    ASSERT_TRUE(eventually([&] { return owning.summary().waiting == waiting.size(); }));
    owning.pools.configure({});
    const auto limit = std::chrono::steady_clock::now() + testLimit / 2;
    for (PendingAcquire &request : waiting) {
        const PermitResult result = request.get();
        ASSERT_TRUE(std::holds_alternative<PermitRejection>(result));
        EXPECT_EQ(std::get<PermitRejection>(result).reason, policy::RejectionReason::NoEndpoint);
    }
    EXPECT_LT(std::chrono::steady_clock::now(), limit) << "the requests waited for their deadlines";
}

// Guards against a slot that leaks when its holder drops the permit.
TEST_F(RoutedPermitsTest, DroppedPermitFreesTheSlot)
{
    addTwoRouters();
    auto first = requestPermit(nonOwner()).getPermit();
    const auto second = requestPermit(nonOwner()).getPermit();
    PendingAcquire third = requestPermit(nonOwner());
    ASSERT_TRUE(eventually([&] { return owner().summary().waiting == 1; }));
    first.reset();
    EXPECT_TRUE(third.getPermit());
}

// Guards against a request that stays in the owner's queue after its caller has disconnected.
TEST_F(RoutedPermitsTest, DroppedTicketWithdrawsTheRequest)
{
    addTwoRouters();
    const auto first = requestPermit(nonOwner()).getPermit();
    const auto second = requestPermit(nonOwner()).getPermit();
    PendingAcquire third = requestPermit(nonOwner());
    ASSERT_TRUE(eventually([&] { return owner().summary().waiting == 1; }));
    third.ticket.reset();
    EXPECT_TRUE(eventually([&] { return owner().summary().waiting == 0; }));
}

// Guards against a rejection that arrives without its reason.
TEST_F(RoutedPermitsTest, ReportsTheRejectionReason)
{
    addTwoRouters();
    PermitRequest request = makeRequest();
    request.submission.requestClass = support::ClassId("unknown");
    const PermitResult result = requestPermit(nonOwner(), request).get();
    ASSERT_TRUE(std::holds_alternative<PermitRejection>(result));
    EXPECT_EQ(std::get<PermitRejection>(result).reason, policy::RejectionReason::UnknownClass);
}

// Guards against a request that stays in the queue after its deadline.
TEST_F(RoutedPermitsTest, RejectsAtTheDeadline)
{
    addTwoRouters();
    const auto first = requestPermit(nonOwner()).getPermit();
    const auto second = requestPermit(nonOwner()).getPermit();
    const PermitResult result = requestPermit(nonOwner(), makeRequest(std::chrono::milliseconds(200))).get();
    ASSERT_TRUE(std::holds_alternative<PermitRejection>(result));
    EXPECT_EQ(std::get<PermitRejection>(result).reason, policy::RejectionReason::DeadlineExpired);
}

// Guards against queued requests that are lost when their owner fails, and against a new owner that grants slots which
// are in use.
TEST_F(RoutedPermitsTest, OwnerFailureMovesWaitingAndRunningRequests)
{
    addRouter("one");
    addRouter("two");
    addRouter("three");
    waitForSettledOwnership();
    TestRouter &failedOwner = owner();
    TestRouter &ingress = nonOwner();
    auto first = requestPermit(ingress).getPermit();
    const auto second = requestPermit(ingress).getPermit();
    PendingAcquire third = requestPermit(ingress);
    ASSERT_TRUE(eventually([&] { return failedOwner.summary().waiting == 1; }));
    membership_.remove(failedOwner.name);
    failedOwner.permits->stop();
    reconcileAll();
    TestRouter &successor = owner();
    ASSERT_NE(&successor, &failedOwner);
    EXPECT_TRUE(eventually([&] { return successor.summary().running == 2 && successor.summary().waiting == 1; }));
    EXPECT_FALSE(third.isAnswered()) << "both slots are in use, and the requests in them were re-registered with the new owner";
    first->finish({.outcome = policy::AttemptOutcome::Completed});
    EXPECT_TRUE(third.getPermit());
}

// Guards against a frozen owner that blocks requests: the next router must serve them although the membership has not
// detected the failure yet.
TEST_F(RoutedPermitsTest, FrozenOwnerDoesNotDelayRequests)
{
    addTwoRouters();
    TestRouter &frozen = owner();
    const auto thaw = freezePeerThread(frozen);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(requestPermit(nonOwner()).getPermit());
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(5));
    thaw->set_value();
}

// Guards against an owner that freezes right after an answer and is not pinged any more. An answer replaces only the ping
// of its interval.
TEST_F(RoutedPermitsTest, OwnerFrozenAfterAnAnswerDoesNotDelayRequests)
{
    addTwoRouters();
    TestRouter &frozen = owner();
    requestPermit(nonOwner()).getPermit()->finish({.outcome = policy::AttemptOutcome::Completed});
    ASSERT_TRUE(eventually([&] { return frozen.permits->peers().counters().permitsHeldByPeers == 0; }));
    const auto thaw = freezePeerThread(frozen);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(requestPermit(nonOwner()).getPermit());
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(5));
    thaw->set_value();
}

// Guards against a frozen ingress that keeps its slots for more than 2 s. The bound includes a margin for a busy machine.
TEST_F(RoutedPermitsTest, FrozenIngressLosesItsSlots)
{
    addTwoRouters();
    TestRouter &frozen = nonOwner();
    const auto first = requestPermit(frozen).getPermit();
    const auto second = requestPermit(frozen).getPermit();
    const auto thaw = freezePeerThread(frozen);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(requestPermit(owner()).getPermit());
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(2'500));
    EXPECT_EQ(owner().permits->peers().counters().peersTimedOut, 1U);
    thaw->set_value();
}

// Guards against a shutdown that rejects queued requests instead of redirecting them to the new owner, or whose running
// requests are not re-registered.
TEST_F(RoutedPermitsTest, ReleasedOwnershipMovesToTheOtherRouter)
{
    addTwoRouters();
    TestRouter &leaving = owner();
    TestRouter &ingress = nonOwner();
    auto first = requestPermit(leaving).getPermit();
    const auto second = requestPermit(ingress).getPermit();
    PendingAcquire third = requestPermit(leaving);
    PendingAcquire fourth = requestPermit(ingress);
    ASSERT_TRUE(eventually([&] { return leaving.summary().waiting == 2; }));
    leaving.permits->releaseOwnership();
    membership_.remove(leaving.name);
    reconcileAll();
    EXPECT_TRUE(eventually([&] { return ingress.summary().running == 2 && ingress.summary().waiting == 2 && leaving.summary().running == 0; }));
    first->finish({.outcome = policy::AttemptOutcome::Completed});
    EXPECT_TRUE(eventually([&] { return third.isAnswered() || fourth.isAnswered(); }));
}

// Guards against requests that are redirected endlessly between two routers that disagree about the owner.
TEST_F(RoutedPermitsTest, TwoOwnersBothGrant)
{
    FakeMembership otherMembership;
    addTwoRouters();
    TestRouter isolated(workers_.context(), otherMembership, "three", "a", 2);
    const auto first = requestPermit(nonOwner()).getPermit();
    const auto second = requestPermit(isolated).getPermit();
    EXPECT_TRUE(first);
    EXPECT_TRUE(second);
    EXPECT_EQ(isolated.summary().running, 1U);
    EXPECT_EQ(owner().summary().running, 1U);
    isolated.permits->stop();
}

// Guards against the rejection of a request that another data centre could run.
TEST_F(RoutedPermitsTest, OverflowsToDataCentreWithMostHeadroom)
{
    TestRouter &full = addRouter("one", "a", 0);
    addRouter("two", "b", 1);
    addRouter("three", "c", 8);
    waitForSettledOwnership();
    ASSERT_TRUE(eventually([&] { return membership_.view().poolLoads(support::PoolId("model")).size() == 3; }));
    const auto permit = requestPermit(full).getPermit();
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->endpoint().id.value(), "runner-c");
}

// Guards against a rejection before every reachable owner was tried, and against a request that is never rejected.
TEST_F(RoutedPermitsTest, RejectsWhenEachDataCentreHasRejected)
{
    TestRouter &empty = addRouter("one", "a", 0);
    addRouter("two", "b", 0);
    waitForSettledOwnership();
    const PermitResult result = requestPermit(empty).get();
    ASSERT_TRUE(std::holds_alternative<PermitRejection>(result));
    EXPECT_EQ(std::get<PermitRejection>(result).reason, policy::RejectionReason::NoEndpoint);
    EXPECT_EQ(find("two")->permits->peers().counters().connectionsAccepted, 1U);
}

} // namespace mulberrywall::permits
