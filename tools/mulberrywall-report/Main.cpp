#include "mulberrywall/Control/RouterAdminRequests.h"
#include "mulberrywall/Report/Burn.h"
#include "mulberrywall/Support/Address.h"
#include "mulberrywall/Support/BuildInfo.h"
#include "mulberrywall/Support/Settings.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace mulberrywall;

/// Command-line settings of the report.
struct ReportSettings
{
    std::vector<std::string> routers;
    std::vector<std::string> files;
    std::string operatorKey;
    std::string format = "text";
    double objective = 0.95;
};

void printError(const std::string &text)
{
    std::cerr << "mulberrywall-report: " << text << '\n';
}

/// Adds a router's status document to the table. Prints an error and returns false if the document is invalid.
bool addDocument(report::BurnTable &table, const std::string &source, const std::string &document)
{
    return support::leaf::try_handle_all(
        [&]() -> support::Result<bool> {
            BOOST_LEAF_CHECK(report::addStatus(table, document));
            return true;
        },
        [&](const support::ErrorMessage &message) {
            printError(source + ": " + message.text);
            return false;
        },
        [] { return false; });
}

support::ExitCode readFiles(const ReportSettings &settings, report::BurnTable &table)
{
    for (const std::string &file : settings.files) {
        std::ostringstream text;
        text << std::ifstream(file).rdbuf();
        if (!addDocument(table, file, text.str())) {
            return support::ExitCode::Failure;
        }
    }
    return support::ExitCode::Success;
}

/// Adds the status of every router to the table. Prints an error for each router that did not respond, so that an incomplete
/// report does not look complete.
support::ExitCode queryRouters(const ReportSettings &settings, report::BurnTable &table)
{
    control::RouterAdminOptions options {.operatorKey = settings.operatorKey};
    for (const std::string &router : settings.routers) {
        options.routers.push_back(support::parseAddress(router, support::AddressUse::Connect).value());
    }
    support::WorkerPool workers(1);
    support::ExitCode code = support::ExitCode::Success;
    for (const control::RouterAdminResponse &response : control::requestAllRouters(workers, options, http::Request(http::Verb::get, "/v1/status", 11))) {
        std::ostringstream name;
        name << response.router;
        if (!response.isAccepted()) {
            printError("router " + name.str() + " is missing from the report: " + control::describe(response));
            code = support::ExitCode::Unreachable;
            continue;
        }
        if (!addDocument(table, name.str(), response.response.body)) {
            code = support::ExitCode::Failure;
        }
    }
    return code;
}

int burn(const ReportSettings &settings)
{
    if (settings.routers.empty() && settings.files.empty()) {
        printError("no input; pass --router or --file");
        return support::toInt(support::ExitCode::InvalidSettings);
    }
    report::BurnTable table;
    const support::ExitCode fromFiles = readFiles(settings, table);
    const support::ExitCode fromRouters = queryRouters(settings, table);
    const std::vector<report::BurnRow> rows = report::computeBurn(table, settings.objective);
    if (settings.format == "json") {
        std::cout << report::renderJson(rows, settings.objective) << '\n';
    } else if (settings.format == "svg") {
        std::cout << report::renderSvg(rows, settings.objective);
    } else {
        std::cout << report::renderText(rows, settings.objective);
    }
    return support::toInt(fromFiles == support::ExitCode::Success ? fromRouters : fromFiles);
}

} // namespace

int main(int argc, char **argv)
{
    support::setSourceHash(support::sourceHash);
    CLI::App app("Reports how well request classes meet their service levels", "mulberrywall-report");
    ReportSettings settings;
    bool checkSettings = false;
    support::addCommonFlags(app, checkSettings);
    app.require_subcommand(1);
    CLI::App *command = app.add_subcommand("burn", "burn rates, attainment, goodput and wasted tokens by class and window");
    support::addSetting(
        *command, "--router", settings.routers, "IP address and port of a router's admin listener; repeat the flag or separate several by commas")
        ->delimiter(',')
        ->check(support::checkAddress);
    support::addSetting(*command, "--file", settings.files, "saved response of a router's /v1/status")->delimiter(',')->check(CLI::ExistingFile);
    support::addSetting(*command, "--operator-key", settings.operatorKey, "operator key of the routers");
    support::addSetting(*command, "--format", settings.format, "text, json or svg")->check(CLI::IsMember({"text", "json", "svg"}));
    support::addSetting(*command, "--objective", settings.objective, "fraction of requests that must meet their targets")->check(CLI::Range(0.001, 0.9999));
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return burn(settings); });
}
