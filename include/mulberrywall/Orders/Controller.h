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
    /// Sent as bearer key to engines that check the sender of an order, and to no others.
    std::string orderKey;
    LeaseOptions lease;
    PlanOptions plan;
    /// Time between two reads of the configuration head.
    std::chrono::milliseconds headInterval {1'000};
    /// Time between two rounds of engine reports and orders.
    std::chrono::milliseconds engineInterval {1'000};
    /// Longest wait for an engine's answer; below the lease margin, so that no order outlives the lease.
    std::chrono::milliseconds engineTimeout {500};
};

/// Sends the engine orders of a data centre while it holds the lease.
///
/// Runs on a strand of its own; start and stop are thread-safe.
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
    /// Sends no further order, releases the lease when it holds one and then calls the handler.
    virtual void stop(std::function<void()> handler) = 0;
};

} // namespace mulberrywall::orders
