#include "mulberrywall/Control/Commands.h"
#include "mulberrywall/Support/Address.h"

#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

using namespace mulberrywall;

namespace
{

/// Settings as the command line has them.
struct Settings
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

/// Only called with text that the validator accepted.
boost::asio::ip::tcp::endpoint toAddress(const std::string &text)
{
    return support::parseAddress(text, support::AddressUse::Connect).value();
}

control::RouterAdminOptions routerOptions(const Settings &settings)
{
    control::RouterAdminOptions options {.operatorKey = settings.operatorKey};
    for (const std::string &router : settings.routers) {
        options.routers.push_back(toAddress(router));
    }
    return options;
}

void addFiles(CLI::App &command, Settings &settings)
{
    support::addSetting(command, "--base", settings.files.basePath, "base file that all sites share")->required();
    support::addSetting(command, "--overlay", settings.files.overlayPaths, "overlay of a site; repeat it, or separate several by commas")
        ->delimiter(',')
        ->required();
}

void addPlatform(CLI::App &command, Settings &settings)
{
    support::addSetting(command, "--platform", settings.platform, "IP address and port of the platform")->check(addressValidator)->required();
}

void addRouters(CLI::App &command, Settings &settings)
{
    support::addSetting(command, "--router", settings.routers, "IP address and port of a router's admin listener; repeat it, or separate several by commas")
        ->delimiter(',')
        ->check(addressValidator)
        ->required();
    support::addSetting(command, "--operator-key", settings.operatorKey, "operator key of the routers");
}

using Command = std::function<support::ExitCode(const control::Console &)>;

Command addValidate(CLI::App &app, Settings &settings)
{
    addFiles(*app.add_subcommand("validate", "check the configuration files"), settings);
    return [&settings](const control::Console &console) {
        return control::validate(settings.files, console);
    };
}

Command addDiff(CLI::App &app, Settings &settings)
{
    CLI::App &command = *app.add_subcommand("diff", "print what the files change in the revision in force");
    addFiles(command, settings);
    addPlatform(command, settings);
    return [&settings](const control::Console &console) {
        return control::diff({.files = settings.files, .platform = {.address = toAddress(settings.platform)}}, console);
    };
}

Command addApply(CLI::App &app, Settings &settings)
{
    CLI::App &command = *app.add_subcommand("apply", "make the files the next revision");
    addFiles(command, settings);
    addPlatform(command, settings);
    support::addSetting(command, "--based-on", settings.basedOn, "revision that the files were made against; the default is the one in force");
    support::addSetting(command, "--push-id", settings.pushId, "id of an earlier push whose outcome is to be settled");
    command.add_flag("--allow-site-removal", settings.allowSiteRemoval, "accept files that lack a site that is in force")
        ->envname(support::environmentName("--allow-site-removal"));
    support::addSetting(command, "--timeout-ms", settings.timeoutMs, "milliseconds to settle a commit whose response was lost")
        ->check(CLI::Range(100, 600'000));
    return [&settings](const control::Console &console) {
        return control::apply(
            {
                .files = settings.files,
                .platform = {.address = toAddress(settings.platform)},
                .basedOn = settings.basedOn,
                .pushId = settings.pushId,
                .siteRemoval = settings.allowSiteRemoval ? control::SiteRemoval::Allow : control::SiteRemoval::Reject,
                .timeout = std::chrono::milliseconds(settings.timeoutMs),
            },
            console);
    };
}

Command addStatus(CLI::App &app, Settings &settings)
{
    CLI::App &command = *app.add_subcommand("status", "print the revision in force at each router");
    addRouters(command, settings);
    support::addSetting(command, "--platform", settings.platform, "IP address and port of the platform, whose head is expected")->check(addressValidator);
    support::addSetting(command, "--revision", settings.revision, "revision that is expected, instead of the platform's head");
    command.add_flag("--wait", settings.wait, "wait until all routers have the expected revision")->envname(support::environmentName("--wait"));
    support::addSetting(command, "--wait-timeout-ms", settings.waitTimeoutMs, "longest wait in milliseconds")->check(CLI::Range(1, 3'600'000));
    return [&settings](const control::Console &console) {
        if (settings.wait && settings.platform.empty() && !settings.revision) {
            console.errors << "mulberrywall-ctl: --wait needs to know what to wait for; pass --platform or --revision\n";
            return support::ExitCode::InvalidSettings;
        }
        control::StatusOptions options {
            .routers = routerOptions(settings),
            .revision = settings.revision,
            .waiting = settings.wait ? control::StatusWaitMode::UntilActive : control::StatusWaitMode::ReportOnce,
            .waitTimeout = std::chrono::milliseconds(settings.waitTimeoutMs),
        };
        if (!settings.platform.empty()) {
            options.platform = backingservices::BackingServiceOptions {.address = toAddress(settings.platform)};
        }
        return control::status(options, console);
    };
}

Command addDrain(CLI::App &app, Settings &settings)
{
    CLI::App &command = *app.add_subcommand("drain", "tell routers that an endpoint leaves");
    addRouters(command, settings);
    support::addSetting(command, "--endpoint", settings.endpoint, "id of the endpoint")->required();
    return [&settings](const control::Console &console) {
        return control::drain({.routers = routerOptions(settings), .endpoint = settings.endpoint}, console);
    };
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings;
    bool checkSettings = false;
    CLI::App app("Validates, compares and applies configuration, and asks routers for their state", "mulberrywall-ctl");
    app.footer("Exit codes: 0 success, 1 failure or not yet in force, 2 invalid settings, 3 invalid configuration,\n"
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
