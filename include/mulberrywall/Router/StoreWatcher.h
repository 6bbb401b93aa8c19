#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Router/EndpointRegistry.h"
#include "mulberrywall/Router/TableWatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mulberrywall::router
{

/// Why a row could not be used.
struct RowProblem
{
    std::string text;
};

/// Where a router gets its configuration and its endpoints from, and how rows are read.
struct StoreWatcherSources
{
    TableSource configuration;
    TableSource endpoints;
    /// Reads a row of the configuration table; nothing for a row that holds no configuration.
    std::function<std::optional<std::variant<configuration::SiteConfiguration, RowProblem>>(const TableRow &)> readConfiguration;
    std::function<std::variant<RegisteredEndpoint, RowProblem>(const TableRow &)> readEndpoint;
};

struct StoreWatcherOptions
{
    std::chrono::milliseconds configurationWait {2'000};
    std::chrono::milliseconds endpointsWait {2'000};
};

/// Handlers of a feed; all run on its strand.
struct StoreWatcherHandlers
{
    /// A newer configuration, with the endpoints that are known.
    std::function<void(configuration::SiteConfiguration)> configurationChanged;
    /// The store confirmed that there was no newer configuration at the given time.
    std::function<void(support::BootClock::time_point)> configurationConfirmed;
    std::function<void(const std::vector<configuration::Endpoint> &)> endpointsChanged;
};

/// Follows configuration and endpoints in a store and passes on what has changed.
///
/// A damaged row is logged and changes nothing but itself: the last configuration stays, and a damaged entry names no
/// endpoint.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
    StoreWatcher(boost::asio::io_context &context, StoreWatcherOptions options, StoreWatcherSources sources, StoreWatcherHandlers handlers);

    // Commands
    void start();
    void stop();
    void setMode(WatchMode mode);
    /// Takes what another router knows, as of the ages before the given time or later.
    void recordPeerProgress(const permits::StoreProgress &peer, support::BootClock::time_point receivedAt);

    // Queries
    [[nodiscard]] permits::StoreProgress progress() const;

private:
    void onConfigurationRows(const std::vector<TableRow> &rows, support::BootClock::time_point sentAt);
    void onEndpointRows(RowsKind kind, const std::vector<TableRow> &rows);
    bool recordRow(const TableRow &row, EndpointRegistry::TimePoint now);
    bool removeMissing(const std::vector<TableRow> &rows, EndpointRegistry::TimePoint now);
    void publishEndpoints();
    void armExpiryTimer();

    boost::asio::io_context &context_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer expiryTimer_;
    StoreWatcherOptions options_;
    StoreWatcherSources sources_;
    StoreWatcherHandlers handlers_;
    std::shared_ptr<TableWatcher> configurationWatcher_;
    std::shared_ptr<TableWatcher> endpointWatcher_;
    EndpointRegistry registry_;
    std::vector<configuration::Endpoint> published_;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
