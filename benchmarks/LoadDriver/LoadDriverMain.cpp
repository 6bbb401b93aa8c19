#include "Faults.h"
#include "Report.h"

#include "mulberrywall/Support/Settings.h"

#include <boost/json/serialize.hpp>

#include <future>
#include <iostream>
#include <set>

namespace
{

using namespace mulberrywall;

/// Time between the end of the preparations and the first intended arrival. The owner of a pool uses half of its slots for up
/// to 2 s after routers found each other; a scenario measures routers that have been running.
constexpr std::chrono::milliseconds leadTime {3'000};

struct Settings
{
    std::string scenario;
    std::uint64_t seed = 0;
    std::string router = "product";
    std::string without;
    std::string faults;
    double rateScale = 1;
    double durationSeconds = 0;
    bool onlyTopTier = false;
    bool steady = false;
};

load::Scenario prepareScenario(const Settings &settings)
{
    load::Scenario scenario = load::readScenario(settings.scenario);
    scenario.seed = settings.seed == 0 ? scenario.seed : settings.seed;
    if (settings.durationSeconds > 0) {
        scenario.duration = std::chrono::duration<double>(settings.durationSeconds);
    }
    load::selectFaults(scenario, settings.faults);
    if (settings.onlyTopTier) {
        load::keepTopTier(scenario);
    }
    if (settings.steady) {
        load::makeSteady(scenario);
    }
    for (load::Traffic &traffic : scenario.traffic) {
        traffic.rate *= settings.rateScale;
    }
    if (!settings.without.empty()) {
        scenario.deployment.routerKind = harness::RouterKind::Ablation;
        scenario.deployment.without = settings.without;
    } else if (settings.router == "naive") {
        scenario.deployment.routerKind = harness::RouterKind::Naive;
        // The naive router keeps no claims and would refuse every call with a key.
        for (load::Traffic &traffic : scenario.traffic) {
            traffic.idempotencyKeys = load::KeyUse::None;
        }
    }
    return scenario;
}

std::uint64_t countRepeatedRuns(harness::Deployment &deployment, const load::Scenario &scenario, const std::vector<load::Arrival> &arrivals)
{
    std::set<std::string_view> bodies;
    for (const load::Arrival &arrival : arrivals) {
        const load::Traffic &traffic = scenario.traffic[arrival.traffic];
        if (!traffic.service.empty() && traffic.nonIdempotent) {
            bodies.insert(arrival.prompt);
        }
    }
    std::map<std::string, std::uint64_t> runs;
    for (unsigned index = 0; index < scenario.deployment.services; ++index) {
        const boost::json::object counts = harness::getJson(deployment.service(index).port, "/counts");
        for (const auto &[body, number] : counts.at("bodies").as_object()) {
            runs[std::string(body)] += number.to_number<std::uint64_t>();
        }
    }
    std::uint64_t repeated = 0;
    for (const auto &[body, number] : runs) {
        repeated += bodies.contains(body) ? number - 1 : 0;
    }
    return repeated;
}

/// Starts the scenario's deployment, drives the load and prints the report.
int run(const Settings &settings)
{
    try {
        const load::Scenario scenario = prepareScenario(settings);
        const std::vector<load::Arrival> arrivals = load::makeArrivals(scenario);
        harness::Deployment deployment(scenario.deployment);
        for (unsigned index = 0; index < scenario.deployment.services; ++index) {
            harness::postJson(deployment.service(index).port, "/control", {{"delayMs", scenario.serviceDelay.count()}});
        }
        std::vector<std::uint16_t> ports;
        for (std::size_t index = 0; index < deployment.routerCount(); ++index) {
            ports.push_back(deployment.router(index).port);
        }
        load::Routers routers(std::move(ports));
        const load::Clock::time_point start = load::Clock::now() + leadTime;
        std::future<std::uint64_t> lostTokens = std::async(std::launch::async, [&] { return load::injectFaults(deployment, scenario.faults, routers, start); });
        const std::vector<load::Outcome> outcomes = load::drive(scenario, arrivals, routers, start);
        std::uint64_t engineTokens = lostTokens.get();
        for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
            engineTokens += harness::countOf(deployment.engine(index), "tokens");
        }
        const std::uint64_t repeatedRuns = countRepeatedRuns(deployment, scenario, arrivals);
        std::cout << boost::json::serialize(load::makeReport(scenario, arrivals, outcomes, engineTokens, repeatedRuns)) << '\n';
    } catch (const std::exception &error) {
        std::cerr << "load-driver: " << error.what() << '\n';
        return support::toInt(support::ExitCode::Failure);
    }
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings;
    bool checkSettings = false;
    CLI::App app("open-loop load against routers and engine stand-ins; prints a JSON report", "load-driver");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--scenario", settings.scenario, "scenario file")->required()->check(CLI::ExistingFile);
    app.add_option("--seed", settings.seed, "replaces the scenario's seed; 0 keeps it")->capture_default_str();
    app.add_option("--router", settings.router, "product or naive")->check(CLI::IsMember({"product", "naive"}))->capture_default_str();
    app.add_option("--without", settings.without, "run the product with this mechanism of the policy switched off; see ablation-router");
    app.add_option("--faults", settings.faults, "set of faults of the scenario to inject; none when empty");
    app.add_option("--rate-scale", settings.rateScale, "multiplies all rates")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--duration-s", settings.durationSeconds, "replaces the scenario's duration; 0 keeps it")->capture_default_str();
    app.add_flag("--only-top-tier", settings.onlyTopTier, "send the model traffic of the highest tier only");
    app.add_flag("--steady", settings.steady, "replace bursts and swings by their mean rates");
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return run(settings); });
}
