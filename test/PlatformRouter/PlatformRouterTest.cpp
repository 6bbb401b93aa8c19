#include "PlatformRouterFixture.h"

#include <csignal>
#include <future>
#include <thread>
#include <vector>

namespace mulberrywall::platform
{

namespace
{

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

/// Guards against a router of unknown sources: a build that was not renewed could not be told from one that was.
TEST_F(PlatformRouterTest, NamesItsBuild)
{
    const ChildProcess::Line line = router_->waitForLine("the first line", [](const ChildProcess::Line &entry) { return entry.at("message") == "starting"; });
    const std::string sources(line.at("sources").as_string());
    const std::string binary(line.at("binary").as_string());
    constexpr std::size_t sourceHashDigits = 16;
    EXPECT_EQ(sources.size(), sourceHashDigits) << sources;
    EXPECT_FALSE(binary.empty());
    const std::string metrics = harness::send({.port = readinessPort_, .method = "GET", .target = "/metrics"}).body;
    EXPECT_NE(metrics.find("sources=\"" + sources + "\",binary=\"" + binary + "\"} 1"), std::string::npos) << metrics;
    ChildProcess version({.name = "version", .binary = harness::routerBinary(), .arguments = {"--version"}});
    EXPECT_EQ(version.waitForEnd(), 0);
    EXPECT_NE(version.output().find("sources " + sources + ", binary " + binary), std::string::npos) << version.output();
}

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
