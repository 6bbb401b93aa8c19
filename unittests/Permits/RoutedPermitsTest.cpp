#include "PermitsFixture.h"

#include <atomic>

namespace mulberrywall::permits
{

namespace
{

class RoutedPermitsTest : public PermitsFixture
{
protected:
    void addTwo()
    {
        addRouter("one");
        addRouter("two");
        settle();
    }
    /// Returns the first command that the owner sends to the holder of the permit.
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
    /// Crashes a second copy of the request once too often and returns the command for the first one.
    std::future<OwnerCommand> crashOtherCopy(TestRouter &ingress, Permit &copy, const PermitRequest &request)
    {
        PermitRequest other = request;
        other.submission.excludedEndpoints = {copy.endpoint().id};
        const auto crashed = ask(ingress, other).getPermit();
        owner().pools.recordQuarantineEntry(
            {.fingerprint = request.submission.fingerprint, .crashes = 1, .expiresAt = std::chrono::steady_clock::now() + std::chrono::minutes(10)});
        crashed->finish({.outcome = policy::AttemptOutcome::EndpointFailed});
        return firstCommand(copy);
    }
};

} // namespace

// Guards against an owner in this process that is asked over the network, or not at all.
TEST_F(RoutedPermitsTest, GrantsLocally)
{
    TestRouter &router = addRouter("one");
    const auto permit = ask(router).getPermit();
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->endpoint().id.value(), "runner-a");
    EXPECT_EQ(router.permits->peers().counters().connectionsAccepted, 0U);
}

// Guards against a running copy of a request that the owner refuses for its crashes and that its holder never hears of,
// in the owner's process, over the network, or after a new owner has taken it over.
TEST_F(RoutedPermitsTest, CancelsRunningCopies)
{
    for (const char *name : {"one", "two", "three"}) {
        addRouter(name, "a", 2, 2);
    }
    settle();
    PermitRequest request = makeRequest();
    for (const auto ingress : {&owner(), &notOwner()}) {
        ++request.submission.fingerprint;
        const auto copy = ask(*ingress, request).getPermit();
        auto command = crashOtherCopy(*ingress, *copy, request);
        ASSERT_EQ(command.wait_for(testLimit), std::future_status::ready);
        EXPECT_EQ(std::get<policy::Cancellation>(command.get()).reason, policy::RejectionReason::Quarantined);
    }
    ++request.submission.fingerprint;
    TestRouter &dead = owner();
    TestRouter &ingress = notOwner();
    const auto adopted = ask(ingress, request).getPermit();
    membership_.remove(dead.name);
    dead.permits->stop();
    reviewAll();
    ASSERT_TRUE(eventually([&] { return owner().summary().running == 1; }));
    auto command = crashOtherCopy(ingress, *adopted, request);
    ASSERT_EQ(command.wait_for(testLimit), std::future_status::ready);
    EXPECT_TRUE(std::holds_alternative<policy::Cancellation>(command.get()));
}

// Guards against progress that does not reach a remote owner, reaches it one message for each permit, or whose effect on
// the engine priority gets lost on the way back.
TEST_F(RoutedPermitsTest, ProgressOfAllPermitsTakesOneMessage)
{
    constexpr unsigned permits = 6;
    addRouter("one", "a", permits);
    addRouter("two", "a", permits);
    settle();
    TestRouter &ingress = notOwner();
    for (int learnt = 0; learnt < 40; ++learnt) {
        ask(ingress).getPermit()->finish({.outcome = policy::AttemptOutcome::Completed, .outputTokens = 10});
    }
    std::vector<std::shared_ptr<Permit>> running;
    std::vector<std::future<OwnerCommand>> commands;
    for (unsigned index = 0; index < permits; ++index) {
        running.push_back(ask(ingress).getPermit());
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
    EXPECT_LE(counters.progressMessagesReceived, 2U) << "the calls above may lie on both sides of a report";
}

// Guards against losing parts of a grant between two routers, and against a slot that stays taken after the end.
TEST_F(RoutedPermitsTest, GrantsByRemoteOwner)
{
    addTwo();
    const auto permit = ask(notOwner()).getPermit();
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

// Guards against a slot that leaks when its holder forgets it.
TEST_F(RoutedPermitsTest, DroppedPermitFreesTheSlot)
{
    addTwo();
    auto first = ask(notOwner()).getPermit();
    const auto second = ask(notOwner()).getPermit();
    Asked third = ask(notOwner());
    ASSERT_TRUE(eventually([&] { return owner().summary().waiting == 1; }));
    first.reset();
    EXPECT_TRUE(third.getPermit());
}

// Guards against a caller that left but keeps its place in the owner's queue.
TEST_F(RoutedPermitsTest, DroppedTicketWithdrawsTheRequest)
{
    addTwo();
    const auto first = ask(notOwner()).getPermit();
    const auto second = ask(notOwner()).getPermit();
    Asked third = ask(notOwner());
    ASSERT_TRUE(eventually([&] { return owner().summary().waiting == 1; }));
    third.ticket.reset();
    EXPECT_TRUE(eventually([&] { return owner().summary().waiting == 0; }));
}

// Guards against a refusal that reaches the caller without its reason.
TEST_F(RoutedPermitsTest, PassesRefusalOn)
{
    addTwo();
    PermitRequest request = makeRequest();
    request.submission.requestClass = support::ClassId("unknown");
    const PermitResult result = ask(notOwner(), request).get();
    ASSERT_TRUE(std::holds_alternative<PermitRejection>(result));
    EXPECT_EQ(std::get<PermitRejection>(result).reason, policy::RejectionReason::UnknownClass);
}

// Guards against a request that waits beyond its deadline.
TEST_F(RoutedPermitsTest, RefusesAtTheDeadline)
{
    addTwo();
    const auto first = ask(notOwner()).getPermit();
    const auto second = ask(notOwner()).getPermit();
    const PermitResult result = ask(notOwner(), makeRequest(std::chrono::milliseconds(200))).get();
    ASSERT_TRUE(std::holds_alternative<PermitRejection>(result));
    EXPECT_EQ(std::get<PermitRejection>(result).reason, policy::RejectionReason::DeadlineExpired);
}

// Guards against requests that are lost with their owner, and against a new owner that does not know what runs.
TEST_F(RoutedPermitsTest, OwnerDeathMovesWaitingAndRunningRequests)
{
    addRouter("one");
    addRouter("two");
    addRouter("three");
    settle();
    TestRouter &dead = owner();
    TestRouter &ingress = notOwner();
    auto first = ask(ingress).getPermit();
    const auto second = ask(ingress).getPermit();
    Asked third = ask(ingress);
    ASSERT_TRUE(eventually([&] { return dead.summary().waiting == 1; }));
    membership_.remove(dead.name);
    dead.permits->stop();
    reviewAll();
    TestRouter &successor = owner();
    ASSERT_NE(&successor, &dead);
    EXPECT_TRUE(eventually([&] { return successor.summary().running == 2 && successor.summary().waiting == 1; }));
    EXPECT_FALSE(third.isAnswered()) << "both slots are taken, which the new owner must know";
    first->finish({.outcome = policy::AttemptOutcome::Completed});
    EXPECT_TRUE(third.getPermit());
}

// Guards against a paused owner that holds up requests: the next router serves them although the membership does not
// yet know of the pause.
TEST_F(RoutedPermitsTest, FrozenOwnerHoldsNoRequests)
{
    addTwo();
    TestRouter &frozen = owner();
    const auto thaw = freeze(frozen);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(ask(notOwner()).getPermit());
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(5));
    thaw->set_value();
}

// Guards against an owner that pauses right after it has answered and is not asked for a sign of life any more: an answer
// replaces a ping.
TEST_F(RoutedPermitsTest, OwnerFrozenAfterAnAnswerHoldsNoRequests)
{
    addTwo();
    TestRouter &frozen = owner();
    ask(notOwner()).getPermit()->finish({.outcome = policy::AttemptOutcome::Completed});
    ASSERT_TRUE(eventually([&] { return frozen.permits->peers().counters().permitsHeldByPeers == 0; }));
    const auto thaw = freeze(frozen);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(ask(notOwner()).getPermit());
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(5));
    thaw->set_value();
}

// Guards against a paused ingress that keeps slots for more than 2 s; the bound leaves room for a busy machine.
TEST_F(RoutedPermitsTest, FrozenIngressLosesItsSlots)
{
    addTwo();
    TestRouter &frozen = notOwner();
    const auto first = ask(frozen).getPermit();
    const auto second = ask(frozen).getPermit();
    const auto thaw = freeze(frozen);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(ask(owner()).getPermit());
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(2'500));
    EXPECT_EQ(owner().permits->peers().counters().peersTimedOut, 1U);
    thaw->set_value();
}

// Guards against a shutdown that refuses waiting requests instead of handing them over, or forgets running ones.
TEST_F(RoutedPermitsTest, ReleasedOwnershipMovesToTheOtherRouter)
{
    addTwo();
    TestRouter &leaving = owner();
    TestRouter &ingress = notOwner();
    auto first = ask(leaving).getPermit();
    const auto second = ask(ingress).getPermit();
    Asked third = ask(leaving);
    Asked fourth = ask(ingress);
    ASSERT_TRUE(eventually([&] { return leaving.summary().waiting == 2; }));
    leaving.permits->releaseOwnership();
    membership_.remove(leaving.name);
    reviewAll();
    EXPECT_TRUE(eventually([&] { return ingress.summary().running == 2 && ingress.summary().waiting == 2 && leaving.summary().running == 0; }));
    first->finish({.outcome = policy::AttemptOutcome::Completed});
    EXPECT_TRUE(eventually([&] { return third.isAnswered() || fourth.isAnswered(); }));
}

// Guards against requests that are sent to and fro for ever while two routers disagree about the owner.
TEST_F(RoutedPermitsTest, TwoOwnersBothGrant)
{
    FakeMembership apart;
    addTwo();
    TestRouter lone(workers_.context(), apart, "three", "a", 2);
    const auto first = ask(notOwner()).getPermit();
    const auto second = ask(lone).getPermit();
    EXPECT_TRUE(first);
    EXPECT_TRUE(second);
    EXPECT_EQ(lone.summary().running, 1U);
    EXPECT_EQ(owner().summary().running, 1U);
    lone.permits->stop();
}

// Guards against refusing a request that another data centre could run.
TEST_F(RoutedPermitsTest, OverflowsToDataCentreWithMostHeadroom)
{
    TestRouter &full = addRouter("one", "a", 0);
    addRouter("two", "b", 1);
    addRouter("three", "c", 8);
    settle();
    ASSERT_TRUE(eventually([&] { return membership_.view().poolLoads(support::PoolId("model")).size() == 3; }));
    const auto permit = ask(full).getPermit();
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->endpoint().id.value(), "runner-c");
}

// Guards against a refusal before each reachable owner was asked, and against one that never comes.
TEST_F(RoutedPermitsTest, RefusesWhenEachDataCentreHasRefused)
{
    TestRouter &empty = addRouter("one", "a", 0);
    addRouter("two", "b", 0);
    settle();
    const PermitResult result = ask(empty).get();
    ASSERT_TRUE(std::holds_alternative<PermitRejection>(result));
    EXPECT_EQ(std::get<PermitRejection>(result).reason, policy::RejectionReason::NoEndpoint);
    EXPECT_EQ(find("two")->permits->peers().counters().connectionsAccepted, 1U);
}

} // namespace mulberrywall::permits
