#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Compares the endpoints' speeds with the pool's median when an evaluation is due.
///
/// Slow ones get a reduced share, much slower ones are put on probation, the slowest first and never more than the
/// configured part of the pool at once.
void evaluateEndpoints(Pool &pool, TimePoint now);

/// Makes endpoints healthy again until no more than the configured part of the pool is reduced or on probation.
void enforceSlowBound(Pool &pool);

/// Returns how many of the slots the endpoint's health allows it to use.
unsigned slotsByHealth(const Pool &pool, const EndpointState &endpoint, unsigned slots, TimePoint now);

/// Returns whether the request may serve as a probe of the endpoint, which is on probation and due for a probe.
///
/// Probes are short first attempts of the lowest tier, unless none came for a while, because a probe is likely to be slow.
bool maySendProbe(const Pool &pool, const EndpointState &endpoint, const WaitingRequest &request, TimePoint now);

/// Judges a probe that made progress.
void recordProbeProgress(Pool &pool, ActiveRequest &request, TimePoint now);

/// Judges a probe that ended.
void recordProbeEnd(Pool &pool, ActiveRequest &request, AttemptOutcome outcome, TimePoint now);

/// Returns the earliest time after now at which a probe is due or becomes open to all tiers.
std::optional<TimePoint> nextProbe(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
