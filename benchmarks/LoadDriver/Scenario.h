#pragma once

#include "Harness/Deployment.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberrywall::load
{

/// Distribution of lengths in bytes or tokens: log-normal, with a share of stragglers whose length is multiplied by a factor.
struct LengthDistribution
{
    double median = 100;
    /// Standard deviation of the natural logarithm of the length. 0 gives all lengths the median, except for stragglers.
    double sigma = 0;
    double stragglerShare = 0;
    double stragglerFactor = 10;
    std::size_t maximum = 100'000;
};

/// How the arrival rate of a traffic changes over time.
enum class ArrivalPattern : std::uint8_t {
    Steady,
    /// The base rate is multiplied by the peak factor during the first quarter of each period.
    Burst,
    /// The rate follows a sine wave between the base rate and the base rate times the peak factor.
    Swing,
};

/// Whether the calls of a plain service have an Idempotency-Key.
enum class IdempotencyKeyMode : std::uint8_t {
    None,
    OnePerCall,
};

/// A stream of requests of one class.
struct Traffic
{
    std::string requestClass;
    /// Tier of the class, from the deployment's configuration.
    unsigned tier = 0;
    /// Whether the class is non-idempotent: a plain service must not run its calls twice.
    bool nonIdempotent = false;
    /// Whether the report counts these requests as short work, which should not wait behind long requests.
    bool shortWork = false;
    /// Bearer key of the organisation that sends all requests. If empty, each request draws one of the scenario's organisations.
    std::string key;
    std::string model = "m";
    /// Plain service that receives the requests instead of the model. Empty for model requests.
    std::string service;
    IdempotencyKeyMode idempotencyKeys = IdempotencyKeyMode::None;
    /// Base rate: mean arrivals per second outside of peaks.
    double rate = 1;
    ArrivalPattern pattern = ArrivalPattern::Steady;
    std::chrono::duration<double> period {10};
    double peak = 3;
    LengthDistribution promptBytes;
    LengthDistribution outputTokens;
    /// Number of different prefixes, each of sharedPrefixBytes, with which prompts begin. 0 gives prompts no common prefix.
    unsigned sharedPrefixes = 0;
    std::size_t sharedPrefixBytes = 0;
    std::chrono::duration<double, std::milli> firstTokenTarget {1'900};
    std::chrono::duration<double, std::milli> betweenTokensTarget {57};
    /// Target for the duration of a call of a plain service.
    std::chrono::duration<double, std::milli> completionTarget {1'000};
};

/// A change that a fault makes to the deployment.
enum class FaultAction : std::uint8_t {
    /// Slows the first `engines` engines down by `factor`, until RestoreEngines.
    SlowEngines,
    RestoreEngines,
    /// Kills the last engine.
    KillEngine,
    RestartEngine,
    /// Kills the router that owns the model's pool. Each naive router owns a pool of its own, so the first router is killed.
    KillOwner,
    RestartOwner,
};

/// A fault to inject at a time after the start.
struct Fault
{
    /// Name of the set that the fault belongs to. selectFaults enables all faults of one set.
    std::string set;
    std::chrono::duration<double> time {0};
    FaultAction action = FaultAction::SlowEngines;
    unsigned engines = 2;
    double factor = 4;
};

/// Traffic, faults and deployment of one benchmark run.
struct Scenario
{
    std::uint64_t seed = 1;
    std::chrono::duration<double> duration {20};
    /// Time after its scheduled arrival at which the caller cancels a request.
    std::chrono::milliseconds timeout {60'000};
    std::vector<Traffic> traffic;
    /// Weights of the organisations, by name, that share the traffic without a key of its own.
    std::map<std::string, double> organisations;
    /// Sorted by time.
    std::vector<Fault> faults;
    /// Time for which plain services process each call.
    std::chrono::milliseconds serviceDelay {0};
    harness::DeploymentOptions deployment;
};

/// A request with its scheduled arrival.
struct Arrival
{
    std::chrono::duration<double> time {0};
    /// Index in Scenario::traffic.
    std::size_t traffic = 0;
    /// Bearer key of the organisation.
    std::string key;
    /// Prompt of a model request, or body of a call of a plain service.
    std::string prompt;
    std::size_t outputTokens = 0;
};

/// Reads a scenario from a TOML file. Throws std::runtime_error if the file cannot be read or has an unknown or invalid entry.
Scenario readScenario(const std::string &file);

/// Removes all faults that do not belong to the set. Throws std::runtime_error if the set has a name, but no faults.
void selectFaults(Scenario &scenario, const std::string &set);

/// Removes all traffic except for the model traffic of the highest tier (the lowest number). Plain services are removed
/// because they do not use the engines of the model.
void keepTopTier(Scenario &scenario);

/// Replaces bursts and swings by steady traffic of the same mean rate.
void makeSteady(Scenario &scenario);

/// Returns all requests, sorted by arrival time. Equal scenarios, with equal seeds, give equal requests.
std::vector<Arrival> makeArrivals(const Scenario &scenario);

} // namespace mulberrywall::load
