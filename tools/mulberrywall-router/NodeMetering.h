#pragma once

#include "LiveMembers.h"
#include "NodeDuties.h"

#include "mulberrywall/Metering/Metering.h"
#include "mulberrywall/Router/RouterService.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrywall::router
{

/// Returns the counter of this process, or nullptr if the settings name neither duty that needs its numbers.
[[nodiscard]] std::shared_ptr<metering::UsageCounter> makeUsageCounter(const platform::NodeSettings &settings);

/// Connects usage metering with the other parts of a router on the users' platform.
///
/// Metering starts when the secret of the routers is known, which may be after this router has acquired the lease. Thread-safe.
class NodeMetering : public std::enable_shared_from_this<NodeMetering>
{
public:
    /// The service must outlive the metering.
    NodeMetering(boost::asio::io_context &context,
        RouterService &service,
        const platform::NodeSettings &settings,
        std::shared_ptr<metering::UsageCounter> counter,
        NodeDuties duties,
        std::shared_ptr<const LiveMembers> members);

    // Commands
    /// Starts the exchange of counts with the other routers, authenticated by their secret.
    void start(const std::string &secret);
    /// Ends metering and sends the last counts. To be called when no request runs any more.
    void stop();
    /// Returns the duty that reports usage; the caller adds it to the runner.
    [[nodiscard]] duties::DutyTask makeTask();

    // Queries
    /// Returns the latest demand of the routers; empty until metering has started.
    [[nodiscard]] std::vector<metering::RouterDemand> demand() const;

private:
    void setHolder(bool isHolder);
    [[nodiscard]] metering::MeteringOptions makeOptions(const std::string &secret) const;
    [[nodiscard]] metering::MeteringDependencies makeDependencies() const;

    boost::asio::io_context &context_;
    RouterService &service_;
    platform::NodeSettings settings_;
    std::shared_ptr<metering::UsageCounter> counter_;
    NodeDuties duties_;
    std::shared_ptr<const LiveMembers> members_;
    /// Protects the members below. No other lock is taken while it is held.
    mutable std::mutex mutex_;
    std::shared_ptr<metering::Metering> metering_;
    bool isHolder_ = false;
};

} // namespace mulberrywall::router
