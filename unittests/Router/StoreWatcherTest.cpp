#include "TableWatcherFixture.h"

#include "mulberrywall/Router/StoreWatcher.h"

#include <stdexcept>

namespace mulberrywall::router
{

/// Guards against hundreds of routers that call the store although others have confirmed its state, because each confirmation is
/// too old for them before the next one can arrive.
TEST(RelayedConfirmations, AreRecentEnoughUntilTheNextOne)
{
    constexpr milliseconds slowStoreAndSummary {600};
    const TableWatcherOptions table;
    EXPECT_GE(table.maximumPeerAge, 2 * table.relayedWait + slowStoreAndSummary);
    const StoreWatcherOptions store;
    EXPECT_GE(store.maximumEndpointsPeerAge, 2 * store.relayedEndpointsWait + slowStoreAndSummary);
}

/// Guards against all endpoints that are lost at once after a short outage of the store, because a router that relies on its
/// peers did not find the outage. Entries lapse after three heartbeats of 1.2 s, the last of which may precede the outage.
TEST(RelayedConfirmations, RouterFindsAnOutageBeforeEntriesLapse)
{
    constexpr milliseconds heartbeat {1'200};
    EXPECT_LE(StoreWatcherOptions().maximumEndpointsPeerAge, 2 * heartbeat);
}

/// Guards against a router that handles requests by an old configuration for too long after its start, because it waits for its
/// peers to pass on the changes. A change must take effect within 2 s on the smallest sites.
TEST(StartInterval, LeavesTimeForAChangeToTakeEffect)
{
    constexpr milliseconds changeDelayLimit {2'000};
    EXPECT_LE(2 * StoreWatcherOptions().startInterval, changeDelayLimit);
}

/// Runs a store watcher on simulated tables. The configuration is the row's value as a revision; "damaged" is not readable, and
/// "defect" makes the reader throw.
class StoreWatcherTest : public TableWatcherTest
{
protected:
    ~StoreWatcherTest() override
    {
        storeWatcher_->stop();
        runReadyHandlers();
    }

    void startStoreWatcher()
    {
        start();
        storeWatcher_ = std::make_shared<StoreWatcher>(context_,
            StoreWatcherOptions {},
            StoreWatcherSources {.configuration = makeSource(),
                .endpoints = {.readAll = [this](TableHandler handler) { addEndpointsCall(std::move(handler)); },
                    .awaitChanges =
                        [this](std::uint64_t, milliseconds, TableHandler handler) {
                            addEndpointsCall(std::move(handler));
                        }},
                .readConfiguration = readConfiguration,
                .readEndpoint = readEndpoint},
            StoreWatcherHandlers {.configurationChanged = [this](const configuration::SiteConfiguration &changed) { revision_ = changed.revision; },
                .configurationConfirmed = [this](BootClock::time_point) { ++confirmations_; },
                .endpointsChanged =
                    [this](const std::vector<configuration::Endpoint> &endpoints) {
                        endpoints_ = endpoints.size();
                    }});
        storeWatcher_->start();
        nextCall(); // Of the table watcher that the base class runs; it gets no response.
    }

    static std::optional<std::variant<configuration::SiteConfiguration, RowProblem>> readConfiguration(const TableRow &row)
    {
        if (row.deleted || row.value == "damaged") {
            return RowProblem {"damaged"};
        }
        configuration::SiteConfiguration site;
        site.revision = std::stoull(row.value);
        return site;
    }

    static std::variant<RegisteredEndpoint, RowProblem> readEndpoint(const TableRow &row)
    {
        if (row.value == "defect") {
            throw std::runtime_error("defect");
        }
        return RegisteredEndpoint {.endpoint = {.id = support::EndpointId(row.key), .address = "10.0.0.1", .port = 80}};
    }

    void addEndpointsCall(TableHandler handler)
    {
        endpointCalls_.push_back(std::move(handler));
    }

    TableHandler nextEndpointsCall()
    {
        while (endpointCalls_.empty()) {
            runReadyHandlers();
            std::this_thread::yield();
        }
        TableHandler handler = std::move(endpointCalls_.front());
        endpointCalls_.erase(endpointCalls_.begin());
        return handler;
    }

    std::vector<TableHandler> endpointCalls_;
    std::uint64_t revision_ = 0;
    unsigned confirmations_ = 0;
    std::size_t endpoints_ = 0;
    std::shared_ptr<StoreWatcher> storeWatcher_;
};

/// Guards against a withdrawn key that is accepted because responses without changes confirm a configuration which is known to
/// be replaced by one that cannot be read.
TEST_F(StoreWatcherTest, DoesNotConfirmAReplacedConfiguration)
{
    startStoreWatcher();
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "c", .value = "1"}}, .version = 1});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "c", .value = "damaged"}}, .version = 2});
    nextCall().handler({.status = TableStatus::Ok, .version = 3});
    StoreCall call = nextCall();
    EXPECT_EQ(confirmations_, 1U) << "of revision 1, before it was replaced";
    call.handler({.status = TableStatus::Ok, .rows = {{.key = "c", .value = "4"}}, .version = 4});
    nextCall();
    EXPECT_EQ(revision_, 4U);
    EXPECT_EQ(confirmations_, 2U);
}

/// Guards against withdrawn keys that are accepted for ever, because the store confirms that a removed configuration is unchanged.
TEST_F(StoreWatcherTest, DoesNotConfirmARemovedConfiguration)
{
    startStoreWatcher();
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "c", .value = "1"}}, .version = 1});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "c", .deleted = true}}, .version = 2});
    nextCall().handler({.status = TableStatus::Ok, .version = 3});
    nextCall().handler({.status = TableStatus::Ok, .rows = {{.key = "c", .value = "4"}}, .version = 4});
    StoreCall call = nextCall();
    EXPECT_EQ(confirmations_, 2U) << "of revisions 1 and 4 when they were read";
    call.handler({.status = TableStatus::HistoryTruncated});
    nextCall().handler({.status = TableStatus::Ok, .version = 5});
    nextCall().handler({.status = TableStatus::Ok, .version = 6});
    nextCall();
    EXPECT_EQ(confirmations_, 2U) << "the whole table has no configuration any more";
    EXPECT_EQ(revision_, 4U);
}

/// Guards against one row with an unexpected value that hides all other endpoints.
TEST_F(StoreWatcherTest, ReadsTheOtherRowsAfterADefect)
{
    startStoreWatcher();
    nextEndpointsCall()({.status = TableStatus::Ok, .rows = {{.key = "i-1"}, {.key = "i-2", .value = "defect"}, {.key = "i-3"}}, .version = 1});
    nextEndpointsCall();
    EXPECT_EQ(endpoints_, 2U);
}

} // namespace mulberrywall::router
