#include "Driver.h"
#include "Report.h"

#include "mulberrywall/Support/Settings.h"

#include <boost/json/serialize.hpp>

#include <iostream>

namespace
{

using namespace mulberrywall;

/// Starts the scenario's deployment, drives the load and prints the report.
int run(const std::string &scenarioFile, std::uint64_t seed, harness::RouterKind routerKind)
{
    try {
        load::Scenario scenario = load::readScenario(scenarioFile);
        scenario.seed = seed == 0 ? scenario.seed : seed;
        scenario.deployment.routerKind = routerKind;
        harness::Deployment deployment(scenario.deployment);
        std::vector<std::uint16_t> ports;
        for (std::size_t index = 0; index < deployment.routerCount(); ++index) {
            ports.push_back(deployment.router(index).port);
        }
        const std::vector<load::Arrival> arrivals = load::makeArrivals(scenario);
        const std::vector<load::Outcome> outcomes = load::drive(scenario, arrivals, ports);
        std::uint64_t engineTokens = 0;
        for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
            engineTokens += harness::countOf(deployment.engine(index), "tokens");
        }
        std::cout << boost::json::serialize(load::makeReport(scenario, arrivals, outcomes, engineTokens)) << '\n';
    } catch (const std::exception &error) {
        std::cerr << "load-driver: " << error.what() << '\n';
        return support::toInt(support::ExitCode::Failure);
    }
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    std::string scenario;
    std::uint64_t seed = 0;
    std::string router = "product";
    bool checkSettings = false;
    CLI::App app("open-loop load against routers and engine stand-ins; prints a JSON report", "load-driver");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--scenario", scenario, "scenario file")->required()->check(CLI::ExistingFile);
    app.add_option("--seed", seed, "replaces the scenario's seed; 0 keeps it")->capture_default_str();
    app.add_option("--router", router, "product or naive")->check(CLI::IsMember({"product", "naive"}))->capture_default_str();
    return support::parseAndRun(
        app, argc, argv, checkSettings, [&] { return run(scenario, seed, router == "naive" ? harness::RouterKind::Naive : harness::RouterKind::Product); });
}
