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

/// Time between the end of the deployment's start-up and the first arrival. The owner of a pool uses only half of its slots for
/// up to 2 s after the routers have found each other, and a scenario measures routers in their steady state.
constexpr std::chrono::milliseconds leadTime {3'000};

/// Command-line settings of the load driver.
struct LoadDriverSettings
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

/// Reads the scenario and applies the command-line settings to it.
load::Scenario prepareScenario(const LoadDriverSettings &settings)
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
        // The naive router keeps no key reservations and would reject every call with an idempotency key.
        for (load::Traffic &traffic : scenario.traffic) {
            traffic.idempotencyKeys = load::IdempotencyKeyMode::None;
        }
    }
    return scenario;
}

/// Returns how often plain services ran a call of a non-idempotent class again. Calls are identified by their bodies.
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

/// Starts the scenario's deployment, generates the load and prints the report. Returns the exit code.
int run(const LoadDriverSettings &settings)
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
        load::RouterTargets routers(std::move(ports));
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
    LoadDriverSettings settings;
    bool checkSettings = false;
    CLI::App app("Sends open-loop load to routers in front of engine stand-ins; prints a JSON report", "load-driver");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--scenario", settings.scenario, "scenario file")->required()->check(CLI::ExistingFile);
    app.add_option("--seed", settings.seed, "seed that replaces the one of the scenario; 0 keeps it")->capture_default_str();
    app.add_option("--router", settings.router, "router to run: product or naive")->check(CLI::IsMember({"product", "naive"}))->capture_default_str();
    app.add_option("--without", settings.without, "run the product with this mechanism of the policy switched off; see ablation-router");
    app.add_option("--faults", settings.faults, "name of the scenario's set of faults to inject; empty injects none");
    app.add_option("--rate-scale", settings.rateScale, "factor for all arrival rates")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--duration-s", settings.durationSeconds, "duration in seconds that replaces the one of the scenario; 0 keeps it")->capture_default_str();
    app.add_flag("--only-top-tier", settings.onlyTopTier, "send the model traffic of the highest tier only");
    app.add_flag("--steady", settings.steady, "replace bursts and swings by steady traffic of the same mean rate");
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return run(settings); });
}
