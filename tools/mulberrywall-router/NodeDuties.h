#pragma once

#include "platform/ControlClient.h"
#include "platform/NodeSettings.h"
#include "platform/StoreClient.h"

#include "mulberrywall/Duties/DutyRunner.h"
#include "mulberrywall/Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace mulberrywall::router
{

/// Table of the routers in the store.
inline constexpr std::string_view routerTable = "mulberrywall";

/// Names of the duties in the settings.
inline constexpr std::string_view meteringDuty = "metering";
inline constexpr std::string_view autoscalingDuty = "autoscale";

/// The parts of a router that perform the platform's duties while it holds their lease.
struct NodeDuties
{
    /// Client of the store for the lease and the rows of the duties, with timeouts that suit the lease.
    std::shared_ptr<platform::StoreClient> store;
    std::shared_ptr<platform::ControlClient> control;
    std::shared_ptr<duties::DutyRunner> runner;
};

/// Returns the parts, or std::nullopt if the settings name no duties. The metrics must outlive them. Tasks are added before the runner is
/// started.
std::optional<NodeDuties> makeNodeDuties(boost::asio::io_context &context, const platform::NodeSettings &settings, support::MetricsRegistry &metrics);

/// Returns whether the settings name the duty.
[[nodiscard]] bool hasDuty(const platform::NodeSettings &settings, std::string_view name);

} // namespace mulberrywall::router
