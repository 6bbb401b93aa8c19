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

/// Decides which engines get an order, without I/O and without a clock of its own.
namespace mulberrywall::orders
{

using TimePoint = std::chrono::steady_clock::time_point;

/// What an engine should have loaded.
struct DesiredEngine
{
    support::EndpointId id;
    std::string address;
    std::uint16_t port = 0;
    std::set<std::string> models;
    std::set<std::string> adapters;
    /// Empty when the engine may keep the one it has.
    std::string version;
    /// Empty when the engine may keep the one it has.
    std::string role;
    configuration::EndpointSupport support;

    friend bool operator==(const DesiredEngine &, const DesiredEngine &) = default;
};

/// What an engine reported last, and what it was ordered.
struct ObservedEngine
{
    /// Unset until the first report. An engine that does not answer keeps its last report.
    std::optional<TimePoint> reportedAt;
    /// Models that serve requests.
    std::set<std::string> ready;
    std::set<std::string> loading;
    std::set<std::string> adapters;
    std::string version;
    std::string role;
    /// Time of the last order that is or may be in effect.
    std::optional<TimePoint> orderedAt;
    /// Time of the last order, whatever became of it.
    std::optional<TimePoint> attemptedAt;
};

using Observations = std::map<support::EndpointId, ObservedEngine>;

struct PlanOptions
{
    /// Engines of the data centre that may load at the same time; the weight store is rate-limited.
    std::size_t maxLoads = 1;
    /// An older report says nothing about the present.
    std::chrono::milliseconds reportMaxAge {5'000};
    /// Time that an engine has to show the effect of an order, and before it gets the next one.
    std::chrono::milliseconds orderRetry {5'000};
};

/// Returns the model engines of the site with the pools they belong to as models, ordered by id.
std::vector<DesiredEngine> desiredEngines(const configuration::SiteConfiguration &site);

/// Returns the engines that get an order now, the most urgent first.
///
/// An engine counts as out of service while it loads. No order takes the last ready replica of a model that the site
/// still wants. Models without any ready replica come first, then the engines whose last order is the longest ago, so
/// that an engine that refuses its orders does not hold up the others.
std::vector<support::EndpointId> planOrders(std::span<const DesiredEngine> desired, const Observations &observed, const PlanOptions &options, TimePoint now);

/// Renders the body of POST /v1/orders; expiresAt is by the wall clock.
std::string renderOrder(const DesiredEngine &desired, std::uint64_t fencing, std::chrono::system_clock::time_point expiresAt);

/// Takes the body of GET /v1/state into account. Returns false when it cannot be parsed.
bool readState(ObservedEngine &observed, std::string_view text, TimePoint now);

} // namespace mulberrywall::orders
