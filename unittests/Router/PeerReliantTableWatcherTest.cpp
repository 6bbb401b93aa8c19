#include "TableWatcherFixture.h"

#include <thread>

namespace mulberrywall::router
{

/// Guards against a store that every one of many routers queries, although all responses are equal.
TEST_F(PeerReliantTableWatcherTest, DoesNotQueryWhilePeersReportFreshness)
{
    StoreCall call = startRelyingOnPeers();
    const BootClock::time_point receivedAt = BootClock::now();
    watcher_->recordPeerReport({.version = 20, .lastChangeVersion = 5, .age = milliseconds(10)}, {}, receivedAt);
    runReadyHandlers();
    EXPECT_EQ(confirmedAt_, receivedAt - milliseconds(10)) << "the confirmation must be as old as the peer reported";
    call.handler({.status = TableStatus::Ok, .version = 6});
    runReadyHandlers();
    EXPECT_FALSE(hasCalled());
    EXPECT_EQ(watcher_->freshness()->version, 20U);
}

/// Guards against a change, such as a leaving endpoint, that is not detected because another router
/// queried the store.
TEST_F(PeerReliantTableWatcherTest, QueriesImmediatelyWhenPeersReportAChange)
{
    StoreCall call = startRelyingOnPeers();
    watcher_->recordPeerReport({.version = 20, .lastChangeVersion = 5}, {}, BootClock::now());
    call.handler({.status = TableStatus::Ok, .version = 6});
    runReadyHandlers();
    watcher_->recordPeerReport({.version = 30, .lastChangeVersion = 25}, {}, BootClock::now());
    // The report of a peer that has not read the change yet does not revoke the change.
    watcher_->recordPeerReport({.version = 22, .lastChangeVersion = 5}, {}, BootClock::now());
    EXPECT_EQ(nextCall().version, 22U);
}

/// Guards against a lease that is renewed by the report of a peer which has a newer configuration.
TEST_F(PeerReliantTableWatcherTest, IgnoresConfirmationFromAPeerWithALaterChange)
{
    startRelyingOnPeers();
    const BootClock::time_point receivedAt = BootClock::now();
    watcher_->recordPeerReport({.version = 30, .lastChangeVersion = 25}, {}, receivedAt);
    runReadyHandlers();
    EXPECT_LT(confirmedAt_, receivedAt);
}

/// Guards against a router that stops querying after the peers on which it relied have lost the store.
TEST_F(PeerReliantTableWatcherTest, QueriesWhenTheFreshnessOfPeersIsStale)
{
    StoreCall call = startRelyingOnPeers();
    watcher_->recordPeerReport({.version = 20, .lastChangeVersion = 5, .age = milliseconds(2'490)}, {}, BootClock::now());
    call.handler({.status = TableStatus::Ok, .version = 6});
    EXPECT_EQ(nextCall().version, 20U);
}

/// Guards against hundreds of routers that each read every change from the store.
TEST_F(PeerReliantTableWatcherTest, AppliesChangesThatPeersPassOn)
{
    StoreCall call = startRelyingOnPeers();
    recordChanges(5, 9, {{.key = "a"}});
    recordChanges(9, 12, {{.key = "b", .deleted = true}});
    runReadyHandlers();
    EXPECT_EQ(keys_, (std::vector<std::string> {"a", "b"}));
    EXPECT_EQ(watcher_->freshness()->version, 12U);
    EXPECT_EQ(watcher_->freshness()->lastChangeVersion, 12U);
    call.handler({.status = TableStatus::Ok, .version = 12});
    runReadyHandlers();
    EXPECT_FALSE(hasCalled());
}

/// Guards against a change that is skipped because the datagram with the change before it was lost.
TEST_F(PeerReliantTableWatcherTest, ReadsTheStoreWhenAChangeIsMissing)
{
    StoreCall call = startRelyingOnPeers();
    recordChanges(7, 9, {{.key = "later"}});
    runReadyHandlers();
    EXPECT_TRUE(keys_.empty());
    call.handler({.status = TableStatus::Ok, .version = 5});
    EXPECT_EQ(nextCall().version, 5U);
}

/// Guards against a removed endpoint that is in use again because a delayed response of the store arrives after a peer has
/// passed on its removal.
TEST_F(PeerReliantTableWatcherTest, IgnoresAResponseOlderThanChangesOfPeers)
{
    StoreCall call = startRelyingOnPeers();
    recordChanges(5, 9, {{.key = "a", .deleted = true}});
    call.handler({.status = TableStatus::Ok, .rows = {{.key = "a"}}, .version = 7});
    recordChanges(5, 9, {{.key = "a", .deleted = true}});
    runReadyHandlers();
    EXPECT_EQ(keys_, (std::vector<std::string> {"a"})) << "only the removal";
    EXPECT_EQ(watcher_->freshness()->version, 9U);
}

/// Guards against changes of peers that are taken for the whole table by a router that has not read it yet.
TEST_F(PeerReliantTableWatcherTest, AppliesNoChangesBeforeTheTableWasRead)
{
    start();
    watcher_->setMode(WatchMode::RelyOnPeers);
    recordChanges(0, 9, {{.key = "a"}});
    runReadyHandlers();
    EXPECT_TRUE(keys_.empty());
}

/// Guards against a third of the routers that call the store each second, and reject their callers, while the store refuses
/// them although it serves their peers.
TEST_F(PeerReliantTableWatcherTest, ReliesOnPeersWhileTheStoreRefusesThisRouter)
{
    constexpr int reports = 40;
    retryDelay_ = milliseconds(100);
    const StoreCall call = startRelyingOnPeers();
    call.handler({.reason = "status 429"});
    runReadyHandlers();
    int refusedCalls = 0;
    for (int report = 0; report < reports; ++report) {
        // Time at which the peer's call was sent, which is after this router's call was refused.
        const BootClock::time_point confirmedAt = BootClock::now() + milliseconds(1);
        watcher_->recordPeerReport({.version = 8, .lastChangeVersion = 8}, {{.sinceVersion = 5, .version = 8, .rows = {{.key = "a"}}}}, confirmedAt);
        std::this_thread::sleep_for(retryDelay_ / 5);
        runReadyHandlers();
        if (hasCalled()) {
            nextCall().handler({.reason = "status 429"});
            ++refusedCalls;
        }
    }
    EXPECT_LE(refusedCalls, 1) << "only one call may have been scheduled before the first report";
    EXPECT_EQ(keys_, std::vector<std::string> {"a"});
}

/// Guards against a revoked key that is accepted for too long: the confirmation of a peer that has a later configuration must not
/// renew the lease on an earlier one, which was all that fitted into the datagram.
TEST_F(PeerReliantTableWatcherTest, PartOfTheChangesConfirmsNothing)
{
    startRelyingOnPeers();
    const BootClock::time_point receivedAt = BootClock::now();
    watcher_->recordPeerReport({.version = 10, .lastChangeVersion = 10}, {{.sinceVersion = 5, .version = 8, .rows = {{.key = "a"}}}}, receivedAt);
    runReadyHandlers();
    EXPECT_EQ(watcher_->freshness()->version, 8U);
    EXPECT_EQ(keys_, std::vector<std::string> {"a"});
    EXPECT_LT(confirmedAt_, receivedAt);
}

/// Guards against all endpoints that are lost at once after an outage of the store, because a peer found its end first and passed
/// on that their entries have lapsed.
TEST_F(PeerReliantTableWatcherTest, FindsTheEndOfAnOutageByPeersBeforeTheirChanges)
{
    startRelyingOnPeers();
    const BootClock::time_point beforeOutage = BootClock::now();
    watcher_->recordPeerReport({.version = 6, .lastChangeVersion = 5}, {}, beforeOutage);
    runReadyHandlers();
    EXPECT_EQ(recoveries_, 0);
    recoveriesAtRows_ = -1;
    const milliseconds outage = TableWatcherOptions().maximumPeerAge + milliseconds(100);
    watcher_->recordPeerReport(
        {.version = 9, .lastChangeVersion = 9}, {{.sinceVersion = 6, .version = 9, .rows = {{.key = "a", .deleted = true}}}}, beforeOutage + outage);
    runReadyHandlers();
    EXPECT_EQ(recoveriesAtRows_, 1);
}

/// The same as TableWatcherTest.FindsTheEndOfAnOutageByPeersOnce for a router that waits for its own response.
TEST_F(PeerReliantTableWatcherTest, FindsTheEndOfAnOutageByPeersOnce)
{
    startRelyingOnPeers();
    reportLaterVersionAfterAnOutage();
    EXPECT_EQ(recoveries_, 1);
    reportLaterVersionAfterAnOutage();
    EXPECT_EQ(recoveries_, 2) << "a second outage";
}

} // namespace mulberrywall::router
