#include "PlatformStandin.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/address.hpp>

#include <exception>
#include <string>

using namespace mulberrywall;

namespace
{

struct PlatformSettings
{
    std::string listenAddress = "127.0.0.1";
    std::uint16_t listenPort = 0;
    unsigned writesPerSecond = 400;
    unsigned readsPerSecond = 2'000;
    unsigned weightsPerSecond = 2;
    unsigned instanceLagMs = 2'000;
    unsigned latencyMs = 0;
};

int run(const PlatformSettings &settings)
{
    support::initializeLog({.processName = "platform-standin"});
    boost::asio::io_context context(1);
    const auto platform = standin::PlatformStandin::create(context,
        {
            .listen = {boost::asio::ip::make_address(settings.listenAddress), settings.listenPort},
            .writesPerSecond = settings.writesPerSecond,
            .readsPerSecond = settings.readsPerSecond,
            .weightsPerSecond = settings.weightsPerSecond,
            .instanceLag = std::chrono::milliseconds(settings.instanceLagMs),
            .latency = std::chrono::milliseconds(settings.latencyMs),
        });
    support::log(support::Severity::Info, "listening", {{"port", platform->localEndpoint().port()}, {"address", settings.listenAddress}});
    support::onTerminationSignal(context, [&context] { context.stop(); });
    context.run();
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    PlatformSettings settings;
    bool checkSettings = false;
    CLI::App app("platform stand-in for tests: tables, objects, instance list and weights", "platform-standin");
    support::addSetting(app, "--listen-address", settings.listenAddress, "IP address to listen on")->check(CLI::ValidIPV4);
    support::addSetting(app, "--listen-port", settings.listenPort, "port to listen on; 0 lets the system choose");
    support::addSetting(app, "--writes-per-second", settings.writesPerSecond, "maximum number of commits and object writes per second; 0 means no limit");
    support::addSetting(app, "--reads-per-second", settings.readsPerSecond, "maximum number of reads per second; 0 means no limit");
    support::addSetting(app, "--weights-per-second", settings.weightsPerSecond, "maximum number of weight reads per second; 0 means no limit");
    support::addSetting(app, "--instance-lag-ms", settings.instanceLagMs, "delay in milliseconds after which a change of the instance list becomes visible");
    support::addSetting(app, "--latency-ms", settings.latencyMs, "delay of every response in milliseconds");
    support::addCommonFlags(app, checkSettings);
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] {
        try {
            return run(settings);
        } catch (const std::exception &error) {
            support::log(support::Severity::Error, "cannot start; check the listen address and port", {{"reason", error.what()}});
            return support::toInt(support::ExitCode::Failure);
        }
    });
}
