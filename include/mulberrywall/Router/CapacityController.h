#pragma once

#include "mulberrywall/Policy/Autoscaling.h"
#include "mulberrywall/Policy/DemandMeter.h"
#include "mulberrywall/Router/ActiveConfiguration.h"
#include "mulberrywall/Router/CapacityInputs.h"
#include "mulberrywall/Support/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace mulberrywall::router
{

struct CapacityControllerOptions
{
    std::chrono::milliseconds interval {1'000};
    /// Limit on the orders in one interval; the API accepts few calls a second from all routers together.
    std::size_t maximumOrders = 6;
    policy::CapacityTuning tuning;
    policy::DemandMeterOptions demand;
};

using CapacityOrderHandler = std::function<void(policy::CapacityOrderResult)>;

struct CapacityControllerSources
{
    std::function<ConfigurationSnapshot()> configuration;
    /// Returns the routers that are live, including this one.
    std::function<std::set<support::InstanceId>()> liveRouters;
    /// CapacityQueries::load and CapacityQueries::prefillSpeed; either may be empty.
    std::function<policy::PeerSummary(const support::PoolId &)> load;
    std::function<std::optional<double>(const support::PoolId &, const support::EndpointId &)> prefillSpeed;
    /// Sends an order if the duty is still held, and Rejected otherwise. The handler is called exactly once, from any thread.
    std::function<void(const policy::CapacityOrder &, CapacityOrderHandler)> sendOrder;
};

/// Orders endpoints while this router holds the duty for it. Thread-safe; the work is done on a strand.
///
/// The demand is recorded at all times, so that a new holder knows it at once if it has been a candidate.
class CapacityController : public std::enable_shared_from_this<CapacityController>
{
public:
    CapacityController(
        boost::asio::io_context &context, support::MetricsRegistry &metrics, CapacityControllerOptions options, CapacityControllerSources sources);

    // Commands
    /// Begins to order, with an empty plan.
    void becomeHolder();
    void loseDuty();
    /// Replaces the registered endpoints, see StoreWatcherHandlers::registryChanged.
    void setEndpoints(std::vector<RegisteredEndpoint> endpoints);
    /// Records the demand of a router, also of this one.
    void recordDemand(policy::DemandReport report);

private:
    void plan();
    void armTimer();
    void send(const policy::CapacityOrder &order, const policy::CapacityInputs &inputs, policy::TimePoint now);
    void onResult(std::uint64_t term, const policy::CapacityOrder &order, policy::CapacityOrderResult result);
    void publishMetrics(const policy::PoolCapacityInputs &pool);

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    support::MetricsRegistry &metrics_;
    CapacityControllerOptions options_;
    CapacityControllerSources sources_;
    /// Empty until the registry was read: orders for the minimum would remove all others.
    std::optional<std::vector<RegisteredEndpoint>> endpoints_;
    policy::DemandMeter demand_;
    policy::CapacityPlanState plan_;
    bool isHolder_ = false;
    /// Number of the term as holder; results of orders from an earlier one are ignored.
    std::uint64_t term_ = 0;
};

} // namespace mulberrywall::router
