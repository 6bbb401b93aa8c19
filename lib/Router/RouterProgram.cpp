#include "mulberrywall/Router/RouterProgram.h"

#include "mulberrywall/Configuration/Reader.h"
#include "mulberrywall/Router/RouterService.h"
#include "mulberrywall/Support/Address.h"
#include "mulberrywall/Support/BuildInfo.h"
#include "mulberrywall/Support/Error.h"
#include "mulberrywall/Support/Heap.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/system/system_error.hpp>

#include <future>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::router
{

namespace
{

/// Default response timeout in stall timeouts. It is longer than that of a stream, because an endpoint
/// sends no data before a response that is not streamed is complete.
constexpr int responseStallFactor = 4;

constexpr std::size_t bytesPerMegabyte = 1'000'000;

struct RouterSettings
{
    std::string programName;
    std::string instance;
    std::string base;
    std::string overlay;
    std::string callerListen = "127.0.0.1:8080";
    std::string adminListen = "127.0.0.1:9080";
    std::string operatorKey;
    std::string platform;
    std::string dataCentre;
    std::string peerListen;
    std::string membershipListen;
    std::string peerAdvertise;
    std::string membershipAdvertise;
    std::string peerSecret;
    std::vector<std::string> seeds;
    unsigned drainGraceMs = 0;
    unsigned drainLimitMs = 0;
    std::size_t maxConnections = 4096;
    std::size_t memoryMb = 0;
    std::size_t maxFds = 0;
    unsigned workers = 4;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    unsigned readTimeoutMs = 30'000;
    unsigned stallTimeoutMs = 30'000;
    unsigned responseTimeoutMs = 0;
};

/// Parses an address and port. The text must have passed the checks of the settings.
boost::asio::ip::tcp::endpoint toTcpEndpoint(const std::string &text)
{
    return support::parseAddress(text, support::AddressUse::Listen).value();
}

boost::asio::ip::udp::endpoint toUdpEndpoint(const std::string &text)
{
    const boost::asio::ip::tcp::endpoint endpoint = toTcpEndpoint(text);
    return {endpoint.address(), endpoint.port()};
}

std::string checkOptionalListenAddress(const std::string &text)
{
    return text.empty() ? std::string() : support::checkListenAddress(text);
}

std::string checkOptionalAddress(const std::string &text)
{
    return text.empty() ? std::string() : support::checkAddress(text);
}

void addSettings(CLI::App &app, RouterSettings &settings)
{
    support::addSetting(app, "--instance", settings.instance, "name of this instance")->required();
    support::addSetting(app, "--data-centre", settings.dataCentre, "data centre of this instance; may be left out with --overlay");
    support::addSetting(app, "--base", settings.base, "base file of a local start configuration")->check(CLI::ExistingFile);
    support::addSetting(app, "--overlay", settings.overlay, "overlay of a local start configuration")->check(CLI::ExistingFile);
    support::addSetting(app, "--peer-listen", settings.peerListen, "TCP address and port for other routers; empty means no other routers")
        ->check(checkOptionalListenAddress);
    support::addSetting(app, "--membership-listen", settings.membershipListen, "UDP address and port for other routers")->check(checkOptionalListenAddress);
    support::addSetting(app, "--peer-advertise", settings.peerAdvertise, "TCP address that other routers connect to; empty means the listen address")
        ->check(checkOptionalAddress);
    support::addSetting(app, "--membership-advertise", settings.membershipAdvertise, "UDP address that other routers send to; empty means the listen address")
        ->check(checkOptionalAddress);
    support::addSetting(app, "--peer-secret", settings.peerSecret, "secret that all routers share; prefer the environment variable");
    support::addSetting(app, "--seeds", settings.seeds, "membership addresses of some other routers")->delimiter(',')->check(support::checkAddress);
    support::addSetting(app, "--caller-listen", settings.callerListen, "address and port for callers")->check(support::checkListenAddress);
    support::addSetting(app, "--admin-listen", settings.adminListen, "address and port for operators")->check(support::checkListenAddress);
    support::addSetting(app, "--platform", settings.platform, "address and port of the platform; empty means none")->check(checkOptionalAddress);
    support::addSetting(app, "--drain-grace-ms", settings.drainGraceMs, "time at shutdown before the listener closes, in ms")->check(CLI::Range(0, 3'600'000));
    support::addSetting(app, "--drain-limit-ms", settings.drainLimitMs, "longest time that running requests get at shutdown, in ms; 0 means no limit")
        ->check(CLI::Range(0, 86'400'000));
    support::addSetting(app, "--max-connections", settings.maxConnections, "open connections of callers")->check(CLI::Range(1, 1'000'000));
    support::addSetting(app, "--memory-mb", settings.memoryMb, "memory of the process, from which its bounds are derived, in MB; 0 means no bounds")
        ->check(CLI::Range(0, 1'000'000));
    support::addSetting(app, "--max-fds", settings.maxFds, "descriptors of the process, from which --max-connections is lowered; 0 means no such limit")
        ->check(CLI::Range(0, 1'000'000));
    support::addSetting(app, "--operator-key", settings.operatorKey, "key for the admin listener; if empty, the listener accepts every request");
    support::addSetting(app, "--workers", settings.workers, "worker threads")->check(CLI::Range(1, 64));
    support::addSetting(app, "--max-body-bytes", settings.maxBodyBytes, "largest request body")->check(CLI::PositiveNumber);
    support::addSetting(app, "--read-timeout-ms", settings.readTimeoutMs, "time a caller has to send a request, in ms")->check(CLI::PositiveNumber);
    support::addSetting(app, "--stall-timeout-ms", settings.stallTimeoutMs, "longest silence of an endpoint, in ms")->check(CLI::PositiveNumber);
    support::addSetting(app,
        "--response-timeout-ms",
        settings.responseTimeoutMs,
        "longest wait for a response that is not streamed, in ms; 0 means four times the stall timeout");
}

std::optional<configuration::SiteConfiguration> readConfiguration(const RouterSettings &settings)
{
    return support::leaf::try_handle_all(
        [&]() -> support::Result<std::optional<configuration::SiteConfiguration>> {
            BOOST_LEAF_AUTO(site, configuration::readSite(settings.base, settings.overlay));
            return std::optional(std::move(site));
        },
        [&settings](const support::ErrorMessage &message, const support::ErrorLocation *location) -> std::optional<configuration::SiteConfiguration> {
            const std::string prefix = location == nullptr ? "" : location->file + ":" + std::to_string(location->line) + ": ";
            std::cerr << settings.programName << ": " << prefix << message.text << '\n';
            return std::nullopt;
        },
        [&settings]() -> std::optional<configuration::SiteConfiguration> {
            std::cerr << settings.programName << ": the configuration could not be read\n";
            return std::nullopt;
        });
}

std::optional<PermitPeerGroupOptions> makePeerOptions(const RouterSettings &settings)
{
    if (settings.peerListen.empty()) {
        return std::nullopt;
    }
    PermitPeerGroupOptions peers;
    peers.instance = support::InstanceId(settings.instance);
    peers.dataCentre = support::DataCentreId(settings.dataCentre);
    peers.peerListen = toTcpEndpoint(settings.peerListen);
    peers.membershipListen = toUdpEndpoint(settings.membershipListen);
    if (!settings.peerAdvertise.empty()) {
        peers.peerAdvertise = toTcpEndpoint(settings.peerAdvertise);
    }
    if (!settings.membershipAdvertise.empty()) {
        peers.membershipAdvertise = toUdpEndpoint(settings.membershipAdvertise);
    }
    peers.secret = settings.peerSecret;
    for (const std::string &seed : settings.seeds) {
        peers.seeds.push_back(toUdpEndpoint(seed));
    }
    return peers;
}

/// Returns an error message if the combination of settings is invalid, or an empty string.
std::string checkCombination(const RouterSettings &settings)
{
    if (!settings.peerListen.empty() && settings.membershipListen.empty()) {
        return "--peer-listen needs --membership-listen; add it";
    }
    if (!settings.peerListen.empty() && settings.peerSecret.empty()) {
        return "--peer-listen needs a secret; set MULBERRYWALL_PEER_SECRET";
    }
    if (settings.peerListen.empty() && !(settings.peerAdvertise.empty() && settings.membershipAdvertise.empty())) {
        return "--peer-advertise and --membership-advertise need --peer-listen; add it";
    }
    if (settings.base.empty() != settings.overlay.empty()) {
        return "--base and --overlay belong together; give both or neither";
    }
    if (settings.overlay.empty() && (settings.dataCentre.empty() || (settings.platform.empty() && settings.peerListen.empty()))) {
        return "there is no source of a configuration; give --data-centre with --platform or --peer-listen, or --base with --overlay";
    }
    return {};
}

/// Removes peers and platform from the options of a standalone router, whatever its settings are.
void disableCooperation(RouterServiceOptions &options)
{
    options.peers.reset();
    options.platform.reset();
}

RouterServiceOptions makeOptions(const RouterSettings &settings, const RouterProgram &program)
{
    RouterServiceOptions options;
    options.instance = support::InstanceId(settings.instance);
    options.dataCentre = support::DataCentreId(settings.dataCentre);
    options.peers = makePeerOptions(settings);
    options.callerServer.listen = toTcpEndpoint(settings.callerListen);
    const std::chrono::milliseconds readTimeout(settings.readTimeoutMs);
    options.callerServer.limits = {.maxBodyBytes = settings.maxBodyBytes, .idleTimeout = readTimeout, .headerTimeout = readTimeout, .bodyTimeout = readTimeout};
    options.callerServer.maxConnections = settings.maxConnections;
    options.callerServer.maxExcessConnections = settings.maxConnections;
    applyResourceLimits(options, deriveResourceLimits(settings.memoryMb * bytesPerMegabyte, settings.maxFds));
    options.drainGrace = std::chrono::milliseconds(settings.drainGraceMs);
    options.drainLimit = std::chrono::milliseconds(settings.drainLimitMs);
    options.adminServer.listen = toTcpEndpoint(settings.adminListen);
    options.operatorKey = settings.operatorKey;
    if (!settings.platform.empty()) {
        options.platform = backingservices::BackingServiceOptions {.address = toTcpEndpoint(settings.platform)};
    }
    options.router.stallTimeout = std::chrono::milliseconds(settings.stallTimeoutMs);
    options.router.responseTimeout
        = settings.responseTimeoutMs == 0 ? options.router.stallTimeout * responseStallFactor : std::chrono::milliseconds(settings.responseTimeoutMs);
    options.router.decideNextStep = program.decideNextStep;
    if (program.cooperation == Cooperation::Standalone) {
        disableCooperation(options);
    }
    return options;
}

/// Checks the settings and reads the local configuration files, if there are any. Sets the data centre
/// to that of the overlay.
support::ExitCode loadLocalConfiguration(RouterSettings &settings, std::optional<configuration::SiteConfiguration> &site)
{
    const std::string problem = checkCombination(settings);
    if (!problem.empty()) {
        std::cerr << settings.programName << ": " << problem << '\n';
        return support::ExitCode::InvalidSettings;
    }
    if (settings.overlay.empty()) {
        return support::ExitCode::Success;
    }
    site = readConfiguration(settings);
    if (!site) {
        return support::ExitCode::InvalidConfiguration;
    }
    if (!settings.dataCentre.empty() && settings.dataCentre != site->dataCentre.value()) {
        std::cerr << settings.programName << ": --data-centre is '" << settings.dataCentre << "' but the overlay is for '" << site->dataCentre
                  << "'; correct one of them\n";
        return support::ExitCode::InvalidSettings;
    }
    settings.dataCentre = site->dataCentre.value();
    return support::ExitCode::Success;
}

int serve(const RouterSettings &settings, const RouterProgram &program, std::optional<configuration::SiteConfiguration> site)
{
    support::returnFreedMemory();
    support::initializeLog({.processName = settings.programName, .instance = settings.instance});
    support::logBuild();
    support::WorkerPool workers(settings.workers);
    std::promise<void> drained;
    try {
        RouterService service(workers.context(), makeOptions(settings, program), program.policy);
        if (site) {
            service.configure(std::move(*site));
        }
        support::onTerminationSignal(workers.context(), [&service, &drained] { service.drain([&drained] { drained.set_value(); }); });
        service.start();
        drained.get_future().wait();
        workers.stop();
        workers.join();
    } catch (const boost::system::system_error &error) {
        support::log(support::Severity::Error, "could not start; check the listen addresses", {{"reason", error.what()}});
        return support::toInt(support::ExitCode::Failure);
    }
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int runRouterProgram(const RouterProgram &program, int argc, char **argv)
{
    CLI::App app(program.description, program.name);
    RouterSettings settings {.programName = program.name};
    bool checkSettings = false;
    addSettings(app, settings);
    support::addCommonFlags(app, checkSettings);
    std::optional<configuration::SiteConfiguration> site;
    return support::parseAndRun(app,
        argc,
        argv,
        checkSettings,
        {.check = [&] { return loadLocalConfiguration(settings, site); },
            .run =
                [&] {
                    return serve(settings, program, std::move(site));
                }});
}

} // namespace mulberrywall::router
