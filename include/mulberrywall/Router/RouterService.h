#pragma once

#include "mulberrywall/BackingServices/InstanceList.h"
#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Metering/UsageCounter.h"
#include "mulberrywall/Permits/OwnedPool.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Router/AdminPages.h"
#include "mulberrywall/Router/ConfigurationWatcher.h"
#include "mulberrywall/Router/EndpointDirectory.h"
#include "mulberrywall/Router/EndpointWatcher.h"
#include "mulberrywall/Router/PermitPeerGroup.h"
#include "mulberrywall/Router/ResourceLimits.h"
#include "mulberrywall/Router/RouterState.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::router
{

/// Whether the router polls model engines for their load and state.
enum class EndpointReports : std::uint8_t {
    Polled,
    None,
};

/// How a draining router handles requests that arrive during the grace period.
enum class DrainMode : std::uint8_t {
    Reject,
    /// Serve requests and close their connections afterwards; reject requests that arrive after the
    /// grace period.
    Serve,
};

struct RouterServiceOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    http::ServerOptions callerServer;
    http::ServerOptions adminServer;
    /// Bearer key for the admin listener; if empty, the listener accepts every request.
    std::string operatorKey;
    RouterOptions router;
    /// HTTP interface to callers and endpoints; must outlive the service.
    const Dialect *dialect = &productDialect();
    /// Counts requests and demand; null if metering is not configured.
    std::shared_ptr<metering::UsageCounter> usage;
    /// Table service and instance list; without them there are no key reservations and no configuration
    /// changes.
    std::optional<backingservices::BackingServiceOptions> platform;
    /// Additional address for the pages of the admin listener, for example for metrics collection.
    std::optional<boost::asio::ip::tcp::endpoint> metricsListen;
    /// Options of the peer group; without them this router owns all pools of its configuration.
    std::optional<PermitPeerGroupOptions> peers;
    ConfigurationWatcherOptions configurationWatcher;
    EndpointReports endpointReports = EndpointReports::Polled;
    /// Time at shutdown during which the listener stays open, so that the load balancer detects the
    /// shutdown before connections of callers are refused.
    std::chrono::milliseconds drainGrace {0};
    /// How new requests are handled during the grace period.
    DrainMode drainMode = DrainMode::Reject;
    /// Maximum time that running requests may take at shutdown after the grace period; 0 means no limit.
    std::chrono::milliseconds drainLimit {0};
};

/// Applies bounds that are derived from the limits of the instance; bounds of 0 change nothing.
void applyResourceLimits(RouterServiceOptions &options, const ResourceLimits &limits);

/// The components of a router process except its command line: listeners, pools, watchers and the drain
/// at shutdown.
class RouterService
{
public:
    RouterService(boost::asio::io_context &context, RouterServiceOptions options, const policy::PolicyFunctions &policy);

    // Commands
    /// Starts the listeners, the peer group and the watchers of configuration, instances and endpoints.
    void start();
    /// Puts a configuration in force if its revision is higher than the current one.
    ConfigurationChange configure(configuration::SiteConfiguration configuration);
    /// Replaces the endpoints of the configuration in force.
    void setEndpoints(const std::vector<configuration::Endpoint> &endpoints);
    /// Records that the configuration in force was the latest one at the given time.
    void renewConfiguration(support::BootClock::time_point confirmedAt);
    /// Sets RouterOptions::configurationLifetime for the running service.
    void setConfigurationLifetime(std::optional<std::chrono::milliseconds> lifetime);
    /// Sets the capacity of the retry budgets; see RetryBudgets.
    void setRetryCapacity(double capacity);
    /// Starts the shutdown: rejects new requests as the drain mode says, waits for running ones and
    /// then calls the handler. Must be called only once.
    void drain(std::function<void()> handler);

    // Queries
    [[nodiscard]] bool isReady() const;
    /// Returns the table of pools that this router owns; valid as long as the service.
    [[nodiscard]] permits::PoolTable &pools()
    {
        return pools_;
    }
    /// Returns the number of requests that wait for an endpoint, by pool.
    [[nodiscard]] std::map<support::PoolId, std::uint32_t> waitingRequests() const;
    /// Returns the metrics of this router; valid as long as the service.
    [[nodiscard]] support::MetricsRegistry &metrics()
    {
        return state_.metrics;
    }
    /// Returns the configuration in force, or nullptr before the first one.
    [[nodiscard]] ConfigurationSnapshot configuration() const
    {
        return state_.configuration.current();
    }
    [[nodiscard]] boost::asio::ip::tcp::endpoint callerEndpoint() const;
    [[nodiscard]] boost::asio::ip::tcp::endpoint adminEndpoint() const;

private:
    void handleCaller(const http::ServerExchangePtr &exchange);
    /// Returns the response to a request that is rejected before its body is read.
    [[nodiscard]] std::optional<http::Response> checkCallerHeader(const http::RequestHeader &request);
    [[nodiscard]] http::ServerOptions makeCallerServerOptions();
    [[nodiscard]] http::ServerOptions makeAdminServerOptions(http::ServerOptions options);
    [[nodiscard]] AdminContext adminContext();
    [[nodiscard]] http::Response makeNotReadyResponse(const std::string &reason);
    [[nodiscard]] http::Response makeRejection(const http::Problem &problem, std::uint64_t revision);
    void handleAdmin(const http::ServerExchangePtr &exchange);
    /// Returns the reason why requests cannot be served now, or an empty string if they can.
    [[nodiscard]] std::string unavailabilityReason(const ConfigurationSnapshot &configuration) const;
    void applyCallerLimits(const configuration::SiteConfiguration &configuration);
    [[nodiscard]] std::shared_ptr<http::Server> makeMetricsServer();
    [[nodiscard]] std::shared_ptr<PermitPeerGroup> makePermitPeerGroup();
    [[nodiscard]] std::shared_ptr<ConfigurationWatcher> makeConfigurationWatcher();
    void onRevision(const RevisionPtr &revision);
    void announceLeaving(const support::EndpointId &endpoint, IncarnationHash incarnation);
    void startWatchers();
    void stopWatchers();
    void endGrace();
    /// Ends requests as the end of the process comes nearer: first those that wait, then those that run.
    void endRequestsInTime(policy::TimePoint now);
    void waitUntilIdle();
    void endDrain();

    boost::asio::io_context &context_;
    RouterServiceOptions options_;
    permits::PoolTable pools_;
    EndpointDirectory endpoints_;
    /// Null if this router has no peers.
    std::shared_ptr<PermitPeerGroup> peers_;
    std::shared_ptr<ConfigurationWatcher> configurationWatcher_;
    RouterState state_;
    std::shared_ptr<http::Server> callerServer_;
    std::shared_ptr<http::Server> adminServer_;
    /// Null if there is no additional address for the admin pages.
    std::shared_ptr<http::Server> metricsServer_;
    std::shared_ptr<EndpointWatcher> endpointWatcher_;
    std::shared_ptr<backingservices::InstanceList> instanceList_;
    boost::asio::steady_timer drainTimer_;
    /// Time of the shutdown from which no attempt starts.
    policy::TimePoint lastStartAt_ = policy::TimePoint::max();
    /// Time of the shutdown at which running requests are aborted.
    policy::TimePoint abortAt_ = policy::TimePoint::max();
    policy::TimePoint drainDeadline_ = policy::TimePoint::max();
    bool aborted_ = false;
    /// Time since which no request is active during a shutdown.
    std::optional<policy::TimePoint> idleSince_;
    std::function<void()> onDrained_;
    /// True if new requests are rejected because the process is shutting down.
    std::atomic<bool> rejectsNewRequests_ {false};
};

} // namespace mulberrywall::router
