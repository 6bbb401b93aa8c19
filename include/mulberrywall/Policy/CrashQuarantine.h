#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns how many crashes the request is still held responsible for; 0 means that it is no suspect.
unsigned attributedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Returns the number of crashes to tell other owners, which refuse the request by the same bound.
unsigned reportedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Returns whether the request is refused for its crashes.
///
/// A crash counts less once the request has got past its place on another endpoint: a request that crashes engines
/// does so again at the same place.
bool isRejectedForCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Returns how long the suspicion will last.
std::chrono::milliseconds remainingQuarantine(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Suspects every request on the endpoint of a request that failed with it, and asks to cancel other copies of
/// requests that crashed too often. Later failures from the same crash change nothing.
void recordEndpointCrash(Pool &pool, const ActiveRequest &failed, TimePoint now, Decisions &decisions);

/// Records how far the answer was when the endpoint crashed. Call it after recordEndpointCrash for each failed request.
void recordLengthAtCrash(Pool &pool, ActiveRequest &request);

/// Learns from progress that the request did not run on a crashed process, or that a suspect has passed its trial.
/// Call it only for new tokens.
void recordQuarantinedProgress(Pool &pool, ActiveRequest &request);

/// Clears the suspicion against a request that has run to its end.
void clearCompletedRequest(Pool &pool, const ActiveRequest &request);

/// Learns of a suspect from another owner. The suspicion ends when it ends there, and hearing the same again does not
/// prolong it; owners that prolonged it by what they tell each other would never forget.
void mergeQuarantineEntry(Pool &pool, const QuarantineEntry &received, TimePoint now);

/// Returns the endpoint for a suspect, or nullptr when it has to wait.
///
/// Suspects run one at a time, on an idle endpoint. Without one, a large pool empties an endpoint; after a bound the
/// suspect shares an endpoint with others.
EndpointState *selectEndpointForQuarantined(Pool &pool, const WaitingRequest &request, TimePoint now);

/// Returns whether the endpoint takes no requests other than a suspect.
bool isIsolated(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Puts a suspect that starts to run on trial.
void startIsolatedRun(Pool &pool, ActiveRequest &request, TimePoint now);

/// Ends the trial of a request that ended or has survived it.
void endIsolatedRun(Pool &pool, const ActiveRequest &request);

/// Stops emptying an endpoint that no suspect can use.
void cancelUnusedIsolation(Pool &pool, TimePoint now);

/// Returns the earliest time after now at which a waiting suspect may get an endpoint by time alone.
std::optional<TimePoint> nextQuarantineChange(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
