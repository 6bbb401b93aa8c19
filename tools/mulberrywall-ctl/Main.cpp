#include "mulberrywall/Control/Commands.h"
#include "mulberrywall/Support/Address.h"
#include "mulberrywall/Support/BuildInfo.h"

#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

using namespace mulberrywall;

namespace
{

/// Command-line settings of all subcommands.
struct CtlSettings
{
    control::ConfigurationFiles files;
    std::string platform;
    std::optional<std::uint64_t> basedOn;
    std::string pushId;
    bool allowSiteRemoval = false;
    std::vector<std::string> routers;
    std::string operatorKey;
    std::optional<std::uint64_t> revision;
    bool wait = false;
    unsigned waitTimeoutMs = 8'000;
    unsigned timeoutMs = 5'000;
    std::string endpoint;
};

const CLI::Validator addressValidator([](std::string &text) { return support::checkAddress(text); }, "IP:PORT");

/// Returns the parsed address. The text must have passed addressValidator.
boost::asio::ip::tcp::endpoint toSocketAddress(const std::string &text)
{
    return support::parseAddress(text, support::AddressUse::Connect).value();
}

control::RouterAdminOptions routerOptions(const CtlSettings &settings)
{
    control::RouterAdminOptions options {.operatorKey = settings.operatorKey};
    for (const std::string &router : settings.routers) {
        options.routers.push_back(toSocketAddress(router));
    }
    return options;
}

void addFileFlags(CLI::App &command, CtlSettings &settings)
{
    support::addSetting(command, "--base", settings.files.basePath, "base configuration file, shared by all sites")->required();
    support::addSetting(command, "--overlay", settings.files.overlayPaths, "overlay file of a site; repeat the flag or separate several files by commas")
        ->delimiter(',')
        ->required();
}

void addPlatformFlag(CLI::App &command, CtlSettings &settings)
{
    support::addSetting(command, "--platform", settings.platform, "IP address and port of the platform")->check(addressValidator)->required();
}

void addRouterFlags(CLI::App &command, CtlSettings &settings)
{
    support::addSetting(
        command, "--router", settings.routers, "IP address and port of a router's admin listener; repeat the flag or separate several by commas")
        ->delimiter(',')
        ->check(addressValidator)
        ->required();
    support::addSetting(command, "--operator-key", settings.operatorKey, "operator key of the routers");
}

/// Runs a subcommand after its flags have been parsed.
using Command = std::function<support::ExitCode(const control::Console &)>;

Command addValidate(CLI::App &app, CtlSettings &settings)
{
    addFileFlags(*app.add_subcommand("validate", "check the configuration files"), settings);
    return [&settings](const control::Console &console) {
        return control::validate(settings.files, console);
    };
}

Command addDiff(CLI::App &app, CtlSettings &settings)
{
    CLI::App &command = *app.add_subcommand("diff", "print the differences between the active revision and the files");
    addFileFlags(command, settings);
    addPlatformFlag(command, settings);
    return [&settings](const control::Console &console) {
        return control::diff({.files = settings.files, .platform = {.address = toSocketAddress(settings.platform)}}, console);
    };
}

Command addApply(CLI::App &app, CtlSettings &settings)
{
    CLI::App &command = *app.add_subcommand("apply", "apply the files as the next revision");
    addFileFlags(command, settings);
    addPlatformFlag(command, settings);
    support::addSetting(command, "--based-on", settings.basedOn, "revision that the files are based on; the default is the active revision");
    support::addSetting(command, "--push-id", settings.pushId, "id of an earlier push whose outcome is unknown and must be resolved");
    command.add_flag("--allow-site-removal", settings.allowSiteRemoval, "accept files that omit a site of the active revision")
        ->envname(support::environmentName("--allow-site-removal"));
    support::addSetting(command, "--timeout-ms", settings.timeoutMs, "time limit in milliseconds to determine the outcome of a commit whose response was lost")
        ->check(CLI::Range(100, 600'000));
    return [&settings](const control::Console &console) {
        return control::apply(
            {
                .files = settings.files,
                .platform = {.address = toSocketAddress(settings.platform)},
                .basedOn = settings.basedOn,
                .pushId = settings.pushId,
                .siteRemoval = settings.allowSiteRemoval ? control::SiteRemoval::Allow : control::SiteRemoval::Reject,
                .timeout = std::chrono::milliseconds(settings.timeoutMs),
            },
            console);
    };
}

Command addStatus(CLI::App &app, CtlSettings &settings)
{
    CLI::App &command = *app.add_subcommand("status", "print the active revision of each router");
    addRouterFlags(command, settings);
    support::addSetting(command, "--platform", settings.platform, "IP address and port of the platform, whose latest revision is expected")
        ->check(addressValidator);
    support::addSetting(command, "--revision", settings.revision, "expected revision, instead of the latest revision of the platform");
    command.add_flag("--wait", settings.wait, "wait until the expected revision is active on all routers")->envname(support::environmentName("--wait"));
    support::addSetting(command, "--wait-timeout-ms", settings.waitTimeoutMs, "maximum wait in milliseconds")->check(CLI::Range(1, 3'600'000));
    return [&settings](const control::Console &console) {
        if (settings.wait && settings.platform.empty() && !settings.revision) {
            console.errors << "mulberrywall-ctl: --wait needs an expected revision; pass --platform or --revision\n";
            return support::ExitCode::InvalidSettings;
        }
        control::StatusOptions options {
            .routers = routerOptions(settings),
            .revision = settings.revision,
            .waiting = settings.wait ? control::StatusWaitMode::UntilActive : control::StatusWaitMode::ReportOnce,
            .waitTimeout = std::chrono::milliseconds(settings.waitTimeoutMs),
        };
        if (!settings.platform.empty()) {
            options.platform = backingservices::BackingServiceOptions {.address = toSocketAddress(settings.platform)};
        }
        return control::status(options, console);
    };
}

Command addDrain(CLI::App &app, CtlSettings &settings)
{
    CLI::App &command = *app.add_subcommand("drain", "mark an endpoint as leaving on routers, so that they send it no new work");
    addRouterFlags(command, settings);
    support::addSetting(command, "--endpoint", settings.endpoint, "id of the endpoint")->required();
    return [&settings](const control::Console &console) {
        return control::drain({.routers = routerOptions(settings), .endpoint = settings.endpoint}, console);
    };
}

} // namespace

int main(int argc, char **argv)
{
    support::setSourceHash(support::sourceHash);
    CtlSettings settings;
    bool checkSettings = false;
    CLI::App app("Validates, compares and applies configuration, queries the state of routers and drains endpoints", "mulberrywall-ctl");
    app.footer("Exit codes: 0 success, 1 failure or not yet active, 2 invalid settings, 3 invalid configuration,\n"
               "4 conflict with another change, 5 platform or router unreachable");
    app.require_subcommand(1);
    support::addCommonFlags(app, checkSettings);
    const std::vector<std::pair<std::string, Command>> commands {
        {"validate", addValidate(app, settings)},
        {"diff", addDiff(app, settings)},
        {"apply", addApply(app, settings)},
        {"status", addStatus(app, settings)},
        {"drain", addDrain(app, settings)},
    };
    return support::parseAndRun(app, argc, argv, checkSettings, [&] {
        const control::Console console {.output = std::cout, .errors = std::cerr};
        for (const auto &[name, command] : commands) {
            if (app.got_subcommand(name)) {
                return support::toInt(command(console));
            }
        }
        return support::toInt(support::ExitCode::InvalidSettings);
    });
}
