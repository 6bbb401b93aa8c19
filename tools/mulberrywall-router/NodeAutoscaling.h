#pragma once

#include "NodeMetering.h"

#include "mulberrywall/Router/CapacityController.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <vector>

namespace mulberrywall::router
{

/// Connects the orders of endpoints with the other parts of a router on the users' platform. Thread-safe.
class NodeAutoscaling : public std::enable_shared_from_this<NodeAutoscaling>
{
public:
    /// The service must outlive the autoscaling.
    NodeAutoscaling(boost::asio::io_context &context,
        RouterService &service,
        const NodeDuties &duties,
        std::shared_ptr<const NodeMetering> metering,
        const std::shared_ptr<const LiveMembers> &members);

    // Commands
    /// Begins to collect the demand of the routers.
    void start();
    void stop();
    void setEndpoints(std::vector<RegisteredEndpoint> endpoints);
    /// Returns the duty that orders endpoints; the caller adds it to the runner.
    [[nodiscard]] duties::DutyTask makeTask();

private:
    void recordDemand();

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<const NodeMetering> metering_;
    std::shared_ptr<CapacityController> controller_;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
