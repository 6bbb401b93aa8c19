#pragma once

#include "mulberrywall/Router/ActiveConfiguration.h"
#include "mulberrywall/Router/EndpointDirectory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace mulberrywall::router
{

struct EndpointWatcherOptions
{
    std::chrono::milliseconds interval {500};
    /// Longest wait for a report; slower endpoints are asked again at the next interval.
    std::chrono::milliseconds timeout {1'000};
    /// Only engines of these pools are asked, so that each engine is asked by its pool's owner alone.
    std::function<bool(const support::PoolId &)> ownsPool = [](const support::PoolId &) {
        return true;
    };
};

/// Asks the model engines of owned pools for their load and whether they leave.
///
/// Plain services are not asked: to them, every path is a request that runs.
class EndpointWatcher : public std::enable_shared_from_this<EndpointWatcher>
{
public:
    EndpointWatcher(boost::asio::io_context &context,
        EndpointWatcherOptions options,
        const ActiveConfiguration &configuration,
        permits::PoolTable &pools,
        EndpointDirectory &directory);

    void start();
    void stop();

private:
    void poll();
    void requestLoad(const configuration::Endpoint &endpoint);
    void requestState(const configuration::Endpoint &endpoint);

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    EndpointWatcherOptions options_;
    const ActiveConfiguration &configuration_;
    permits::PoolTable &pools_;
    EndpointDirectory &directory_;
    boost::asio::steady_timer timer_;
    /// Endpoints whose last report is still under way.
    std::set<support::EndpointId> pendingEndpoints_;
    std::uint64_t pollCount_ = 0;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
