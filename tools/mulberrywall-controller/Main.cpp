#include "mulberrywall/Orders/Controller.h"

#include "mulberrywall/Support/Address.h"
#include "mulberrywall/Support/BuildInfo.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <iostream>
#include <string>

using namespace mulberrywall;

namespace
{

/// Command-line settings of the controller. Durations are in milliseconds.
struct ControllerSettings
{
    std::string platform;
    std::string dataCentre;
    std::string instance;
    std::string orderKey;
    unsigned leaseMs = 10'000;
    unsigned renewMs = 3'000;
    unsigned marginMs = 2'000;
    unsigned orderTimeToLiveMs = 2'000;
    unsigned leasePollMs = 500;
    unsigned engineIntervalMs = 1'000;
    unsigned engineTimeoutMs = 500;
    unsigned headIntervalMs = 1'000;
    unsigned maxLoads = 1;
};

/// Throws CLI::ValidationError if the lease is too short for its renewal interval and margin, or if connecting to an
/// engine and waiting for its response can together take longer than the margin.
void checkLeaseTimes(const ControllerSettings &settings)
{
    if (settings.renewMs + settings.marginMs >= settings.leaseMs) {
        throw CLI::ValidationError("--lease-ms", std::to_string(settings.leaseMs) + " must be larger than --renew-ms plus --margin-ms; raise it or lower them");
    }
    if (2 * settings.engineTimeoutMs > settings.marginMs) {
        throw CLI::ValidationError(
            "--engine-timeout-ms", std::to_string(settings.engineTimeoutMs) + " must be at most half of --margin-ms; lower it or raise the margin");
    }
}

int run(const ControllerSettings &settings)
{
    using std::chrono::milliseconds;
    support::initializeLog({.processName = "mulberrywall-controller", .instance = settings.instance});
    boost::asio::io_context context(1);
    const auto controller = orders::Controller::create(context,
        {
            .platform = {.address = support::parseAddress(settings.platform, support::AddressUse::Connect).value()},
            .dataCentre = support::DataCentreId(settings.dataCentre),
            .instance = support::InstanceId(settings.instance),
            .orderKey = settings.orderKey,
            .lease =
                {
                    .duration = milliseconds(settings.leaseMs),
                    .renewInterval = milliseconds(settings.renewMs),
                    .margin = milliseconds(settings.marginMs),
                    .orderTimeToLive = milliseconds(settings.orderTimeToLiveMs),
                    .pollInterval = milliseconds(settings.leasePollMs),
                },
            .plan = {.maxLoads = settings.maxLoads},
            .headInterval = milliseconds(settings.headIntervalMs),
            .engineInterval = milliseconds(settings.engineIntervalMs),
            .engineTimeout = milliseconds(settings.engineTimeoutMs),
        });
    support::onTerminationSignal(context, [&context, controller] { controller->stop([&context] { context.stop(); }); });
    support::log(support::Severity::Info, "started", {{"dataCentre", settings.dataCentre}, {"platform", settings.platform}});
    controller->start();
    context.run();
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    support::setSourceHash(support::sourceHash);
    ControllerSettings settings;
    bool checkSettings = false;
    const CLI::Range milliseconds(1, 600'000);
    CLI::App app("Sends engine orders for a data centre while it holds the data centre's lease", "mulberrywall-controller");
    support::addSetting(app, "--platform", settings.platform, "IP address and port of the platform")
        ->check([](const std::string &text) { return support::checkAddress(text); })
        ->required();
    support::addSetting(app, "--data-centre", settings.dataCentre, "data centre of this instance")->required();
    support::addSetting(app, "--instance", settings.instance, "name of this instance, written to the lease row and to logs")->required();
    support::addSetting(app, "--order-key", settings.orderKey, "bearer key sent to engines that authenticate orders");
    support::addSetting(app, "--lease-ms", settings.leaseMs, "duration of the lease in milliseconds")->check(milliseconds);
    support::addSetting(app, "--renew-ms", settings.renewMs, "milliseconds between two renewals of the lease")->check(milliseconds);
    support::addSetting(app, "--margin-ms", settings.marginMs, "remaining lease time in milliseconds below which no orders are sent")->check(milliseconds);
    support::addSetting(app, "--order-ttl-ms", settings.orderTimeToLiveMs, "milliseconds after which an engine ignores an order")->check(milliseconds);
    support::addSetting(app, "--lease-poll-ms", settings.leasePollMs, "milliseconds between two reads of the lease while another instance holds it")
        ->check(milliseconds);
    support::addSetting(app, "--engine-interval-ms", settings.engineIntervalMs, "milliseconds between two rounds of engine reports and orders")
        ->check(milliseconds);
    support::addSetting(app, "--engine-timeout-ms", settings.engineTimeoutMs, "timeout in milliseconds for connecting to an engine, and again for its response")
        ->check(milliseconds);
    support::addSetting(app, "--head-interval-ms", settings.headIntervalMs, "milliseconds between two reads of the current configuration revision")
        ->check(milliseconds);
    support::addSetting(app, "--max-loads", settings.maxLoads, "maximum number of engines in the data centre that load a model at the same time")
        ->check(CLI::Range(1, 1'000));
    support::addCommonFlags(app, checkSettings);
    app.final_callback([&settings] { checkLeaseTimes(settings); });
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return run(settings); });
}
