#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <optional>

/// Endpoints that state for how long they accept no requests, for services that shed load by themselves.
namespace mulberrywall::policy
{

/// Records that the endpoint accepts no requests for the given time. A shorter statement never ends a longer one.
void recordRefusalTime(EndpointState &endpoint, std::chrono::milliseconds refusesFor, TimePoint now);

/// Returns whether the endpoint accepts no requests now.
bool refusesRequests(const EndpointState &endpoint, TimePoint now);

/// Returns whether the pool may forget the endpoint: it has left the list, runs nothing, and accepts requests.
///
/// An entry may lapse and return while its endpoint runs on. What the endpoint has stated must hold then as well.
bool mayForget(const EndpointState &endpoint, TimePoint now);

/// Returns the earliest time after now at which an endpoint accepts requests again.
std::optional<TimePoint> nextRefusalEnd(const Pool &pool, TimePoint now);

/// Returns the time after which the caller should send the request again if no endpoint accepts it for longer than it may
/// reasonably wait; otherwise std::nullopt. The time differs between requests, so that callers do not return together,
/// and those of a higher tier return first.
std::optional<std::chrono::milliseconds> rejectForRefusal(const Pool &pool, const Submission &submission, TimePoint now);

} // namespace mulberrywall::policy
