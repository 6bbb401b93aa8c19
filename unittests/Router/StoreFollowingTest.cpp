#include "mulberrywall/Router/ConfigurationLease.h"
#include "mulberrywall/Router/EndpointRegistry.h"
#include "mulberrywall/Router/StoreFeed.h"
#include "mulberrywall/Router/TableFollower.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <future>
#include <mutex>

namespace mulberrywall::router
{

using std::chrono::milliseconds;
using support::BootClock;

/// Guards against a key that works longer than its removal allows because a late answer counts from its arrival.
TEST(ConfigurationLease, CountsFromTheTimeOfTheProof)
{
    ConfigurationLease lease(milliseconds(5000));
    const BootClock::time_point start {milliseconds(1000)};
    EXPECT_FALSE(lease.isValid(start));
    lease.renew(start);
    EXPECT_TRUE(lease.isValid(start + milliseconds(5000)));
    EXPECT_FALSE(lease.isValid(start + milliseconds(5001)));
    lease.renew(start + milliseconds(3000));
    lease.renew(start + milliseconds(1000));
    EXPECT_TRUE(lease.isValid(start + milliseconds(8000)));
    EXPECT_EQ(lease.age(start + milliseconds(4000)), milliseconds(1000));
}

TEST(ConfigurationLease, NeverEndsWithoutALifetime)
{
    const ConfigurationLease lease;
    EXPECT_TRUE(lease.isValid(BootClock::time_point::max()));
}

class EndpointRegistryTest : public testing::Test
{
protected:
    static RegisteredEndpoint makeEntry(const std::string &id, bool leaving = false)
    {
        return {.endpoint = {.id = support::EndpointId(id), .address = "10.0.0.1", .port = 80}, .leaving = leaving};
    }

    [[nodiscard]] std::size_t usable() const
    {
        return usableEndpoints(registry_).size();
    }

    EndpointRegistry registry_;
    EndpointRegistry::TimePoint now_ {std::chrono::seconds(100)};
    support::EndpointId id_ {"i-1"};
};

TEST_F(EndpointRegistryTest, GivesNoWorkToLeavingAndRemovedEndpoints)
{
    EXPECT_TRUE(recordEntry(registry_, makeEntry("i-1")));
    EXPECT_FALSE(recordEntry(registry_, makeEntry("i-1")));
    EXPECT_TRUE(recordEntry(registry_, makeEntry("i-2")));
    EXPECT_EQ(usable(), 2U);
    EXPECT_TRUE(recordEntry(registry_, makeEntry("i-2", true)));
    EXPECT_EQ(usable(), 1U);
    EXPECT_TRUE(removeEntry(registry_, id_, now_));
    EXPECT_EQ(usable(), 0U);
}

/// Guards against losing all endpoints at the return of a store in which their entries lapsed meanwhile.
TEST_F(EndpointRegistryTest, KeepsLapsedEntriesForAGraceTimeAfterTheStoresReturn)
{
    recordEntry(registry_, makeEntry("i-1"));
    recordEntry(registry_, makeEntry("i-2"));
    noteStoreRegained(registry_, now_);
    EXPECT_FALSE(removeEntry(registry_, id_, now_));
    EXPECT_FALSE(removeEntry(registry_, support::EndpointId("i-2"), now_ + milliseconds(500)));
    EXPECT_EQ(usable(), 2U);
    recordEntry(registry_, makeEntry("i-2"));
    EXPECT_EQ(nextLapse(registry_), now_ + registrationGrace);
    EXPECT_FALSE(removeLapsed(registry_, now_ + registrationGrace - milliseconds(1)));
    EXPECT_TRUE(removeLapsed(registry_, now_ + registrationGrace));
    EXPECT_EQ(usable(), 1U);
    EXPECT_FALSE(nextLapse(registry_).has_value());
}

TEST_F(EndpointRegistryTest, RemovesALeavingEndpointAtOnceInTheGraceTime)
{
    recordEntry(registry_, makeEntry("i-1", true));
    noteStoreRegained(registry_, now_);
    EXPECT_TRUE(removeEntry(registry_, id_, now_));
}

/// A store whose answers the test gives one by one.
class TableFollowerTest : public testing::Test
{
protected:
    struct Call
    {
        bool readsAll = false;
        std::uint64_t version = 0;
        milliseconds wait {0};
        TableHandler handler;
    };

    ~TableFollowerTest() override
    {
        follower_->stop();
        workers_.stop();
        workers_.join();
    }

    TableSource makeSource()
    {
        return {.readAll = [this](TableHandler handler) { add({.readsAll = true, .handler = std::move(handler)}); },
            .awaitChanges =
                [this](std::uint64_t version, milliseconds wait, TableHandler handler) {
                    add({.version = version, .wait = wait, .handler = std::move(handler)});
                }};
    }

    void start()
    {
        follower_ = std::make_shared<TableFollower>(workers_.context(),
            TableFollowerOptions {.name = "test",
                .wait = milliseconds(2000),
                .changesInterval = milliseconds(1),
                .initialRetryDelay = milliseconds(1),
                .maximumRetryDelay = milliseconds(2)},
            makeSource(),
            TableFollowerHandlers {.onRows =
                                       [this](RowsKind kind, const std::vector<TableRow> &rows, BootClock::time_point provenAt) {
                                           const std::scoped_lock lock(mutex_);
                                           provenAt_ = provenAt;
                                           kinds_.push_back(kind);
                                           rowCounts_.push_back(rows.size());
                                       },
                .onRegained =
                    [this] {
                        const std::scoped_lock lock(mutex_);
                        ++regained_;
                    }});
        follower_->start();
    }

    void add(Call call)
    {
        const std::scoped_lock lock(mutex_);
        calls_.push_back(std::move(call));
    }

    /// Waits for the next call of the follower.
    Call next()
    {
        for (;;) {
            {
                const std::scoped_lock lock(mutex_);
                if (!calls_.empty()) {
                    Call call = std::move(calls_.front());
                    calls_.erase(calls_.begin());
                    return call;
                }
            }
            std::this_thread::yield();
        }
    }

    support::WorkerPool workers_ {1};
    std::mutex mutex_;
    std::vector<Call> calls_;
    std::vector<RowsKind> kinds_;
    std::vector<std::size_t> rowCounts_;
    int regained_ = 0;
    BootClock::time_point provenAt_;
    std::shared_ptr<TableFollower> follower_;
};

/// A follower among many, which others tell of the table.
class RelyingFollowerTest : public TableFollowerTest
{
protected:
    /// Starts with the table read at version 5 and a call for changes under way.
    Call startRelying()
    {
        start();
        follower_->setMode(FollowMode::RelyOnPeers);
        next().handler({.status = TableStatus::Ok, .version = 5});
        return next();
    }

    /// Waits until the follower has done what it was told.
    void settle()
    {
        std::promise<void> done;
        follower_->setMode(FollowMode::RelyOnPeers);
        boost::asio::post(workers_.context(), [&done] { done.set_value(); });
        done.get_future().wait();
    }

    [[nodiscard]] bool hasCalled()
    {
        const std::scoped_lock lock(mutex_);
        return !calls_.empty();
    }
};

TEST_F(TableFollowerTest, ReadsTheTableOnceAndThenWaitsForChanges)
{
    start();
    Call first = next();
    EXPECT_TRUE(first.readsAll);
    first.handler({.status = TableStatus::Ok, .rows = {{.key = "a"}}, .version = 5});
    Call second = next();
    EXPECT_FALSE(second.readsAll);
    EXPECT_EQ(second.version, 5U);
    EXPECT_EQ(second.wait, milliseconds(2000));
    second.handler({.status = TableStatus::Ok, .version = 8});
    EXPECT_EQ(next().version, 8U);
    const std::scoped_lock lock(mutex_);
    EXPECT_EQ(kinds_, (std::vector {RowsKind::Whole, RowsKind::Changes}));
}

TEST_F(TableFollowerTest, ReadsTheWholeTableAfterTheHistoryIsGone)
{
    start();
    next().handler({.status = TableStatus::Ok, .version = 5});
    next().handler({.status = TableStatus::HistoryGone});
    EXPECT_TRUE(next().readsAll);
}

/// Guards against a router that stays without proof of its configuration for a whole wait after the store's return.
TEST_F(TableFollowerTest, AsksForAnAnswerAtOnceAfterALoss)
{
    start();
    next().handler({.status = TableStatus::Ok, .version = 5});
    next().handler({.reason = "timeout"});
    Call again = next();
    EXPECT_EQ(again.wait, milliseconds(0));
    EXPECT_EQ(again.version, 5U);
    again.handler({.status = TableStatus::Ok, .version = 5});
    EXPECT_EQ(next().wait, milliseconds(2000));
    const std::scoped_lock lock(mutex_);
    EXPECT_EQ(regained_, 1);
}

TEST_F(TableFollowerTest, ReadsTheTableAgainUntilItHasIt)
{
    start();
    next().handler({.reason = "refused"});
    EXPECT_TRUE(next().readsAll);
}

/// Guards against a store that is asked by every one of many routers, although each answer says the same.
TEST_F(RelyingFollowerTest, DoesNotAskWhileOthersDo)
{
    Call call = startRelying();
    const BootClock::time_point heardAt = BootClock::now();
    follower_->recordPeer({.version = 20, .lastChangeVersion = 5, .age = milliseconds(10)}, heardAt);
    settle();
    {
        const std::scoped_lock lock(mutex_);
        EXPECT_EQ(provenAt_, heardAt - milliseconds(10)) << "the proof is as old as the peer says";
    }
    call.handler({.status = TableStatus::Ok, .version = 6});
    settle();
    EXPECT_FALSE(hasCalled());
    EXPECT_EQ(follower_->progress()->version, 20U);
}

/// Guards against an endpoint that leaves unnoticed because the one who asked the store was another router.
TEST_F(RelyingFollowerTest, AsksAtOnceWhenOthersHaveSeenAChange)
{
    Call call = startRelying();
    follower_->recordPeer({.version = 20, .lastChangeVersion = 5}, BootClock::now());
    call.handler({.status = TableStatus::Ok, .version = 6});
    settle();
    follower_->recordPeer({.version = 30, .lastChangeVersion = 25}, BootClock::now());
    // A peer that has not seen the change yet takes nothing back.
    follower_->recordPeer({.version = 22, .lastChangeVersion = 5}, BootClock::now());
    EXPECT_EQ(next().version, 22U);
}

/// Guards against a lease that is renewed by a peer which knows of a newer configuration.
TEST_F(RelyingFollowerTest, TakesNoProofFromAPeerThatKnowsMore)
{
    startRelying();
    const BootClock::time_point heardAt = BootClock::now();
    follower_->recordPeer({.version = 30, .lastChangeVersion = 25}, heardAt);
    settle();
    const std::scoped_lock lock(mutex_);
    EXPECT_LT(provenAt_, heardAt);
}

/// Guards against a router that never asks again after those that it relied on have lost the store.
TEST_F(RelyingFollowerTest, AsksWhenWhatOthersKnowGrowsOld)
{
    Call call = startRelying();
    follower_->recordPeer({.version = 20, .lastChangeVersion = 5, .age = milliseconds(1'690)}, BootClock::now());
    call.handler({.status = TableStatus::Ok, .version = 6});
    EXPECT_EQ(next().version, 20U);
}

TEST_F(TableFollowerTest, AsksMoreOftenWhileOthersRelyOnIt)
{
    start();
    follower_->setMode(FollowMode::Relayed);
    next().handler({.status = TableStatus::Ok, .version = 5});
    EXPECT_EQ(next().wait, milliseconds(700));
}

} // namespace mulberrywall::router
