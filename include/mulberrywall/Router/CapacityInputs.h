#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Policy/Autoscaling.h"
#include "mulberrywall/Router/EndpointRegistry.h"

#include <functional>
#include <optional>
#include <span>

namespace mulberrywall::router
{

/// Queries about a pool over all routers, as far as this router knows.
struct CapacityQueries
{
    std::function<policy::PoolDemand(const support::PoolId &)> demand;
    /// Requests that run and prompts that are pending, by endpoint. May be empty.
    std::function<policy::PeerSummary(const support::PoolId &)> load;
    /// Returns the learned prefill speed of an endpoint in tokens per second, or nothing if it is unknown. May be empty.
    std::function<std::optional<double>(const support::PoolId &, const support::EndpointId &)> prefillSpeed;
};

/// Collects what the plan of the number of endpoints depends on, for the pools of the configuration that have a scaling.
[[nodiscard]] policy::CapacityInputs collectCapacityInputs(const configuration::SiteConfiguration &configuration,
    std::span<const RegisteredEndpoint> endpoints,
    const CapacityQueries &queries,
    const policy::CapacityTuning &tuning);

/// Returns what the registered endpoints of the pool cost in one second, including those that leave.
[[nodiscard]] double costPerSecond(const policy::PoolCapacityInputs &pool);

} // namespace mulberrywall::router
