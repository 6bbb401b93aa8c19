#pragma once

#include "Scenario.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::load
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

/// How a request ended.
enum class OutcomeKind : std::uint8_t {
    /// The caller received a complete and correct response.
    Completed,
    /// The response states that the request has not run (Mulberrywall-Outcome: not-run).
    Rejected,
    /// Every other end: a broken stream, a timeout, a response with the wrong number of tokens.
    Failed,
};

/// The outcome of one request. All durations are measured from the scheduled arrival unless stated otherwise.
struct Outcome
{
    OutcomeKind kind = OutcomeKind::Failed;
    /// Title and detail of the problem document, or the error that ended the call. Empty for completed requests.
    std::string reason;
    /// Time to first token.
    Milliseconds firstToken {0};
    Milliseconds duration {0};
    /// Delay between the scheduled arrival and the time at which the driver sent the request.
    Milliseconds sendDelay {0};
    /// Inter-token latencies.
    std::vector<Milliseconds> tokenGaps;
    std::size_t tokens = 0;
};

/// Caller ports of the routers and their health, as a load balancer in front of the routers keeps them.
struct RouterTargets
{
    explicit RouterTargets(std::vector<std::uint16_t> callerPorts)
        : ports(std::move(callerPorts)),
          live(ports.size())
    {
        for (std::atomic<bool> &entry : live) {
            entry = true;
        }
    }

    std::vector<std::uint16_t> ports;
    /// Routers whose flag is false get no new requests. Other threads may change the flags.
    std::vector<std::atomic<bool>> live;
};

/// Sends every request at its arrival time after the start, independently of earlier ones (open loop), and returns the outcomes
/// in the same order.
///
/// Requests are distributed over the live routers in round-robin order. Blocks until the last request has ended.
std::vector<Outcome> drive(const Scenario &scenario, const std::vector<Arrival> &arrivals, const RouterTargets &routers, Clock::time_point start);

} // namespace mulberrywall::load
