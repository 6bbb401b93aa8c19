#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Selects the engines that get an order. Performs no I/O and reads no clock.
namespace mulberrywall::orders
{

using TimePoint = std::chrono::steady_clock::time_point;

/// Desired state of an engine.
struct DesiredEngine
{
    support::EndpointId id;
    std::string address;
    std::uint16_t port = 0;
    std::set<std::string> models;
    std::set<std::string> adapters;
    /// If empty, the engine keeps its current version.
    std::string version;
    /// If empty, the engine keeps its current role.
    std::string role;
    configuration::EndpointSupport support;

    friend bool operator==(const DesiredEngine &, const DesiredEngine &) = default;
};

/// Last report of an engine and the times of its last orders.
struct ObservedEngine
{
    /// Time of the last report; unset until the first one. If an engine does not respond, its last report is kept.
    std::optional<TimePoint> reportedAt;
    /// Models that are loaded and serve requests.
    std::set<std::string> ready;
    std::set<std::string> loading;
    std::set<std::string> adapters;
    std::string version;
    std::string role;
    /// Time of the last order that has or may have taken effect.
    std::optional<TimePoint> orderedAt;
    /// Time of the last order, including refused ones.
    std::optional<TimePoint> attemptedAt;
};

using ObservedEngines = std::map<support::EndpointId, ObservedEngine>;

struct PlanOptions
{
    /// Maximum number of engines of the data centre that load models at the same time. The weight store is rate-limited.
    std::size_t maxLoads = 1;
    /// Age above which a report is ignored.
    std::chrono::milliseconds reportMaxAge {5'000};
    /// Time for which an order may remain without effect on the reports, and delay before the next order to the engine.
    std::chrono::milliseconds orderRetry {5'000};
};

/// Returns the model engines of the site, ordered by id. The desired models of an engine are its pools.
std::vector<DesiredEngine> desiredEngines(const configuration::SiteConfiguration &site);

/// Returns the engines that get an order now, in the order of their priority.
///
/// An engine that is loading counts as out of service. No order removes the last ready replica of a model that the site
/// still needs. Engines for models without a ready replica have priority. After that, the engine with the oldest last
/// order has priority, so that an engine that refuses its orders does not delay the others.
std::vector<support::EndpointId> planOrders(std::span<const DesiredEngine> desired, const ObservedEngines &observed, const PlanOptions &options, TimePoint now);

/// Renders the body of POST /v1/orders. expiresAt is wall-clock time.
std::string renderOrder(const DesiredEngine &desired, std::uint64_t fencing, std::chrono::system_clock::time_point expiresAt);

/// Parses the body of GET /v1/state into the observed state. Returns false if it cannot be parsed.
bool parseEngineState(ObservedEngine &observed, std::string_view text, TimePoint now);

} // namespace mulberrywall::orders
