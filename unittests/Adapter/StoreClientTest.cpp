#include "RawEndpoint.h"

#include "platform/StoreClient.h"

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>

namespace mulberrywall::platform
{

using router::TableResult;
using router::TableStatus;

TEST(RowsPage, ParsesRowsAndVersion)
{
    const RowsPage page = parseRowsPage(
        200, R"({"rows":[{"table":"op","part":"","key":"config","value":"aGVsbG8=","ver":412},{"key":"b","deleted":true}],"truncated":true,"ver":530})");
    EXPECT_EQ(page.result.status, TableStatus::Ok);
    EXPECT_EQ(page.result.version, 530U);
    EXPECT_TRUE(page.truncated);
    ASSERT_EQ(page.result.rows.size(), 2U);
    EXPECT_EQ(page.result.rows[0].value, "hello");
    EXPECT_TRUE(page.result.rows[1].deleted);
}

/// Guards against treating a malformed response as an empty table, which would remove all endpoints.
TEST(RowsPage, DistinguishesMalformedResponseFromEmptyTable)
{
    EXPECT_EQ(parseRowsPage(200, R"({"rows":[],"ver":1})").result.status, TableStatus::Ok);
    EXPECT_EQ(parseRowsPage(200, R"({"rows":[]})").result.status, TableStatus::Unavailable);
    EXPECT_EQ(parseRowsPage(200, R"({"ver":1})").result.status, TableStatus::Unavailable);
    EXPECT_EQ(parseRowsPage(200, "<html>").result.status, TableStatus::Unavailable);
    EXPECT_EQ(parseRowsPage(429, "").result.status, TableStatus::Unavailable);
    EXPECT_EQ(parseRowsPage(503, R"({"rows":[],"ver":1})").result.status, TableStatus::Unavailable);
    EXPECT_EQ(parseRowsPage(410, "").result.status, TableStatus::HistoryTruncated);
}

TEST(RowsPage, KeepsRowWhoseValueCannotBeDecoded)
{
    const RowsPage page = parseRowsPage(200, R"({"rows":[{"key":"a","value":"%%%"},{"key":"b","value":7},{"value":"eA=="}],"ver":2})");
    ASSERT_EQ(page.result.rows.size(), 2U);
    EXPECT_EQ(page.result.rows[0].value, "");
    EXPECT_EQ(page.result.rows[1].value, "");
}

/// Guards against a transaction that may still be applied and is taken for refused, and the reverse.
TEST(TransactionResult, TellsRefusalFromUnknownOutcome)
{
    const TransactionResult applied = parseTransactionResult(200, R"({"ver":31})");
    EXPECT_EQ(applied.status, TransactionStatus::Applied);
    EXPECT_EQ(applied.version, 31U);
    const TransactionResult conflict = parseTransactionResult(412, R"({"rows":[{"key":"k","value":"aGVsbG8=","ver":7}],"ver":31})");
    EXPECT_EQ(conflict.status, TransactionStatus::Conflict);
    EXPECT_EQ(conflict.current, (std::vector<VersionedRow> {{.key = "k", .version = 7, .value = "hello"}}));
    EXPECT_TRUE(parseTransactionResult(412, R"({"rows":[{"key":"k","deleted":true,"ver":7}]})").current.empty());
    EXPECT_EQ(parseTransactionResult(429, "").status, TransactionStatus::NotApplied);
    EXPECT_EQ(parseTransactionResult(408, "").status, TransactionStatus::Unknown);
    EXPECT_EQ(parseTransactionResult(503, "").status, TransactionStatus::Unknown);
    EXPECT_EQ(parseTransactionResult(200, "<html>").status, TransactionStatus::Unknown);
}

/// Runs a store in this process that responds with prepared bodies and records the request targets. Requests without a
/// prepared body get no response.
class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : server_(http::Server::create(workers_.context(),
            {.listen = {boost::asio::ip::make_address("127.0.0.1"), 0}},
            [this](const http::ServerExchangePtr &exchange) { respond(exchange); }))
    {
        server_->start();
    }

    ~StoreClientTest() override
    {
        workers_.stop();
        workers_.join();
    }

    void respond(const http::ServerExchangePtr &exchange)
    {
        const std::scoped_lock lock(mutex_);
        targets_.emplace_back(exchange->request().target().data(), exchange->request().target().size());
        requestBodies_.push_back(exchange->request().body());
        if (bodies_.empty()) {
            held_.push_back(exchange);
            return;
        }
        exchange->respond(http::makeJsonResponse(http::Status::ok, bodies_.front()));
        bodies_.erase(bodies_.begin());
    }

    std::shared_ptr<StoreClient> makeClient()
    {
        return std::make_shared<StoreClient>(
            workers_.context(), StoreClientOptions {.address = server_->localEndpoint(), .responseTimeout = std::chrono::milliseconds(200)});
    }

    static TableResult readTable(StoreClient &client, std::string_view table)
    {
        std::promise<TableResult> promise;
        client.readTable(table, [&promise](TableResult result) { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }

    support::WorkerPool workers_ {2};
    std::mutex mutex_;
    std::vector<std::string> bodies_;
    std::vector<std::string> targets_;
    std::vector<std::string> requestBodies_;
    std::vector<http::ServerExchangePtr> held_;
    std::shared_ptr<http::Server> server_;
};

TEST_F(StoreClientTest, ReadsPagesAndReportsVersionOfFirstPage)
{
    bodies_ = {R"({"rows":[{"key":"a","value":""}],"truncated":true,"ver":5})", R"({"rows":[{"key":"b","value":""}],"truncated":false,"ver":9})"};
    const TableResult result = readTable(*makeClient(), "servers");
    EXPECT_EQ(result.status, TableStatus::Ok);
    EXPECT_EQ(result.rows.size(), 2U);
    EXPECT_EQ(result.version, 5U);
    ASSERT_EQ(targets_.size(), 2U);
    EXPECT_NE(targets_[1].find("from=a%00"), std::string::npos);
}

/// Guards against a late second copy of a response that is taken for the response to the next call on the connection: the rows of one
/// table would replace those of another, or an old state would be confirmed as current.
TEST_F(StoreClientTest, DoesNotTakeACopyOfAnEarlierResponse)
{
    const std::string configuration = R"({"rows":[{"key":"config","value":""}],"truncated":false,"ver":5,"nowMs":100})";
    const std::string unchanged = R"({"rows":[],"truncated":false,"ver":5,"nowMs":900})";
    const auto client = makeClient();
    bodies_ = {configuration, configuration, configuration, unchanged, configuration};
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Ok);
    EXPECT_EQ(readTable(*client, "servers").status, TableStatus::Unavailable) << "a copy of the previous response";
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Ok) << "on a new connection there is no copy";
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Ok);
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Unavailable) << "older than the previous response";
}

/// Guards against responses that are rejected because the store answers twice within a millisecond, or has set its clock back.
TEST_F(StoreClientTest, TakesResponsesOfTheSameTimeAndAfterAnEarlierClock)
{
    const auto client = makeClient();
    bodies_ = {R"({"rows":[],"truncated":false,"ver":5,"nowMs":100})",
        R"({"rows":[],"truncated":false,"ver":6,"nowMs":100})",
        R"({"rows":[],"truncated":false,"ver":7,"nowMs":3})",
        R"({"rows":[],"truncated":false,"ver":7,"nowMs":4})"};
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Ok);
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Ok);
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Unavailable);
    EXPECT_EQ(readTable(*client, "op").status, TableStatus::Ok);
}

/// Guards against a long poll that never ends because the store stops sending on an open connection.
TEST_F(StoreClientTest, LongPollTimesOutOnSilentConnection)
{
    std::promise<TableResult> promise;
    makeClient()->awaitChanges("op", 7, std::chrono::milliseconds(100), [&promise](TableResult result) { promise.set_value(std::move(result)); });
    const TableResult result = promise.get_future().get();
    EXPECT_EQ(result.status, TableStatus::Unavailable);
    EXPECT_FALSE(result.reason.empty());
    EXPECT_EQ(targets_.front(), "/mulberrywall/rows-feed?table=op&sinceRev=7&waitMs=100");
}

/// Guards against a transaction whose condition is lost on the way, and against a row of another key that is taken for the one asked for.
TEST_F(StoreClientTest, CommitsConditionallyAndReadsOneRow)
{
    const auto client = makeClient();
    bodies_ = {R"({"ver":8})",
        R"({"rows":[{"key":"k","value":"aGVsbG8=","ver":8},{"key":"l","value":"","ver":9}],"truncated":false,"ver":9})",
        R"({"rows":[{"key":"l","value":"","ver":9}],"truncated":false,"ver":10})"};
    const auto commit = [&client] {
        std::promise<TransactionResult> result;
        client->commit({.table = "t", .conditions = {{.key = "k", .version = 7}}, .writes = {{.key = "k", .value = "hello"}}, .removals = {"u"}},
            [&result](TransactionResult received) { result.set_value(std::move(received)); });
        return result.get_future().get();
    };
    const auto readRow = [&client] {
        std::promise<RowResult> result;
        client->readRow("t", "k", [&result](RowResult received) { result.set_value(std::move(received)); });
        return result.get_future().get();
    };
    EXPECT_EQ(commit().version, 8U);
    EXPECT_EQ(requestBodies_[0],
        R"({"expectRev":[{"table":"t","part":"","key":"k","ver":7}],"writes":[{"table":"t","part":"","key":"k","value":"aGVsbG8="}],)"
        R"("deletes":[{"table":"t","part":"","key":"u"}]})");
    const RowResult found = readRow();
    EXPECT_EQ(found.status, RowStatus::Found);
    EXPECT_EQ(found.row, (VersionedRow {.key = "k", .version = 8, .value = "hello"}));
    EXPECT_EQ(readRow().status, RowStatus::Absent);
    EXPECT_EQ(commit().status, TransactionStatus::Unknown) << "no response";
    EXPECT_EQ(readRow().status, RowStatus::Unavailable) << "no response";
}

/// Guards against a write that is taken for done although the store did not acknowledge it.
TEST_F(StoreClientTest, WritesAndRemovesRows)
{
    const auto execute = [](auto command) {
        std::promise<bool> acknowledged;
        command([&acknowledged](bool isAcknowledged) { acknowledged.set_value(isAcknowledged); });
        return acknowledged.get_future().get();
    };
    const auto client = makeClient();
    bodies_ = {"{}", "{}"};
    EXPECT_TRUE(execute([&](auto handler) { client->putRow("t", "k", "hello", std::move(handler)); }));
    EXPECT_TRUE(execute([&](auto handler) { client->removeRow("t", "k", std::move(handler)); }));
    EXPECT_FALSE(execute([&](auto handler) { client->putRow("t", "k", "hello", std::move(handler)); })) << "no response";
    ASSERT_EQ(requestBodies_.size(), 3U);
    EXPECT_EQ(requestBodies_[0], R"({"expectRev":[],"writes":[{"table":"t","part":"","key":"k","value":"aGVsbG8="}],"deletes":[]})");
    EXPECT_EQ(requestBodies_[1], R"({"expectRev":[],"writes":[],"deletes":[{"table":"t","part":"","key":"k"}]})");
}

/// Guards against a commit that counts as applied, and rows that count as read, because of the bytes behind a head that is none.
TEST(BrokenStoreResponse, ProvesNothing)
{
    support::WorkerPool workers(2);
    std::vector<std::unique_ptr<RawEndpoint>> stores;
    const std::string body = R"({"rows":[],"ver":31})";
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const std::string &bytes : {"HTTP/1.1 000 Failed\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + whole,
             "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole,
             "HTTP/1.1 200 OK\r\nA: 1\r\n Content-Length: 99\r\n\r\n" + body,
             "HTTP/1.1 200 OK\r\nA 1: 1\r\n\r\n" + body}) {
        stores.push_back(
            std::make_unique<RawEndpoint>(workers, [bytes](const std::string &) { return std::vector<Write> {{.bytes = bytes, .then = AfterWrite::Close}}; }));
        const auto client = std::make_shared<StoreClient>(workers.context(),
            StoreClientOptions {.address = {boost::asio::ip::address_v4::loopback(), stores.back()->port()}, .responseTimeout = std::chrono::seconds(5)});
        std::promise<TransactionResult> commit;
        client->commit({.table = "t", .writes = {{.key = "k", .value = "v"}}}, [&commit](TransactionResult result) { commit.set_value(std::move(result)); });
        EXPECT_EQ(commit.get_future().get().status, TransactionStatus::Unknown) << bytes;
        std::promise<TableResult> rows;
        client->readTable("t", [&rows](TableResult result) { rows.set_value(std::move(result)); });
        EXPECT_EQ(rows.get_future().get().status, TableStatus::Unavailable) << bytes;
    }
    workers.stop();
    workers.join();
}

} // namespace mulberrywall::platform
