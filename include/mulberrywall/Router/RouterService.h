#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Permits/PoolOwner.h"
#include "mulberrywall/Platform/InstanceList.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Router/ConfigurationWatcher.h"
#include "mulberrywall/Router/EndpointDirectory.h"
#include "mulberrywall/Router/EndpointWatcher.h"
#include "mulberrywall/Router/PermitPeerGroup.h"
#include "mulberrywall/Router/RouterState.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::router
{

/// Whether model engines are asked for their load and state.
enum class EndpointReports : std::uint8_t {
    Polled,
    None,
};

enum class DrainMode : std::uint8_t {
    Reject,
    /// Serve them and close their connections afterwards; refuse those that come after the grace.
    Serve,
};

struct RouterServiceOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    http::ServerOptions callerServer;
    http::ServerOptions adminServer;
    /// Key for the admin listener; empty lets everybody in.
    std::string operatorKey;
    RouterOptions router;
    /// Interface towards callers and endpoints; must outlive the service.
    const Dialect *dialect = &productDialect();
    /// Table service and instance list; without it there are no claims and no configuration changes.
    std::optional<platform::PlatformOptions> platform;
    /// Further address for the pages of the admin listener, such as one that metrics are read from.
    std::optional<boost::asio::ip::tcp::endpoint> metricsListen;
    /// Other routers; without it this router owns all pools of its configuration.
    std::optional<PermitPeerGroupOptions> peers;
    ConfigurationWatcherOptions configurationWatcher;
    EndpointReports endpointReports = EndpointReports::Polled;
    /// Time at shutdown during which the listener stays open, so that the load balancer notices before callers find the
    /// port closed.
    std::chrono::milliseconds drainGrace {0};
    /// What happens to new requests during the grace.
    DrainMode drainMode = DrainMode::Reject;
    /// Longest time that running requests get at shutdown after the grace period; 0 means no limit.
    std::chrono::milliseconds drainLimit {0};
};

/// A router process without its command line: listeners, pools and the drain at shutdown.
class RouterService
{
public:
    RouterService(boost::asio::io_context &context, RouterServiceOptions options, const policy::PolicyFunctions &policy);

    // Commands
    /// Starts the listeners and the watchers of configuration, peers, instances and endpoints.
    void start();
    /// Puts a configuration in force if its revision is higher.
    ConfigurationChange configure(configuration::SiteConfiguration configuration);
    /// Replaces the endpoints of the configuration in force.
    void setEndpoints(const std::vector<configuration::Endpoint> &endpoints);
    /// Notes that the configuration in force was the latest one at the given time.
    void renewConfiguration(support::BootClock::time_point confirmedAt);
    /// See RouterOptions.
    void setConfigurationLifetime(std::optional<std::chrono::milliseconds> lifetime);
    /// See RetryBudgets.
    void setRetryCapacity(double capacity);
    /// Refuses new requests, lets running ones end and then calls the handler. Call once.
    void drain(std::function<void()> handler);

    // Queries
    [[nodiscard]] bool isReady() const;
    /// The pools that this router decides about; valid as long as the service.
    [[nodiscard]] permits::PoolTable &pools()
    {
        return pools_;
    }
    [[nodiscard]] boost::asio::ip::tcp::endpoint callerEndpoint() const;
    [[nodiscard]] boost::asio::ip::tcp::endpoint adminEndpoint() const;

private:
    void handleCaller(const http::ExchangePtr &exchange);
    void handleAdmin(const http::ExchangePtr &exchange);
    /// Empty when requests are served.
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
    void waitUntilIdle();
    void endDrain();

    boost::asio::io_context &context_;
    RouterServiceOptions options_;
    permits::PoolTable pools_;
    EndpointDirectory endpoints_;
    /// Null without other routers.
    std::shared_ptr<PermitPeerGroup> peers_;
    std::shared_ptr<ConfigurationWatcher> configurationWatcher_;
    RouterState state_;
    std::shared_ptr<http::Server> callerServer_;
    std::shared_ptr<http::Server> adminServer_;
    /// Null without a second address for the admin pages.
    std::shared_ptr<http::Server> metricsServer_;
    std::shared_ptr<EndpointWatcher> endpointWatcher_;
    std::shared_ptr<platform::InstanceList> instanceList_;
    boost::asio::steady_timer drainTimer_;
    policy::TimePoint drainDeadline_ = policy::TimePoint::max();
    std::function<void()> onDrained_;
    /// New requests are refused because the process ends.
    std::atomic<bool> rejectsNewRequests_ {false};
};

} // namespace mulberrywall::router
