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

/// Reason why a row could not be parsed.
struct RowProblem
{
    std::string text;
};

/// The tables that hold a router's configuration and endpoints, and the functions that parse their rows.
struct StoreWatcherSources
{
    TableSource configuration;
    TableSource endpoints;
    /// Parses a row of the configuration table; returns nothing for a row of another kind, and a problem if the row of the
    /// configuration was removed.
    std::function<std::optional<std::variant<configuration::SiteConfiguration, RowProblem>>(const TableRow &)> readConfiguration;
    std::function<std::variant<RegisteredEndpoint, RowProblem>(const TableRow &)> readEndpoint;
};

struct StoreWatcherOptions
{
    std::chrono::milliseconds configurationWait {2'000};
    std::chrono::milliseconds endpointsWait {2'000};
    /// Like relayedWait and maximumPeerAge of the configuration. A router has to find an outage of the store itself before
    /// entries can lapse in it, since entries that are missing after an outage are kept for a while.
    std::chrono::milliseconds relayedEndpointsWait {900};
    std::chrono::milliseconds maximumEndpointsPeerAge {2'400};
    /// TableWatcherOptions::startInterval of both tables.
    std::chrono::milliseconds startInterval = TableWatcherOptions().startInterval;
};

/// Handlers of a StoreWatcher; all run on its strand.
struct StoreWatcherHandlers
{
    /// Called with each configuration that was read, which includes the current endpoints.
    std::function<void(configuration::SiteConfiguration)> configurationChanged;
    /// Called when the store has confirmed that there was no newer configuration at the given time.
    std::function<void(support::BootClock::time_point)> configurationConfirmed;
    std::function<void(const std::vector<configuration::Endpoint> &)> endpointsChanged;
    /// Called with all registered endpoints, including those that leave, when one of them has changed or
    /// the table was read whole. May be empty.
    std::function<void(std::vector<RegisteredEndpoint>)> registryChanged;
};

/// Watches the configuration and the endpoints in a store and reports their changes.
///
/// A malformed row is logged and affects nothing else: the last configuration stays in force without being confirmed, also if its
/// row was removed, and a malformed endpoint entry is treated as removed.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
    StoreWatcher(boost::asio::io_context &context, StoreWatcherOptions options, StoreWatcherSources sources, StoreWatcherHandlers handlers);

    // Commands
    void start();
    void stop();
    void setMode(WatchMode mode);
    /// Records the freshness that another router reported and the changes that it passed on. Each
    /// table's freshness was confirmed at `receivedAt` minus its age, or later.
    void recordPeerReport(const permits::StoreReport &peer, support::BootClock::time_point receivedAt);

    // Queries
    [[nodiscard]] permits::StoreFreshness freshness() const;
    /// Returns the recent changes to pass on to a peer whose copies are as current as it has reported, of those that were read at
    /// least minimumAge ago; none of a table that the peer has not read.
    [[nodiscard]] permits::StoreChanges changesAfter(const permits::StoreFreshness &peer, std::chrono::milliseconds minimumAge) const;

private:
    void recordConfigurationProblem(const RowProblem &problem);
    void onConfigurationRows(RowsKind kind, const std::vector<TableRow> &rows, support::BootClock::time_point sentAt);
    void onEndpointRows(RowsKind kind, const std::vector<TableRow> &rows);
    bool recordRow(const TableRow &row, EndpointRegistry::TimePoint now);
    bool removeMissing(const std::vector<TableRow> &rows, EndpointRegistry::TimePoint now);
    void publishEndpoints();
    void publishRegistry();
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
    /// False after a configuration that could not be parsed or was removed, until one that can be parsed.
    bool configurationReadable_ = true;
    bool hasConfiguration_ = false;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
