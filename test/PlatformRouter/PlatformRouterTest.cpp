#include "ScriptedStore.h"

#include "Adapter/ScriptedEndpoint.h"
#include "Harness/ChildProcess.h"
#include "Harness/Deployment.h"
#include "Harness/PortReservation.h"
#include "Harness/TestClient.h"
#include "Harness/Wait.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mulberrywall::platform
{

using harness::Call;
using harness::ChildProcess;
using harness::Reply;
using std::chrono::milliseconds;

namespace
{

constexpr std::string_view validKey = "valid-key";
constexpr std::string_view withdrawnKey = "withdrawn-key";
/// Time after which a withdrawn key must not be used, also by a router that cannot know of the withdrawal.
constexpr milliseconds revocationLimit {1'500};
constexpr unsigned ok = 200;
constexpr unsigned unauthorized = 401;
constexpr unsigned unavailable = 503;

std::string documentWithKeys(unsigned version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"h","prefix":"/safe/","type":"safe","timeoutMs":4000,"sloMs":300,"priority":1,"service":"s","attempts":2}],)"
          R"("services":[{"name":"s","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
          R"("tenants":[{"name":"t","apiKeys":[)"
        + keys + "]}]}";
}

std::string endpointEntry(std::uint16_t port)
{
    return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"dc-a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":1})";
}

/// The requests of one client and what became of them.
struct ClientLog
{
    std::vector<std::string> answered;
    /// Reported as not run.
    std::vector<std::string> rejected;
    std::vector<std::string> unanswered;
};

/// Sends requests on a connection that is kept while the router keeps it, until nothing listens on the router's port.
ClientLog sendUntilRefused(Call call, const std::string &name)
{
    ClientLog log;
    harness::KeptConnection connection;
    for (unsigned number = 0;; ++number) {
        const std::string id = name + "-" + std::to_string(number);
        call.headers[1].second = id;
        const Reply reply = connection.send(call);
        if (!reply.connected) {
            return log;
        }
        std::vector<std::string> &list = !reply.complete() ? log.unanswered : reply.status == unavailable ? log.rejected : log.answered;
        list.push_back(id);
    }
}

} // namespace

/// A router process on the users' platform, whose store and endpoint are in this process.
class PlatformRouterTest : public testing::Test
{
protected:
    PlatformRouterTest()
    {
        callerPort_ = ports_.reserve("127.0.0.1");
        std::ofstream(settingsFile_) << R"({"nodeName":"router-0","zone":"dc-a","listen":{"front":"127.0.0.1:)" << callerPort_ << R"(","ready":"127.0.0.1:)"
                                     << ports_.reserve("127.0.0.1") << R"("},"bounds":{"graceS":3,"strictRevoke":true,"revokeMs":)" << revocationLimit.count()
                                     << R"(,"configApplyMs":1000,"drainMs":1000},"platform":{"address":"127.0.0.1:)" << store_.port() << "\"}}";
        writeConfiguration(R"("valid-key","withdrawn-key")");
        store_.write("servers", "endpoint-0", endpointEntry(endpoint_.port()));
        startRouter();
        waitUntilServed(withdrawnKey);
    }

    ~PlatformRouterTest() override
    {
        router_.reset();
        std::filesystem::remove(settingsFile_);
        workers_.stop();
        workers_.join();
    }

    void startRouter()
    {
        router_ = std::make_unique<ChildProcess>(
            harness::ChildOptions {.name = "router-0", .binary = harness::routerBinary(), .environment = {{"MULBERRYWALL_NODE_FILE", settingsFile_}}});
        router_->waitForPort("caller");
    }

    [[nodiscard]] Call makeCall(std::string_view key, const std::string &id) const
    {
        return {.port = callerPort_,
            .target = "/safe/x",
            .headers = {{"Host", "h"}, {"Mulberrywall-Request-Id", id}, {"Mulberrywall-Deadline-Ms", "4000"}, {"Authorization", "Bearer " + std::string(key)}},
            .timeout = milliseconds(10'000)};
    }

    [[nodiscard]] Reply request(std::string_view key)
    {
        return send(makeCall(key, "request-" + std::to_string(++requests_)));
    }

    [[nodiscard]] std::set<std::string> idsOfRuns() const
    {
        std::set<std::string> result;
        for (const http::Request &request : endpoint_.requests()) {
            result.emplace(http::fieldValue(request, "Mulberrywall-Request-Id"));
        }
        return result;
    }

    /// Writes the bytes to the router's caller port and waits until the router closes the connection or has responded.
    void sendBytes(std::string_view bytes) const
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), callerPort_});
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        std::array<char, 512> response {};
        socket.read_some(boost::asio::buffer(response), ignored);
    }

    void waitUntilServed(std::string_view key)
    {
        harness::waitUntil("a request with the key " + std::string(key) + " is served", [&] { return request(key).status == ok; });
    }

    /// Writes the next version of the configuration, with these keys.
    void writeConfiguration(const std::string &keys)
    {
        store_.write("op", "config", documentWithKeys(++configurationVersion_, keys));
    }

    void withdrawKey()
    {
        writeConfiguration(R"("valid-key")");
    }

    support::WorkerPool workers_ {2};
    ScriptedStore store_ {workers_};
    ScriptedEndpoint endpoint_ {workers_, [](const http::ServerExchangePtr &exchange) {
                                    answer(exchange, http::Status::ok, "served");
                                }};
    harness::PortReservation ports_;
    std::uint16_t callerPort_ = 0;
    std::string settingsFile_ = (std::filesystem::temp_directory_path() / ("mulberrywall-node-" + std::to_string(::getpid()) + ".json")).string();
    std::unique_ptr<ChildProcess> router_;
    std::atomic<unsigned> requests_ {0};
    unsigned configurationVersion_ = 0;
};

/// Guards against a router that goes on with its lease on the configuration after a pause, although the lease ended meanwhile.
TEST_F(PlatformRouterTest, PausedRouterUsesNoKeyThatWasWithdrawnMeanwhile)
{
    for (const milliseconds pause : {milliseconds(1'600), milliseconds(4'000)}) {
        const std::size_t before = endpoint_.requests().size();
        store_.setService(ScriptedStore::Service::Silent);
        router_->sendSignal(SIGSTOP);
        withdrawKey();
        auto duringPause = std::async(std::launch::async, [this] { return request(withdrawnKey); });
        std::this_thread::sleep_for(pause);
        router_->sendSignal(SIGCONT);
        const Reply afterPause = request(withdrawnKey);
        EXPECT_NE(duringPause.get().status, ok);
        EXPECT_EQ(afterPause.status, unavailable) << afterPause.body;
        EXPECT_EQ(endpoint_.requests().size(), before) << "a request with the withdrawn key has run";
        store_.setService(ScriptedStore::Service::Normal);
        waitUntilServed(validKey);
        EXPECT_EQ(request(withdrawnKey).status, unauthorized);
        writeConfiguration(R"("valid-key","withdrawn-key")");
        waitUntilServed(withdrawnKey);
    }
}

/// Guards against a restarted router that uses what it, or the store, knew before: a key and an endpoint that were withdrawn while the
/// router was down.
TEST_F(PlatformRouterTest, RestartedRouterUsesNothingThatWasWithdrawnMeanwhile)
{
    router_->sendSignal(SIGKILL);
    router_->waitForEnd();
    const std::size_t before = endpoint_.requests().size();
    withdrawKey();
    store_.remove("servers", "endpoint-0");
    store_.setService(ScriptedStore::Service::Silent);
    startRouter();
    EXPECT_EQ(request(withdrawnKey).status, unavailable);
    store_.setService(ScriptedStore::Service::Normal);
    harness::waitUntil("the router knows the configuration", [&] { return request(withdrawnKey).status == unauthorized; });
    EXPECT_EQ(request(validKey).status, unavailable);
    EXPECT_EQ(endpoint_.requests().size(), before) << "the endpoint that was removed is in use";
}

/// Guards against a planned stop that breaks off requests which were just accepted, while clients go on until nothing listens.
TEST_F(PlatformRouterTest, StopUnderLoadAnswersEveryRequestThatHasRun)
{
    constexpr unsigned clients = 40;
    std::vector<std::future<ClientLog>> running;
    for (unsigned client = 0; client < clients; ++client) {
        const std::string name = "client-" + std::to_string(client);
        running.push_back(std::async(std::launch::async, [call = makeCall(validKey, name), name] { return sendUntilRefused(call, name); }));
    }
    harness::waitUntil("all clients are served", [&] { return endpoint_.requests().size() > 10 * clients; });
    router_->sendSignal(SIGTERM);
    std::vector<ClientLog> logs;
    for (std::future<ClientLog> &client : running) {
        logs.push_back(client.get());
    }
    EXPECT_EQ(router_->waitForEnd(), 0);
    const std::set<std::string> runs = idsOfRuns();
    for (const ClientLog &log : logs) {
        EXPECT_FALSE(log.answered.empty());
        for (const std::string &id : log.unanswered) {
            EXPECT_FALSE(runs.contains(id)) << id << " has run and got no answer";
        }
        for (const std::string &id : log.rejected) {
            EXPECT_FALSE(runs.contains(id)) << id << " has run and was rejected as not run";
        }
        // Only a request that crosses the close of its connection gets no answer, and the client then finds another router.
        EXPECT_LE(log.unanswered.size(), 2U);
    }
}

/// Guards against a message that ends the process: of callers, in rows of the store, in the settings file, or of an endpoint.
TEST_F(PlatformRouterTest, SurvivesMalformedMessages)
{
    using namespace std::string_literals;
    for (const std::string &bytes : {"\0\xff\xfe garbage"s,
             "GET"s,
             "POST /safe/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n"s,
             "POST /safe/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"s,
             "POST /safe/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer valid-key\r\nMulberrywall-Request-Id: m\r\n"
             "Mulberrywall-Deadline-Ms: 99999999999999999999\r\nMulberrywall-Token-Count: -1,x\r\nMulberrywall-Prefix-Hash: zz:,:,\r\n\r\n"s}) {
        sendBytes(bytes);
        EXPECT_EQ(request(validKey).status, ok) << bytes;
    }
    for (const std::string &value :
        {""s, "null"s, "[]"s, "{\"routes\":7}"s, "{\"version\":1e300,\"routes\":[{\"prefix\":[]}]}"s, "\xff\0\x01"s, std::string(70'000, '[')}) {
        store_.write("servers", "endpoint-malformed", value);
        store_.write("op", "unknown", value);
        store_.write("unknown", "row", value);
        EXPECT_EQ(request(validKey).status, ok) << value.substr(0, 40);
        std::ofstream(settingsFile_) << value;
        router_->sendSignal(SIGHUP);
        EXPECT_EQ(request(validKey).status, ok) << value.substr(0, 40);
    }
    EXPECT_FALSE(router_->hasEnded()) << router_->output();
}

/// Guards against an entry of another writer among those of the endpoints that ends the process, stops it from following the list,
/// or keeps it from using the endpoints.
TEST_F(PlatformRouterTest, FollowsTheListBesideOddEntries)
{
    const std::string port = std::to_string(endpoint_.port());
    const auto entry = [](const std::string &address, const std::string &slots) {
        return R"({"service":"s","address":")" + address + R"(","zone":"dc-a","slots":)" + slots + R"(,"state":"ready","seq":1})";
    };
    const std::vector<std::pair<std::string, std::string>> odd {
        {"nested", R"({"service":)" + std::string(30'000, '[') + std::string(30'000, ']') + "}"},
        // Together with the slots of the other endpoint, they are 2^32.
        {"overflow", entry("127.0.0.1:" + port, "4294967288")},
        {"huge", entry("127.0.0.1:" + port, "1e999")},
        {"too-large", entry("127.0.0.1:" + port, "18446744073709551616")},
        {"negative", entry("127.0.0.1:" + port, "-8")},
        {"port-out-of-range", entry("127.0.0.1:65536", "8")},
        {"port-negative", entry("127.0.0.1:-1", "8")},
        {"port-zero", entry("127.0.0.1:0", "8")},
        {"name\r\nX-Injected: 1", entry("127.0.0.1:" + port, "8")},
        {std::string(200, '\xff'), entry("127.0.0.1:" + port, "8")},
    };
    for (const auto &[key, value] : odd) {
        store_.write("servers", key, value);
        EXPECT_EQ(request(validKey).status, ok) << key;
    }
    for (const http::Request &run : endpoint_.requests()) {
        EXPECT_EQ(http::fieldValue(run, "Mulberrywall-Expect-Instance"), "endpoint-0");
    }
    store_.remove("servers", "endpoint-0");
    harness::waitUntil("the router follows the list", [&] { return request(validKey).status == unavailable; });
    store_.write("servers", "endpoint-1", endpointEntry(endpoint_.port()));
    waitUntilServed(validKey);
    EXPECT_FALSE(router_->hasEnded()) << router_->output();
}

/// Guards against an unreadable configuration that ends the process, or that is taken for a confirmation of the last one.
TEST_F(PlatformRouterTest, UnreadableConfigurationEndsTheLeaseAndNotTheProcess)
{
    store_.write("op", "config", std::string(70'000, '{'));
    harness::waitUntil("the lease on the last configuration ends", [&] { return request(validKey).status == unavailable; });
    writeConfiguration(R"("valid-key")");
    waitUntilServed(validKey);
    EXPECT_EQ(request(withdrawnKey).status, unauthorized);
}

} // namespace mulberrywall::platform
