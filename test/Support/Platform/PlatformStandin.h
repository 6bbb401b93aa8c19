#pragma once

#include "mulberrywall/Http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace mulberrywall::standin
{

struct PlatformOptions
{
    boost::asio::ip::tcp::endpoint listen;
    /// Maximum number of commits and object writes per second; 0 means no limit.
    unsigned writesPerSecond = 0;
    /// Maximum number of row reads, prefix scans and object reads per second; 0 means no limit.
    unsigned readsPerSecond = 0;
    /// Maximum number of weight reads per second; 0 means no limit.
    unsigned weightsPerSecond = 0;
    /// Delay after which a change of the instance list becomes visible.
    std::chrono::milliseconds instanceLag {0};
    /// Delay of every response except those of /control.
    std::chrono::milliseconds latency {0};
};

/// Simulates the platform for tests: tables, objects, instance list and weights, all kept in memory.
///
/// POST /control accepts a JSON object with any of these members:
/// - "outage": "none", "refuse" (503 with X-Not-Run) or "drop" (connections are closed without a
/// response),
/// - "latencyMs": delay of every response except those of /control,
/// - "loseAnswers": number of further commits that are applied but whose connection is closed
/// without a response,
/// - "outageAfterLostAnswer": if not 0, the next response lost through "loseAnswers" starts the
/// outage "drop",
/// - "instances": new instance list, visible after the instance lag,
/// - "instanceLagMs", "writesPerSecond", "readsPerSecond", "weightsPerSecond": as in PlatformOptions.
/// GET /control returns the counters of handled and rejected requests.
class PlatformStandin
{
public:
    /// Returns a stand-in that accepts connections. Throws if it cannot listen.
    static std::shared_ptr<PlatformStandin> create(boost::asio::io_context &context, const PlatformOptions &options);

    PlatformStandin() = default;
    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;
    PlatformStandin(PlatformStandin &&) = delete;
    PlatformStandin &operator=(PlatformStandin &&) = delete;
    virtual ~PlatformStandin() = default;

    [[nodiscard]] virtual boost::asio::ip::tcp::endpoint localEndpoint() const = 0;
    /// Applies the body of a POST /control request. Returns false if the text is not valid. Thread-safe.
    virtual bool control(const std::string &jsonText) = 0;
    /// Returns the counter with this name in the response to GET /control, or 0 if there is none.
    /// Thread-safe.
    [[nodiscard]] virtual std::uint64_t counter(const std::string &name) const = 0;
};

} // namespace mulberrywall::standin
