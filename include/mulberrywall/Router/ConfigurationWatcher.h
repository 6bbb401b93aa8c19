#pragma once

#include "mulberrywall/Configuration/RevisionStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace mulberrywall::router
{

struct ConfigurationWatcherOptions
{
    platform::PlatformOptions platform;
    support::DataCentreId dataCentre;
    /// Time between two polls of all routers of the data centre together; a single router polls at this interval.
    std::chrono::milliseconds interval {1'000};
};

/// Polls the head of the configuration and fetches each higher revision.
class ConfigurationWatcher : public std::enable_shared_from_this<ConfigurationWatcher>
{
public:
    /// The handler gets the site of each higher revision, on the watcher's strand.
    ConfigurationWatcher(boost::asio::io_context &context, ConfigurationWatcherOptions options, std::function<void(configuration::SiteConfiguration)> handler);

    // Commands, thread-safe
    void start();
    void stop();
    /// Keeps the polls of the data centre at a constant rate; at least 1.
    void setRouterCount(std::size_t routers);
    /// Fetches a revision that another router has told of, without waiting for the next poll.
    void noteRevision(std::uint64_t revision);

private:
    void poll();
    void arm();
    void fetch(std::uint64_t revision);
    void onRevision(std::uint64_t revision, const configuration::RevisionResult &result);

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    ConfigurationWatcherOptions options_;
    std::function<void(configuration::SiteConfiguration)> handler_;
    configuration::RevisionStore store_;
    boost::asio::steady_timer timer_;
    std::size_t routers_ = 1;
    /// Highest revision that was handed over, or that has no site for this data centre.
    std::uint64_t known_ = 0;
    std::uint64_t fetching_ = 0;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
