#include "RouterUnderTest.h"

#include "PlatformRouterFixture.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace mulberrywall::untrusted
{

using harness::Call;

static constexpr std::size_t largeResponseBytes = 6'000'000;
/// With the product's interface the endpoint returns the body of the request.
static constexpr std::size_t returnedBodyBytes = 2'000'000;
static constexpr unsigned endpointSlots = 100;

namespace
{

/// A router that is started with a settings file of the users' platform.
class PlatformSystem final : public RouterUnderTest
{
public:
    PlatformSystem()
    {
        callerPort_ = ports_.reserve("127.0.0.1");
        readinessPort_ = ports_.reserve("127.0.0.1");
        std::ofstream(settingsFile_) << R"({"nodeName":"router-0","zone":"dc-a","listen":{"front":"127.0.0.1:)" << callerPort_ << R"(","ready":"127.0.0.1:)"
                                     << readinessPort_ << R"("},"limits":{"memoryMb":)" << memoryLimitMb << R"(,"maxFds":)" << descriptorLimit
                                     << R"(},"bounds":{"graceS":3},"platform":{"address":"127.0.0.1:)" << store_.port() << "\"}}";
        store_.write("op", "config", platform::documentWithKeys(1, R"("valid-key")"));
        store_.write("servers", "endpoint-0", platform::endpointEntry(endpoint_.port(), "s", endpointSlots));
        store_.write("servers", "endpoint-1", platform::endpointEntry(endpoint_.port(), platform::otherService, endpointSlots));
        router_ = std::make_unique<harness::ChildProcess>(
            harness::ChildOptions {.name = "router-0", .binary = harness::routerBinary(), .environment = {{"MULBERRYWALL_NODE_FILE", settingsFile_}}});
        router_->waitForPort("caller");
        harness::waitUntil("the router serves", [this] { return send(ordinaryCall("first")).status == platform::ok; });
    }

    ~PlatformSystem() override
    {
        router_.reset();
        std::filesystem::remove(settingsFile_);
        workers_.stop();
        workers_.join();
    }

    pid_t pid() override
    {
        return router_->pid();
    }

    bool hasEnded() override
    {
        return router_->hasEnded();
    }

    std::vector<Target> targets() override
    {
        return {{"route", callerPort_, headOf("/safe/x")},
            {"path without a route", callerPort_, headOf("/nowhere/x")},
            {"readiness path", readinessPort_, "POST /readyz HTTP/1.1\r\nHost: h\r\n"}};
    }

    Target largeResponse() override
    {
        return {"route", callerPort_, headOf("/other/large") + "Content-Length: 0\r\n\r\n"};
    }

    Call ordinaryCall(std::string body) override
    {
        return {.port = callerPort_,
            .target = "/safe/x",
            .body = std::move(body),
            .headers = {{"Host", "h"}, {"Mulberrywall-Request-Id", "ordinary-" + std::to_string(++requests_)}, {"Authorization", "Bearer valid-key"}}};
    }

private:
    static std::string headOf(const std::string &target)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\nMulberrywall-Request-Id: untrusted-{n}\r\nAuthorization: Bearer valid-key\r\n";
    }

    support::WorkerPool workers_ {2};
    platform::ScriptedStore store_ {workers_};
    platform::ScriptedEndpoint endpoint_ {workers_, [](const http::ServerExchangePtr &exchange) {
                                              const bool isLarge = exchange->request().target() == "/other/large";
                                              platform::answer(exchange, http::Status::ok, isLarge ? std::string(largeResponseBytes, 'x') : "served");
                                          }};
    harness::PortReservation ports_;
    std::uint16_t callerPort_ = 0;
    std::uint16_t readinessPort_ = 0;
    std::string settingsFile_ = (std::filesystem::temp_directory_path() / ("mulberrywall-untrusted-" + std::to_string(::getpid()) + ".json")).string();
    std::unique_ptr<harness::ChildProcess> router_;
    unsigned requests_ = 0;
};

/// Sets an environment variable for the processes that are started while the object exists.
class EnvironmentVariable
{
public:
    EnvironmentVariable(const char *name, std::size_t value)
        : name_(name)
    {
        ::setenv(name, std::to_string(value).c_str(), 1);
    }
    EnvironmentVariable(const EnvironmentVariable &) = delete;
    EnvironmentVariable &operator=(const EnvironmentVariable &) = delete;
    EnvironmentVariable(EnvironmentVariable &&) = delete;
    EnvironmentVariable &operator=(EnvironmentVariable &&) = delete;
    ~EnvironmentVariable()
    {
        ::unsetenv(name_);
    }

private:
    const char *name_;
};

/// A router that is started with flags and configuration files of its own.
class ProductSystem final : public RouterUnderTest
{
public:
    pid_t pid() override
    {
        return deployment_.router(0).process->pid();
    }

    bool hasEnded() override
    {
        return deployment_.router(0).process->hasEnded();
    }

    std::vector<Target> targets() override
    {
        const std::uint16_t port = deployment_.router(0).port;
        return {{"route", port, headOf("/services/ledger/x")},
            {"path without a route", port, headOf("/nowhere/x")},
            {"readiness path", deployment_.router(0).adminPort, "POST /readyz HTTP/1.1\r\nHost: h\r\n"}};
    }

    Target largeResponse() override
    {
        return {"route",
            deployment_.router(0).port,
            headOf("/services/ledger/x") + "Content-Length: " + std::to_string(returnedBodyBytes) + "\r\n\r\n" + std::string(returnedBodyBytes, 'x')};
    }

    Call ordinaryCall(std::string body) override
    {
        return deployment_.serviceCall(0, "lookup", body);
    }

private:
    static std::string headOf(const std::string &target)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\nMulberrywall-Class: lookup\r\nAuthorization: Bearer " + std::string(harness::acmeKey) + "\r\n";
    }

    EnvironmentVariable memoryMb_ {"MULBERRYWALL_MEMORY_MB", memoryLimitMb};
    EnvironmentVariable maxFds_ {"MULBERRYWALL_MAX_FDS", descriptorLimit};
    harness::Deployment deployment_ {{.engines = 0, .services = 1, .maximumConcurrency = endpointSlots}};
};

} // namespace

std::unique_ptr<RouterUnderTest> RouterUnderTest::start(Interface interface)
{
    if (interface == Interface::Platform) {
        return std::make_unique<PlatformSystem>();
    }
    return std::make_unique<ProductSystem>();
}

std::size_t RouterUnderTest::peakMemory()
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(pid()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * bytesPerKilobyte;
        }
    }
    ADD_FAILURE() << "no peak of the resident memory";
    return 0;
}

std::size_t RouterUnderTest::openDescriptors()
{
    std::error_code error;
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

} // namespace mulberrywall::untrusted
