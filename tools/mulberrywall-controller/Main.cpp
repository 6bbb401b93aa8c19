#include "mulberrywall/Orders/Controller.h"

#include "mulberrywall/Support/Address.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <iostream>
#include <string>

using namespace mulberrywall;

namespace
{

/// Settings as the command line has them.
struct Settings
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

/// Throws a CLI11 error when settings contradict each other.
void checkTimes(const Settings &settings)
{
    if (settings.renewMs + settings.marginMs >= settings.leaseMs) {
        throw CLI::ValidationError("--lease-ms", std::to_string(settings.leaseMs) + " must be larger than --renew-ms plus --margin-ms; raise it or lower them");
    }
    if (2 * settings.engineTimeoutMs > settings.marginMs) {
        throw CLI::ValidationError(
            "--engine-timeout-ms", std::to_string(settings.engineTimeoutMs) + " must be at most half of --margin-ms; lower it or raise the margin");
    }
}

int run(const Settings &settings)
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
    Settings settings;
    bool checkSettings = false;
    const CLI::Range milliseconds(1, 600'000);
    CLI::App app("Sends engine orders for a data centre while it holds the data centre's lease", "mulberrywall-controller");
    support::addSetting(app, "--platform", settings.platform, "IP address and port of the platform")
        ->check([](const std::string &text) { return support::checkAddress(text); })
        ->required();
    support::addSetting(app, "--data-centre", settings.dataCentre, "data centre of this instance")->required();
    support::addSetting(app, "--instance", settings.instance, "name of this instance, used in the lease row and in logs")->required();
    support::addSetting(app, "--order-key", settings.orderKey, "bearer key for engines that check the sender of an order");
    support::addSetting(app, "--lease-ms", settings.leaseMs, "duration of the lease in milliseconds")->check(milliseconds);
    support::addSetting(app, "--renew-ms", settings.renewMs, "milliseconds between two renewals")->check(milliseconds);
    support::addSetting(app, "--margin-ms", settings.marginMs, "milliseconds of the lease that must be left to send an order")->check(milliseconds);
    support::addSetting(app, "--order-ttl-ms", settings.orderTimeToLiveMs, "milliseconds after which an engine ignores an order")->check(milliseconds);
    support::addSetting(app, "--lease-poll-ms", settings.leasePollMs, "milliseconds between two reads of another holder's lease")->check(milliseconds);
    support::addSetting(app, "--engine-interval-ms", settings.engineIntervalMs, "milliseconds between two rounds of engine reports and orders")
        ->check(milliseconds);
    support::addSetting(app, "--engine-timeout-ms", settings.engineTimeoutMs, "longest wait in milliseconds to connect to an engine, and for its answer")
        ->check(milliseconds);
    support::addSetting(app, "--head-interval-ms", settings.headIntervalMs, "milliseconds between two reads of the configuration head")->check(milliseconds);
    support::addSetting(app, "--max-loads", settings.maxLoads, "engines of the data centre that may load at the same time")->check(CLI::Range(1, 1'000));
    support::addCommonFlags(app, checkSettings);
    app.final_callback([&settings] { checkTimes(settings); });
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return run(settings); });
}
