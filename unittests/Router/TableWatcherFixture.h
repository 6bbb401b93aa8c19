#pragma once

#include "mulberrywall/Router/TableWatcher.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mulberrywall::router
{

using std::chrono::milliseconds;
using support::BootClock;

/// Runs a watcher on a simulated store; the test responds to each call.
class TableWatcherTest : public testing::Test
{
protected:
    struct StoreCall
    {
        bool readsAll = false;
        std::uint64_t version = 0;
        milliseconds wait {0};
        TableHandler handler;
    };

    ~TableWatcherTest() override
    {
        watcher_->stop();
        runReadyHandlers();
    }

    /// Runs handlers, also those that they post, until none is ready.
    void runReadyHandlers()
    {
        context_.restart();
        context_.poll();
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
        watcher_ = std::make_shared<TableWatcher>(context_,
            TableWatcherOptions {.name = "test",
                .wait = milliseconds(2000),
                .coalescingInterval = milliseconds(1),
                .startInterval = startInterval_,
                .initialRetryDelay = retryDelay_,
                .maximumRetryDelay = 2 * retryDelay_,
                .maximumRetryDelayWithPeers = 2 * retryDelay_},
            makeSource(),
            TableWatcherHandlers {.onRows =
                                      [this](RowsKind kind, const std::vector<TableRow> &rows, BootClock::time_point confirmedAt) {
                                          confirmedAt_ = confirmedAt;
                                          if (recoveriesAtRows_ < 0 && !rows.empty()) {
                                              recoveriesAtRows_ = recoveries_;
                                          }
                                          kinds_.push_back(kind);
                                          for (const TableRow &row : rows) {
                                              keys_.push_back(row.key);
                                          }
                                      },
                .onRecovered =
                    [this] {
                        ++recoveries_;
                    }});
        watcher_->start();
    }

    void add(StoreCall call)
    {
        calls_.push_back(std::move(call));
    }

    /// Waits for the next call of the watcher.
    StoreCall nextCall()
    {
        while (calls_.empty()) {
            runReadyHandlers();
            std::this_thread::yield();
        }
        StoreCall call = std::move(calls_.front());
        calls_.erase(calls_.begin());
        return call;
    }

    /// Lets peers report several times that they have read a later version from the store, after none could read it for a while.
    void reportLaterVersionAfterAnOutage()
    {
        constexpr int reports = 5;
        peerTime_ += TableWatcherOptions().maximumPeerAge + milliseconds(100);
        for (int report = 0; report < reports; ++report) {
            peerTime_ += milliseconds(20);
            watcher_->recordPeerReport({.version = 9, .lastChangeVersion = 9}, {}, peerTime_);
            runReadyHandlers();
        }
    }

    milliseconds retryDelay_ {1};
    milliseconds startInterval_ {1};
    /// Time of the latest report of reportLaterVersionAfterAnOutage().
    BootClock::time_point peerTime_ = BootClock::now();
    boost::asio::io_context context_;
    std::vector<StoreCall> calls_;
    std::vector<RowsKind> kinds_;
    std::vector<std::string> keys_;
    int recoveries_ = 0;
    /// Number of recoveries before the next rows after this was set to -1.
    int recoveriesAtRows_ = 0;
    BootClock::time_point confirmedAt_;
    std::shared_ptr<TableWatcher> watcher_;
};

/// A watcher in mode RelyOnPeers, which receives freshness reports from peers.
class PeerReliantTableWatcherTest : public TableWatcherTest
{
protected:
    /// Starts the watcher and returns its pending call for changes after the table was read at version
    /// 5.
    StoreCall startRelyingOnPeers()
    {
        start();
        watcher_->setMode(WatchMode::RelyOnPeers);
        nextCall().handler({.status = TableStatus::Ok, .version = 5});
        return nextCall();
    }

    /// Passes on changes of a peer whose copy is current up to their version.
    void recordChanges(std::uint64_t sinceVersion, std::uint64_t version, std::vector<TableRow> rows)
    {
        watcher_->recordPeerReport({.version = version, .lastChangeVersion = version},
            {{.sinceVersion = sinceVersion, .version = version, .rows = std::move(rows)}},
            BootClock::now());
    }

    [[nodiscard]] bool hasCalled() const
    {
        return !calls_.empty();
    }
};

} // namespace mulberrywall::router
