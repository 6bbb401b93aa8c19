#include "FaultProxy/Route.h"

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <map>
#include <stdexcept>
#include <string>

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace mulberrywall;
using http::ServerExchangePtr;
using http::Status;
using standin::Direction;
using standin::Faults;

template <typename Array, typename Value>
void setForDirection(Array &array, Direction direction, Value value)
{
    array[static_cast<std::size_t>(direction)] = value;
}

/// Returns the faults that a JSON object specifies; a missing member means that this fault is off.
/// Throws if a member is unknown or has the wrong type.
Faults readFaults(const json::object &body)
{
    Faults faults;
    for (const auto &[name, value] : body) {
        if (name == "delayMs") {
            faults.delay = std::chrono::milliseconds(value.to_number<std::int64_t>());
        } else if (name == "dropShare") {
            faults.dropShare = value.to_number<double>();
        } else if (name == "cut") {
            faults.cut = value.as_bool();
        } else if (name == "swallowToTarget") {
            setForDirection(faults.discard, Direction::ToTarget, value.as_bool());
        } else if (name == "swallowToClient") {
            setForDirection(faults.discard, Direction::ToClient, value.as_bool());
        } else if (name == "resetAfterBytesToTarget") {
            setForDirection(faults.resetAfterBytes, Direction::ToTarget, value.to_number<std::uint64_t>());
        } else if (name == "resetAfterBytesToClient") {
            setForDirection(faults.resetAfterBytes, Direction::ToClient, value.to_number<std::uint64_t>());
        } else if (name == "resetConnections") {
            faults.resetConnections = value.to_number<std::uint64_t>();
        } else if (name == "pauseAccept") {
            faults.pauseAccept = value.as_bool();
        } else {
            throw std::invalid_argument("unknown fault " + std::string(name));
        }
    }
    return faults;
}

/// Serves the control interface: PUT /routes/<name> creates a route, POST /routes/<name>/faults
/// replaces its faults, and GET /counts returns the counters of all routes.
class ControlHandler
{
public:
    ControlHandler(asio::io_context &context, std::uint64_t seed)
        : context_(context),
          seed_(seed)
    {
    }

    void handle(const ServerExchangePtr &exchange)
    {
        try {
            exchange->respond(http::makeJsonResponse(Status::ok, json::serialize(handleRequest(exchange->request()))));
        } catch (const std::exception &error) {
            exchange->respond(http::makeProblemResponse({.status = Status::bad_request, .title = "bad control", .detail = error.what()}));
        }
    }

private:
    json::object handleRequest(const http::Request &request)
    {
        constexpr std::string_view routesPath = "/routes/";
        constexpr std::string_view faultsPath = "/faults";
        const std::string_view target(request.target().data(), request.target().size());
        if (target == "/counts") {
            return counts();
        }
        if (!target.starts_with(routesPath)) {
            throw std::invalid_argument("no such page");
        }
        std::string name(target.substr(routesPath.size()));
        const json::object body = json::parse(request.body()).as_object();
        if (!name.ends_with(faultsPath)) {
            return addRoute(name, body);
        }
        name.resize(name.size() - faultsPath.size());
        json::object faults = body;
        const bool appliesToAllSources = faults.erase("source") == 0;
        if (appliesToAllSources) {
            routes_.at(name)->setFaults(readFaults(faults));
        } else {
            routes_.at(name)->setFaults(asio::ip::make_address(std::string(body.at("source").as_string())), readFaults(faults));
        }
        return {};
    }

    /// Creates a route and returns its port. The body is {"target": port, "targetAddress": loopback
    /// address, "port": port or 0, "protocol": "tcp" or "udp"}.
    json::object addRoute(const std::string &name, const json::object &body)
    {
        const auto target = body.at("target").to_number<std::uint16_t>();
        const auto port = body.contains("port") ? body.at("port").to_number<std::uint16_t>() : std::uint16_t {0};
        const asio::ip::address loopback = asio::ip::address_v4::loopback();
        const asio::ip::address targetAddress
            = body.contains("targetAddress") ? asio::ip::make_address(std::string(body.at("targetAddress").as_string())) : loopback;
        const bool datagrams = body.contains("protocol") && body.at("protocol") == "udp";
        routes_[name] = datagrams ? standin::makeDatagramRoute(context_, port, {targetAddress, target}, seed_ + routes_.size())
                                  : standin::makeStreamRoute(context_, port, {targetAddress, target});
        return {{"port", routes_[name]->port()}};
    }

    json::object counts() const
    {
        json::object result;
        for (const auto &[name, route] : routes_) {
            const standin::RouteCounts &counts = route->counts();
            result[name] = json::object {{"connections", counts.connections},
                {"resets", counts.resets},
                {"datagrams", counts.datagrams},
                {"datagramsLost", counts.datagramsLost},
                {"bytesToTarget", counts.bytes[0]},
                {"bytesToClient", counts.bytes[1]}};
        }
        return result;
    }

    asio::io_context &context_;
    std::uint64_t seed_;
    std::map<std::string, std::shared_ptr<standin::Route>> routes_;
};

int run(std::uint16_t port, std::uint64_t seed)
{
    support::initializeLog({.processName = "fault-proxy"});
    asio::io_context context(1);
    ControlHandler control(context, seed);
    const auto server = http::Server::create(
        context, {.listen = {asio::ip::address_v4::loopback(), port}}, [&control](const ServerExchangePtr &exchange) { control.handle(exchange); });
    server->start();
    support::log(support::Severity::Info, "listening", {{"port", server->localEndpoint().port()}});
    support::onTerminationSignal(context, [&context] { context.stop(); });
    context.run();
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    std::uint16_t port = 0;
    std::uint64_t seed = 1;
    bool checkSettings = false;
    CLI::App app("forwarder that injects network faults for tests", "fault-proxy");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--port", port, "control port on the loopback address; 0 lets the system choose")->capture_default_str();
    app.add_option("--seed", seed, "seed of the random generator that selects the dropped datagrams")->capture_default_str();
    return support::parseAndRun(app, argc, argv, checkSettings, [&] { return run(port, seed); });
}
