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

enum class Ending : std::uint8_t {
    Completed,
    /// A response that says "not run".
    Refused,
    /// Anything else: a broken stream, a timeout, an answer of the wrong length.
    Failed,
};

/// What became of one request.
struct Outcome
{
    Ending ending = Ending::Failed;
    /// Title and detail of the problem document, or what broke the call.
    std::string reason;
    /// From the intended arrival.
    Milliseconds firstToken {0};
    Milliseconds duration {0};
    /// How late the driver itself sent the request.
    Milliseconds sendDelay {0};
    std::vector<Milliseconds> tokenGaps;
    std::size_t tokens = 0;
};

/// Caller ports of the routers, as a load balancer in front of them knows them.
struct Routers
{
    explicit Routers(std::vector<std::uint16_t> callerPorts)
        : ports(std::move(callerPorts)),
          live(ports.size())
    {
        for (std::atomic<bool> &entry : live) {
            entry = true;
        }
    }

    std::vector<std::uint16_t> ports;
    /// A router that is not live gets no new requests. Safe to change from another thread.
    std::vector<std::atomic<bool>> live;
};

/// Sends every request at its time after the start, whatever became of earlier ones, and returns the outcomes in the same order.
///
/// Requests are spread over the live routers in turn.
std::vector<Outcome> drive(const Scenario &scenario, const std::vector<Arrival> &arrivals, const Routers &routers, Clock::time_point start);

} // namespace mulberrywall::load
