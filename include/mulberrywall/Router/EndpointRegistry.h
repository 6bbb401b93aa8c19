#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mulberrywall::router
{

/// Entry of an endpoint in the store's registry of endpoints, written by the endpoint itself.
struct RegisteredEndpoint
{
    configuration::Endpoint endpoint;
    support::DataCentreId dataCentre;
    /// True if the endpoint completes its running requests and accepts no new ones.
    bool leaving = false;
    /// True if the platform may reclaim the endpoint, together with all others of its kind in the data centre.
    bool spot = false;
    /// Time for which the endpoint remained when the entry was written; empty if it has no notice.
    std::optional<std::chrono::milliseconds> leavesIn;

    friend bool operator==(const RegisteredEndpoint &, const RegisteredEndpoint &) = default;
};

/// Local copy of the endpoint registry, which determines the endpoints that receive work.
///
/// Entries expire while the store is unavailable, because endpoints cannot renew them. An expired entry
/// is kept for a grace period after the store has recovered, within which a running endpoint registers
/// again.
struct EndpointRegistry
{
    using TimePoint = std::chrono::steady_clock::time_point;

    std::map<support::EndpointId, RegisteredEndpoint> entries;
    /// Entries that are missing in the store, with the time at which they are removed here.
    std::map<support::EndpointId, TimePoint> expired;
    /// End of the grace period after the store has recovered.
    TimePoint graceEnd = TimePoint::min();
};

/// Time that a running endpoint needs to register again after the store has recovered.
inline constexpr std::chrono::milliseconds registrationGrace {2'000};

// Commands

/// Starts the grace period.
void recordStoreRecovered(EndpointRegistry &registry, EndpointRegistry::TimePoint now);

/// Inserts or replaces an entry. Returns whether the usable endpoints may have changed, which the remaining time of a leaving
/// endpoint does not influence.
bool recordEntry(EndpointRegistry &registry, RegisteredEndpoint entry);

/// Removes an entry, during the grace period only at its end unless the entry is leaving. Returns
/// whether the usable endpoints may have changed.
bool removeEntry(EndpointRegistry &registry, const support::EndpointId &id, EndpointRegistry::TimePoint now);

/// Removes the entries whose expiry time has passed. Returns whether the usable endpoints may have
/// changed.
bool removeExpired(EndpointRegistry &registry, EndpointRegistry::TimePoint now);

// Queries

/// Returns the endpoints that receive new work.
std::vector<configuration::Endpoint> usableEndpoints(const EndpointRegistry &registry);

/// Returns all entries, including those of endpoints that leave.
std::vector<RegisteredEndpoint> registeredEndpoints(const EndpointRegistry &registry);

/// Returns the time at which removeExpired must be called next, or nothing if no entry has expired.
std::optional<EndpointRegistry::TimePoint> nextExpiry(const EndpointRegistry &registry);

} // namespace mulberrywall::router
