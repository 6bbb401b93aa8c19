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
    /// Timeout of a request for a report; an endpoint that exceeds it is polled again at the next
    /// interval.
    std::chrono::milliseconds timeout {1'000};
    /// Returns whether this router owns the pool. Only engines of owned pools are polled, so that each
    /// engine is polled by the owner of its pool alone.
    std::function<bool(const support::PoolId &)> ownsPool = [](const support::PoolId &) {
        return true;
    };
};

/// Polls the model engines of owned pools for their load, their incarnation and whether they are
/// leaving.
///
/// Plain services are not polled, because they execute a request to any path.
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
    /// Endpoints with a pending request for a load report.
    std::set<support::EndpointId> pendingEndpoints_;
    std::uint64_t pollCount_ = 0;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
