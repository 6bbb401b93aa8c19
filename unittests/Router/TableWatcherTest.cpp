#include "TableWatcherFixture.h"

namespace mulberrywall::router
{

TEST_F(TableWatcherTest, ReadsTheTableOnceAndThenWaitsForChanges)
{
    start();
    StoreCall first = nextCall();
    EXPECT_TRUE(first.readsAll);
    first.handler({.status = TableStatus::Ok, .rows = {{.key = "a"}}, .version = 5});
    StoreCall second = nextCall();
    EXPECT_FALSE(second.readsAll);
    EXPECT_EQ(second.version, 5U);
    EXPECT_EQ(second.wait, milliseconds(2000));
    second.handler({.status = TableStatus::Ok, .version = 8});
    EXPECT_EQ(nextCall().version, 8U);
    EXPECT_EQ(kinds_, (std::vector {RowsKind::Snapshot, RowsKind::Changes}));
}

/// Guards against a store that gets thousands of calls when hundreds of routers start while all endpoints register.
TEST_F(TableWatcherTest, ReadsChangesLessOftenAfterTheStart)
{
    startInterval_ = milliseconds(100);
    start();
    const BootClock::time_point startedAt = BootClock::now();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "a"}}, .version = 6});
    nextCall();
    EXPECT_GE(BootClock::now() - startedAt, 2 * startInterval_);
}

TEST_F(TableWatcherTest, ReadsTheWholeTableAfterTheHistoryWasTruncated)
{
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.status = TableStatus::HistoryTruncated});
    EXPECT_TRUE(nextCall().readsAll);
}

/// Guards against a router whose configuration stays unconfirmed for a whole long poll after the store
/// has recovered.
TEST_F(TableWatcherTest, PollsWithoutWaitAfterAnOutage)
{
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.reason = "timeout"});
    StoreCall again = nextCall();
    EXPECT_EQ(again.wait, milliseconds(0));
    EXPECT_EQ(again.version, 5U);
    again.handler({.status = TableStatus::Ok, .version = 5});
    EXPECT_EQ(nextCall().wait, milliseconds(2000));
    EXPECT_EQ(recoveries_, 1);
}

TEST_F(TableWatcherTest, RetriesTheFirstReadUntilItSucceeds)
{
    start();
    nextCall().handler({.reason = "refused"});
    EXPECT_TRUE(nextCall().readsAll);
}

TEST_F(TableWatcherTest, QueriesMoreOftenWhilePeersRelyOnIt)
{
    start();
    watcher_->setMode(WatchMode::Relayed);
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    EXPECT_EQ(nextCall().wait, milliseconds(700));
}

TEST_F(TableWatcherTest, PassesOnChangesButNoSnapshots)
{
    start();
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "a"}}, .version = 5});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "b"}}, .version = 8});
    nextCall();
    const std::vector<permits::TableChanges> expected {{.sinceVersion = 5, .version = 8, .rows = {{.key = "b"}}}};
    EXPECT_EQ(watcher_->changesAfter(5, milliseconds(0)), expected);
}

/// Guards against datagrams that cannot be sent because of a large change; peers read it from the store.
TEST_F(TableWatcherTest, PassesOnNoLargeChanges)
{
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "b", .value = std::string(100'000, 'x')}}, .version = 8});
    nextCall();
    EXPECT_TRUE(watcher_->changesAfter(5, milliseconds(0)).empty());
}

/// Guards against hundreds of routers that each read the store after an operator has revoked several keys in quick succession,
/// because the datagrams have no room for every version of the configuration.
TEST_F(TableWatcherTest, PassesOnOnlyTheLatestValueOfARow)
{
    const std::string configuration(10'000, 'x');
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "config", .value = configuration + "1"}}, .version = 8});
    nextCall().handler({.status = TableStatus::Ok,
        .rows = {{.key = "config", .value = configuration + "2"}, {.key = "other"}, {.key = "config", .value = configuration + "3"}},
        .version = 10});
    nextCall();
    const std::vector<permits::TableChanges> expected {
        {.sinceVersion = 5, .version = 10, .rows = {{.key = "other"}, {.key = "config", .value = configuration + "3"}}}};
    EXPECT_EQ(watcher_->changesAfter(5, milliseconds(0)), expected);
}

/// Guards against hundreds of routers that each read both tables when the store has forgotten its history, although one that has
/// read them again knows what has changed.
TEST_F(TableWatcherTest, PassesOnTheDifferenceAfterTheHistoryWasTruncated)
{
    start();
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "a"}, {.key = "b"}}, .version = 5});
    nextCall().handler({.status = TableStatus::HistoryTruncated});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "a"}, {.key = "b"}}, .version = 8});
    StoreCall call = nextCall();
    EXPECT_EQ(watcher_->freshness()->lastChangeVersion, 5U) << "nothing has changed";
    call.handler({.status = TableStatus::HistoryTruncated});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "b"}}, .version = 9});
    nextCall();
    const std::vector<permits::TableChanges> expected {{.sinceVersion = 8, .version = 9, .rows = {{.key = "a", .deleted = true}}}};
    EXPECT_EQ(watcher_->changesAfter(8, milliseconds(0)), expected);
}

/// Guards against hundreds of routers that read the first configuration from the store, because the one that is to pass it on
/// waits after the start like the others.
TEST_F(TableWatcherTest, ReadsAtOnceWhenPeersStartToRelyOnIt)
{
    startInterval_ = std::chrono::hours(1);
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    watcher_->setMode(WatchMode::Relayed);
    EXPECT_EQ(nextCall().version, 5U);
}

/// Guards against a router that takes the changes of a table for all of it, because peers begin to rely on it before the store has
/// answered its first read.
TEST_F(TableWatcherTest, ReadsTheTableFirstWhenPeersStartToRelyOnIt)
{
    retryDelay_ = std::chrono::hours(1);
    start();
    nextCall().handler({.reason = "refused"});
    watcher_->setMode(WatchMode::Relayed);
    EXPECT_TRUE(nextCall().readsAll);
}

/// Guards against the routers of a small deployment that reject their callers because the store refuses them while it serves the
/// others, and against all endpoints that are lost because entries have lapsed before the store served the others again.
TEST_F(TableWatcherTest, TakesChangesOfPeersWhileTheStoreRefusesThisRouter)
{
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.reason = "status 429"});
    runReadyHandlers();
    recoveriesAtRows_ = -1;
    for (std::uint64_t version = 6; version <= 8; ++version) {
        // Time at which the peer's call was sent, which is after this router's call was refused.
        const BootClock::time_point confirmedAt = BootClock::now() + milliseconds(1);
        const permits::TableChanges changes {.sinceVersion = version - 1, .version = version, .rows = {{.key = std::to_string(version), .deleted = true}}};
        watcher_->recordPeerReport({.version = version, .lastChangeVersion = version}, {changes}, confirmedAt);
        runReadyHandlers();
        EXPECT_EQ(confirmedAt_, confirmedAt);
        nextCall().handler({.reason = "status 429"});
    }
    EXPECT_EQ(keys_, (std::vector<std::string> {"6", "7", "8"}));
    EXPECT_EQ(recoveriesAtRows_, 1);
    EXPECT_EQ(recoveries_, 1) << "entries must not be kept longer each time that a peer passes on a change";
    nextCall().handler({.status = TableStatus::Ok, .version = 8});
    nextCall();
    EXPECT_EQ(recoveries_, 2);
}

/// Guards against lapsed entries that are kept for longer after each report of a peer, because the copy of this router stays behind
/// until the store serves it again.
TEST_F(TableWatcherTest, FindsTheEndOfAnOutageByPeersOnce)
{
    retryDelay_ = std::chrono::hours(1);
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.reason = "no response"});
    runReadyHandlers();
    reportLaterVersionAfterAnOutage();
    EXPECT_EQ(recoveries_, 1);
    reportLaterVersionAfterAnOutage();
    EXPECT_EQ(recoveries_, 2) << "a second outage";
}

/// Guards against endpoints that are lost because a peer passes on that their entries have lapsed in an outage which this router
/// has not found yet.
TEST_F(TableWatcherTest, TakesNoChangesOfPeersWhileItAwaitsItsOwn)
{
    start();
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    const StoreCall pending = nextCall();
    const permits::TableChanges changes {.sinceVersion = 5, .version = 6, .rows = {{.key = "a", .deleted = true}}};
    watcher_->recordPeerReport({.version = 6, .lastChangeVersion = 6}, {changes}, BootClock::now());
    runReadyHandlers();
    EXPECT_TRUE(keys_.empty());
    pending.handler({.status = TableStatus::Ok, .rows = changes.rows, .version = 6});
    runReadyHandlers();
    EXPECT_EQ(keys_, std::vector<std::string> {"a"});
}

} // namespace mulberrywall::router
