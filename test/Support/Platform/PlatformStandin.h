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
    /// Commits and object writes accepted a second; 0 means no limit.
    unsigned writesPerSecond = 0;
    /// Row, prefix and object reads accepted a second; 0 means no limit.
    unsigned readsPerSecond = 0;
    /// Weight reads accepted a second; 0 means no limit.
    unsigned weightsPerSecond = 0;
    /// Time after which a change of the instance list becomes visible.
    std::chrono::milliseconds instanceLag {0};
    /// Added to every response.
    std::chrono::milliseconds latency {0};
};

/// Stand-in of the platform for tests: tables, objects, instance list and weights, all in memory.
///
/// POST /control takes a JSON object with any of the members
/// - "outage": "none", "refuse" (503 with X-Not-Run) or "drop" (connections are closed without a response),
/// - "latencyMs": time added to every response,
/// - "loseAnswers": number of coming commits that are applied while the connection is dropped,
/// - "outageAfterLostAnswer": 1 starts the outage "drop" with the next lost answer,
/// - "instances": new instance list, visible after the lag,
/// - "instanceLagMs", "writesPerSecond", "readsPerSecond", "weightsPerSecond".
/// GET /control returns the counters of what ran.
class PlatformStandin
{
public:
    static std::shared_ptr<PlatformStandin> create(boost::asio::io_context &context, const PlatformOptions &options);

    PlatformStandin() = default;
    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;
    PlatformStandin(PlatformStandin &&) = delete;
    PlatformStandin &operator=(PlatformStandin &&) = delete;
    virtual ~PlatformStandin() = default;

    [[nodiscard]] virtual boost::asio::ip::tcp::endpoint localEndpoint() const = 0;
    /// Does what POST /control does. Returns false when the text is not valid. Thread-safe.
    virtual bool control(const std::string &jsonText) = 0;
    /// Returns a counter by the name that GET /control uses, or 0. Thread-safe.
    [[nodiscard]] virtual std::uint64_t counter(const std::string &name) const = 0;
};

} // namespace mulberrywall::standin
