#pragma once

#include "Harness/Deployment.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberrywall::load
{

/// Log-normal lengths, of which a share is many times longer.
struct LengthDistribution
{
    double median = 100;
    /// Standard deviation of the logarithm; 0 makes all lengths equal.
    double sigma = 0;
    double stragglerShare = 0;
    double stragglerFactor = 10;
    std::size_t maximum = 100'000;
};

enum class Pattern : std::uint8_t {
    Steady,
    /// The rate is multiplied by the peak during the first quarter of each period.
    Burst,
    /// The rate follows a sine between the base rate and the peak.
    Swing,
};

/// Whether the calls of a plain service carry an Idempotency-Key.
enum class KeyUse : std::uint8_t {
    None,
    OnePerCall,
};

/// Requests of one class.
struct Traffic
{
    std::string requestClass;
    /// Tier of the class in the deployment's configuration.
    unsigned tier = 0;
    /// Non-idempotent classes of plain services must not run twice.
    bool nonIdempotent = false;
    /// Counts as short work that should not wait behind long work.
    bool shortWork = false;
    /// Key of the only organisation; empty when the scenario's organisations share the traffic.
    std::string key;
    std::string model = "m";
    /// Calls go to this plain service instead of the model.
    std::string service;
    KeyUse idempotencyKeys = KeyUse::None;
    /// Mean arrivals per second outside peaks.
    double rate = 1;
    Pattern pattern = Pattern::Steady;
    std::chrono::duration<double> period {10};
    double peak = 3;
    LengthDistribution promptBytes;
    LengthDistribution outputTokens;
    /// Prompts begin with one of this many texts of sharedPrefixBytes.
    unsigned sharedPrefixes = 0;
    std::size_t sharedPrefixBytes = 0;
    std::chrono::duration<double, std::milli> firstTokenTarget {1'900};
    std::chrono::duration<double, std::milli> betweenTokensTarget {57};
    /// Target of calls to a plain service.
    std::chrono::duration<double, std::milli> completionTarget {1'000};
};

enum class FaultAction : std::uint8_t {
    /// The first engines take `factor` times as long, until RestoreEngines.
    SlowEngines,
    RestoreEngines,
    /// Kills the last engine.
    KillEngine,
    RestartEngine,
    /// Kills the owner of the model's pool. A naive router owns a pool of its own; the first one is killed.
    KillOwner,
    RestartOwner,
};

struct Fault
{
    /// Faults of one name are switched on together.
    std::string set;
    std::chrono::duration<double> time {0};
    FaultAction action = FaultAction::SlowEngines;
    unsigned engines = 2;
    double factor = 4;
};

struct Scenario
{
    std::uint64_t seed = 1;
    std::chrono::duration<double> duration {20};
    /// A caller gives up after this time.
    std::chrono::milliseconds timeout {60'000};
    std::vector<Traffic> traffic;
    /// Organisations with their parts of each traffic without a key of its own.
    std::map<std::string, double> organisations;
    /// In the order of their times.
    std::vector<Fault> faults;
    /// Time that the plain services take for each call.
    std::chrono::milliseconds serviceDelay {0};
    harness::DeploymentOptions deployment;
};

/// A request with the time at which it is due.
struct Arrival
{
    std::chrono::duration<double> time {0};
    std::size_t traffic = 0;
    std::string key;
    /// Body of the call for a plain service.
    std::string prompt;
    std::size_t outputTokens = 0;
};

/// Throws std::runtime_error when the file cannot be read or has an unknown or wrong entry.
Scenario readScenario(const std::string &file);

/// Keeps the faults of this set only; throws std::runtime_error when the set is not empty and the scenario has no such fault.
void selectFaults(Scenario &scenario, const std::string &set);

/// Keeps the traffic of the lowest tier number only, without plain services: they have engines of their own.
void keepTopTier(Scenario &scenario);

/// Replaces bursts and swings by their mean rate.
void makeSteady(Scenario &scenario);

/// Returns all requests in the order of their times; equal scenarios give equal requests.
std::vector<Arrival> makeArrivals(const Scenario &scenario);

} // namespace mulberrywall::load
