#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"
#include "mulberrywall/Orders/Lease.h"
#include "mulberrywall/Orders/Plan.h"
#include "mulberrywall/Support/Ids.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace mulberrywall::orders
{

struct ControllerOptions
{
    backingservices::BackingServiceOptions platform;
    support::DataCentreId dataCentre;
    support::InstanceId instance;
    /// Bearer key that is sent only to engines that authenticate the sender of an order.
    std::string orderKey;
    LeaseOptions lease;
    PlanOptions plan;
    /// Polling interval of the configuration head.
    std::chrono::milliseconds headInterval {1'000};
    /// Interval of the rounds that request the state of the engines and send orders.
    std::chrono::milliseconds engineInterval {1'000};
    /// Timeout of a request to an engine. Less than the lease margin, so that no order is delivered after the lease has
    /// expired.
    std::chrono::milliseconds engineTimeout {500};
};

/// Sends orders to the engines of a data centre while this process holds the data centre's lease.
///
/// Runs on its own strand. start and stop are thread-safe.
class Controller
{
public:
    static std::shared_ptr<Controller> create(boost::asio::io_context &context, const ControllerOptions &options);

    Controller() = default;
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;
    Controller(Controller &&) = delete;
    Controller &operator=(Controller &&) = delete;
    virtual ~Controller() = default;

    virtual void start() = 0;
    /// Stops sending orders, releases the lease if it is held and then calls the handler.
    virtual void stop(std::function<void()> handler) = 0;
};

} // namespace mulberrywall::orders
