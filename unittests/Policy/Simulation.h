#pragma once

#include "mulberrywall/Policy/PolicyFunctions.h"

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mulberrywall::policy
{

/// Parameters of a random trace: arrivals and faults.
struct TraceOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration {60'000};
    /// Arrivals per second by tier; the classes are "tier0" to "tier2".
    std::array<double, 3> arrivalsPerSecond {};
    unsigned endpoints = 4;
    unsigned slotsPerEndpoint = 4;
    std::size_t queueLimit = 64;
    double meanTokens = 50.0;
    std::chrono::milliseconds tokenInterval {20};
    /// Probabilities for each request.
    double withdrawn = 0.0;
    double withDeadline = 0.0;
    double refusedByEndpoint = 0.0;
    double endpointCrash = 0.0;
    /// Probability that a request crashes its endpoint in every attempt. Each crash fails all requests on the endpoint.
    double crashing = 0.0;
    /// Maximum number of times that a request is sent again, as a retry or resume on another endpoint, after its endpoint
    /// refused it or crashed.
    unsigned resends = 0;
    /// With Leaving, one random endpoint leaves every second, and the one that left before returns.
    enum class Churn : std::uint8_t {
        None,
        Leaving,
    } churn = Churn::None;
};

/// Outcome of a trace.
struct TraceResult
{
    /// Violations of invariants that every policy must keep; empty if there are none.
    std::vector<std::string> violations;
    /// Requests shed while a request of a lower tier was waiting.
    unsigned tierOrderViolations = 0;
    std::array<unsigned, 3> submitted {};
    std::array<unsigned, 3> granted {};
    std::array<unsigned, 3> withinTarget {};
    /// Longest time without a grant by tier, start and end of the trace included.
    std::array<std::chrono::milliseconds, 3> longestGrantGap {};
    /// Maximum number of endpoints crashed by one crashing request, and number of other requests rejected as quarantined.
    unsigned maximumCrashes = 0;
    unsigned falseQuarantineRejections = 0;
    /// All decisions in order, for comparisons.
    std::string log;
    std::map<PermitId, bool> grantedByPermit;
};

/// Classes with targets of 2 s, minimum shares of 5% and a maximum wait of 5 s in three tiers.
std::vector<ClassSpec> traceClasses();

/// Replays a random trace in steps of 10 ms until every request has ended.
TraceResult runTrace(const PolicyFunctions &functions, const TraceOptions &options);

} // namespace mulberrywall::policy
