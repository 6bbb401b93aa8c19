#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mulberrywall::router
{

/// What an endpoint says of itself in the registry of endpoints.
struct RegisteredEndpoint
{
    configuration::Endpoint endpoint;
    support::DataCentreId dataCentre;
    /// The endpoint ends its running requests and takes no new ones.
    bool leaving = false;

    friend bool operator==(const RegisteredEndpoint &, const RegisteredEndpoint &) = default;
};

/// Endpoints by what they registered, and which of them get work.
///
/// Entries lapse while the registry's store is away, because endpoints cannot renew them. Such an entry is kept for a
/// grace time after the store's return, in which a living endpoint registers again.
struct EndpointRegistry
{
    using TimePoint = std::chrono::steady_clock::time_point;

    std::map<support::EndpointId, RegisteredEndpoint> entries;
    /// Entries that are missing in the registry, with the time at which they count as gone.
    std::map<support::EndpointId, TimePoint> expired;
    /// End of the grace time after the store's return.
    TimePoint graceEnd = TimePoint::min();
};

/// Time that a living endpoint needs to register again after the store's return.
inline constexpr std::chrono::milliseconds registrationGrace {2'000};

// Commands

/// Starts the grace time.
void recordStoreRecovered(EndpointRegistry &registry, EndpointRegistry::TimePoint now);

/// Takes an entry. Returns whether the usable endpoints may have changed.
bool recordEntry(EndpointRegistry &registry, RegisteredEndpoint entry);

/// Removes an entry, at once or after the grace time. An entry that was leaving goes at once.
bool removeEntry(EndpointRegistry &registry, const support::EndpointId &id, EndpointRegistry::TimePoint now);

/// Removes what has lapsed. Returns whether the usable endpoints may have changed.
bool removeExpired(EndpointRegistry &registry, EndpointRegistry::TimePoint now);

// Queries

/// Returns the endpoints that get new work.
std::vector<configuration::Endpoint> usableEndpoints(const EndpointRegistry &registry);

/// Returns when removeExpired has to be called next; nothing when no entry has lapsed.
std::optional<EndpointRegistry::TimePoint> nextExpiry(const EndpointRegistry &registry);

} // namespace mulberrywall::router
