#pragma once

#include "Harness/Deployment.h"

#include <chrono>
#include <cstdint>
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

/// Requests of one class and organisation.
struct Traffic
{
    std::string requestClass;
    std::string key;
    std::string model = "m";
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
};

struct Scenario
{
    std::uint64_t seed = 1;
    std::chrono::duration<double> duration {20};
    /// A caller gives up after this time.
    std::chrono::milliseconds timeout {60'000};
    std::vector<Traffic> traffic;
    harness::DeploymentOptions deployment;
};

/// A request with the time at which it is due.
struct Arrival
{
    std::chrono::duration<double> time {0};
    std::size_t traffic = 0;
    std::string prompt;
    std::size_t outputTokens = 0;
};

/// Throws std::runtime_error when the file cannot be read or has an unknown or wrong entry.
Scenario readScenario(const std::string &file);

/// Returns all requests in the order of their times; equal scenarios give equal requests.
std::vector<Arrival> makeArrivals(const Scenario &scenario);

} // namespace mulberrywall::load
