#pragma once

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
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <unistd.h>

namespace mulberrywall::platform
{

using harness::Call;
using harness::ChildProcess;
using harness::Reply;
using std::chrono::milliseconds;

inline constexpr std::string_view validKey = "valid-key";
inline constexpr std::string_view withdrawnKey = "withdrawn-key";
/// Time after which a withdrawn key must not be used, also by a router that cannot know of the withdrawal.
inline constexpr milliseconds revocationLimit {1'500};
inline constexpr unsigned ok = 200;
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned unavailable = 503;

/// Memory of the instance.
inline constexpr std::size_t memoryLimitMb = 260;
/// Time between the termination signal and the forced end of the process.
inline constexpr std::chrono::seconds terminationGrace {3};
/// Longest time that a request may take on any route.
inline constexpr milliseconds routeTimeout {4'000};
/// Service of the routes "other" and "other-stream".
inline const std::string otherService = "other-service";

inline std::string documentWithKeys(unsigned version, const std::string &keys)
{
    const auto route = [](const std::string &name, const std::string &type, const std::string &service, unsigned targetMs) {
        return R"({"name":")" + name + R"(","host":"h","prefix":"/)" + name + R"(/","type":")" + type + R"(","timeoutMs":)"
            + std::to_string(routeTimeout.count()) + R"(,"sloMs":)" + std::to_string(targetMs) + R"(,"priority":1,"service":")" + service
            + R"(","attempts":2})";
    };
    const auto service = [](const std::string &name) {
        return R"({"name":")" + name + R"(","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("safe", "safe", "s", 300) + "," + route("other", "unsafe", otherService, 4'000)
        + "," + route("other-stream", "stream", otherService, 4'000) + R"(],"services":[)" + service("s") + "," + service(otherService)
        + R"(],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
          R"("tenants":[{"name":"t","apiKeys":[)"
        + keys + "]}]}";
}

inline std::string endpointEntry(std::uint16_t port, const std::string &service = "s", unsigned slots = 8)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"dc-a","version":"v1","slots":)"
        + std::to_string(slots) + R"(,"state":"ready","coldLeftMs":0,"seq":1,"born":1})";
}

/// A router process on the users' platform, whose store and endpoint are in this process.
class PlatformRouterTest : public testing::Test
{
protected:
    PlatformRouterTest()
    {
        callerPort_ = ports_.reserve("127.0.0.1");
        readinessPort_ = ports_.reserve("127.0.0.1");
        std::ofstream(settingsFile_) << R"({"nodeName":"router-0","zone":"dc-a","listen":{"front":"127.0.0.1:)" << callerPort_ << R"(","ready":"127.0.0.1:)"
                                     << readinessPort_ << R"("},"limits":{"memoryMb":)" << memoryLimitMb << R"(},"bounds":{"graceS":)"
                                     << terminationGrace.count() << R"(,"strictRevoke":true,"revokeMs":)" << revocationLimit.count()
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

    [[nodiscard]] Call makeCall(std::string_view key, const std::string &id, const std::string &target = "/safe/x") const
    {
        return {.port = callerPort_,
            .target = target,
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
    std::uint16_t readinessPort_ = 0;
    std::string settingsFile_ = (std::filesystem::temp_directory_path() / ("mulberrywall-node-" + std::to_string(::getpid()) + ".json")).string();
    std::unique_ptr<ChildProcess> router_;
    std::atomic<unsigned> requests_ {0};
    unsigned configurationVersion_ = 0;
};

} // namespace mulberrywall::platform
