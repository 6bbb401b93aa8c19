#include "RouterPair.h"

#include "Harness/Deployment.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <stdlib.h>
#include <unistd.h>

namespace mulberrywall::withdrawnkeys
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

/// Long and few enough that requests wait for a slot.
constexpr milliseconds workTime {15};
constexpr unsigned slots = 2;

json::object makeRoute(std::string_view name, std::string_view type, RouteAccess access)
{
    return {{"name", name},
        {"host", "h"},
        {"prefix", "/" + std::string(name) + "/"},
        {"type", type},
        {"timeoutMs", 4'000},
        {"sloMs", 2'000},
        {"priority", 1},
        {"service", "s"},
        {"attempts", 2},
        {"public", access == RouteAccess::Public}};
}

std::string makeDocument(unsigned version, const std::optional<Organisations> &organisations)
{
    json::object document {{"version", version},
        {"routes",
            json::array {makeRoute("safe", "safe", RouteAccess::NeedsKey),
                makeRoute("unsafe", "unsafe", RouteAccess::NeedsKey),
                makeRoute("public", "safe", RouteAccess::Public)}},
        {"services", json::array {json::object {{"name", "s"}, {"healthPath", "/healthz"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
        {"limits", json::object {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    if (organisations) {
        json::array tenants;
        for (const auto &[name, keys] : *organisations) {
            tenants.push_back(json::object {{"name", name}, {"apiKeys", json::array(keys.begin(), keys.end())}});
        }
        document["tenants"] = std::move(tenants);
    }
    return json::serialize(document);
}

std::filesystem::path makeDirectory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "mulberrywall-keys-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    return pattern;
}

/// Returns a loopback address of this process alone, since all instances share the port for peers.
std::string makeAddress(std::size_t router)
{
    constexpr std::size_t addressesPerByte = 250;
    constexpr std::size_t firstNetwork = 50;
    const std::size_t number = static_cast<std::size_t>(::getpid()) * routerCount + router;
    const std::size_t network = firstNetwork + number / addressesPerByte / addressesPerByte;
    return "127." + std::to_string(network) + "." + std::to_string(number / addressesPerByte % addressesPerByte) + "."
        + std::to_string(1 + number % addressesPerByte);
}

} // namespace

RouterPair::RouterPair(RouterPairOptions options)
    : options_(std::move(options)),
      directory_(makeDirectory())
{
    store_.write("mulberrywall", "peer-secret", "secret of this test");
    store_.write("servers",
        "endpoint-0",
        json::serialize(json::object {{"service", "s"},
            {"address", "127.0.0.1:" + std::to_string(endpoint_.port())},
            {"zone", "dc-a"},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"seq", 1},
            {"born", 1}}));
    write(Organisations {{"first", {"key-0", "key-1"}}, {"second", {"key-2"}}});
    peerPort_ = ports_.reserve(makeAddress(0));
    for (std::size_t index = 0; index < routerCount; ++index) {
        Router &router = routers_.at(index);
        const std::string ip = makeAddress(index);
        router.address = {.ip = ip, .port = ports_.reserve(ip)};
        router.readinessPort = ports_.reserve(ip);
        router.settingsFile = directory_ / ("router-" + std::to_string(index) + ".json");
        router.store = std::make_unique<platform::ScriptedStore>(workers_, store_, options_.rewriteDocument);
        writeSettings(router);
        start(router);
    }
}

RouterPair::~RouterPair()
{
    for (Router &router : routers_) {
        router.process.reset();
    }
    std::filesystem::remove_all(directory_);
    workers_.stop();
    workers_.join();
}

void RouterPair::writeSettings(const Router &router) const
{
    // Only a router that is its own seed would insert the secret, for which this store has no call.
    json::array seeds;
    for (std::size_t index = 0; index < routerCount; ++index) {
        if (makeAddress(index) != router.address.ip) {
            seeds.emplace_back(makeAddress(index) + ":" + std::to_string(peerPort_));
        }
    }
    json::object bounds {{"graceS", 2}, {"configApplyMs", 1'000}, {"drainMs", 1'000}};
    if (options_.limit == RevocationLimit::Strict) {
        bounds["strictRevoke"] = true;
        bounds["revokeMs"] = revocationLimit.count();
    }
    const json::object settings {{"nodeName", router.address.ip},
        {"zone", "dc-a"},
        {"listen",
            json::object {{"front", router.address.ip + ":" + std::to_string(router.address.port)},
                {"ready", router.address.ip + ":" + std::to_string(router.readinessPort)}}},
        {"portRange", json::array {peerPort_, peerPort_ + 1}},
        {"seeds", std::move(seeds)},
        {"bounds", std::move(bounds)},
        {"platform", json::object {{"address", "127.0.0.1:" + std::to_string(router.store->port())}}},
        {"settingsVersion", settingsVersion_}};
    std::ofstream(router.settingsFile) << json::serialize(settings);
}

void RouterPair::start(Router &router)
{
    router.process = std::make_unique<harness::ChildProcess>(
        harness::ChildOptions {.name = router.address.ip, .binary = harness::routerBinary(), .environment = {{"MULBERRYWALL_NODE_FILE", router.settingsFile}}});
    router.process->waitForPort("caller");
}

void RouterPair::run(const http::ServerExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    {
        const std::scoped_lock lock(mutex_);
        history_.runs.push_back({.id = std::string(http::fieldValue(request, "Mulberrywall-Request-Id")),
            .organisation = std::string(http::fieldValue(request, "Mulberrywall-Tenant")),
            .hasKey = !http::fieldValue(request, "Authorization").empty(),
            .at = Clock::now()});
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(exchange->executor(), workTime);
    timer->async_wait([timer, exchange](const boost::system::error_code &error) {
        if (!error) {
            platform::answer(exchange, http::Status::ok, "served");
        }
    });
}

void RouterPair::write(std::optional<Organisations> organisations)
{
    const std::string document = makeDocument(++configurationVersion_, organisations);
    const std::scoped_lock lock(mutex_);
    const auto writtenAt = Clock::now();
    store_.write("op", "config", document);
    recordVersion(history_, std::move(organisations), writtenAt, Clock::now());
}

const std::optional<Organisations> &RouterPair::newest() const
{
    return history_.versions.back().organisations;
}

const RouterAddress &RouterPair::address(std::size_t router) const
{
    return routers_.at(router).address;
}

platform::ScriptedStore &RouterPair::storeOf(std::size_t router)
{
    return *routers_.at(router).store;
}

void RouterPair::sendSignal(std::size_t router, int number)
{
    routers_.at(router).process->sendSignal(number);
}

void RouterPair::restart(std::size_t router, int number)
{
    Router &stopped = routers_.at(router);
    stopped.process->sendSignal(number);
    stopped.process->waitForEnd();
    start(stopped);
}

void RouterPair::reloadSettings(std::size_t router)
{
    ++settingsVersion_;
    writeSettings(routers_.at(router));
    sendSignal(router, SIGHUP);
}

KeyHistory RouterPair::history() const
{
    const std::scoped_lock lock(mutex_);
    return history_;
}

} // namespace mulberrywall::withdrawnkeys
