#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Compares the endpoints' speeds with the pool's median if an evaluation is due.
///
/// Slow endpoints get fewer slots, much slower ones are put on probation: the slowest first, and never more than
/// SlowEndpointTuning::maximumPoolShare at once.
void evaluateEndpoints(Pool &pool, TimePoint now);

/// Resets endpoints to healthy, the fastest first, until at most SlowEndpointTuning::maximumPoolShare of the pool is
/// reduced or on probation.
void enforceSlowBound(Pool &pool);

/// Returns the number of slots that the endpoint may use in its state of health.
unsigned slotsByHealth(const Pool &pool, const EndpointState &endpoint, unsigned slots, TimePoint now);

/// Returns whether the request may be used as a probe of the endpoint, which must be on probation and due for a probe.
///
/// Probes are short first attempts. They are of the lowest tier, because a probe is likely to be slow, unless none has
/// arrived for SlowEndpointTuning::lowestTierWait.
bool maySendProbe(const Pool &pool, const EndpointState &endpoint, const WaitingRequest &request, TimePoint now);

/// Evaluates a running probe if it has produced enough tokens.
void recordProbeProgress(Pool &pool, ActiveRequest &request, TimePoint now);

/// Evaluates a probe that has ended.
void recordProbeEnd(Pool &pool, ActiveRequest &request, AttemptOutcome outcome, TimePoint now);

/// Returns the earliest time after now at which a probe is due or may use requests of all tiers.
std::optional<TimePoint> nextProbe(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
