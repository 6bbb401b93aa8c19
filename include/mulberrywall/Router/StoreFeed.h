#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Router/EndpointRegistry.h"
#include "mulberrywall/Router/TableFollower.h"

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
struct StoreFeedSources
{
    TableSource configuration;
    TableSource endpoints;
    /// Reads a row of the configuration table; nothing for a row that holds no configuration.
    std::function<std::optional<std::variant<configuration::SiteConfiguration, RowProblem>>(const TableRow &)> readConfiguration;
    std::function<std::variant<RegisteredEndpoint, RowProblem>(const TableRow &)> readEndpoint;
};

struct StoreFeedOptions
{
    std::chrono::milliseconds configurationWait {2'000};
    std::chrono::milliseconds endpointsWait {2'000};
};

/// Handlers of a feed; all run on its strand.
struct StoreFeedHandlers
{
    /// A newer configuration, with the endpoints that are known.
    std::function<void(configuration::SiteConfiguration)> configurationChanged;
    /// The store confirmed that there was no newer configuration at the given time.
    std::function<void(support::BootClock::time_point)> configurationProven;
    std::function<void(const std::vector<configuration::Endpoint> &)> endpointsChanged;
};

/// Follows configuration and endpoints in a store and passes on what has changed.
///
/// A damaged row is logged and changes nothing but itself: the last configuration stays, and a damaged entry names no
/// endpoint.
class StoreFeed : public std::enable_shared_from_this<StoreFeed>
{
public:
    StoreFeed(boost::asio::io_context &context, StoreFeedOptions options, StoreFeedSources sources, StoreFeedHandlers handlers);

    // Commands
    void start();
    void stop();
    void setMode(FollowMode mode);
    /// Takes what another router knows, as of the ages before the given time or later.
    void recordPeer(const permits::StoreFreshness &peer, support::BootClock::time_point heardAt);

    // Queries
    [[nodiscard]] permits::StoreFreshness progress() const;

private:
    void onConfigurationRows(const std::vector<TableRow> &rows, support::BootClock::time_point sentAt);
    void onEndpointRows(RowsKind kind, const std::vector<TableRow> &rows);
    bool recordRow(const TableRow &row, EndpointRegistry::TimePoint now);
    bool removeMissing(const std::vector<TableRow> &rows, EndpointRegistry::TimePoint now);
    void publishEndpoints();
    void armLapse();

    boost::asio::io_context &context_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer lapseTimer_;
    StoreFeedOptions options_;
    StoreFeedSources sources_;
    StoreFeedHandlers handlers_;
    std::shared_ptr<TableFollower> configurationFollower_;
    std::shared_ptr<TableFollower> endpointFollower_;
    EndpointRegistry registry_;
    std::vector<configuration::Endpoint> published_;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
