#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns the number of crashes that are still attributed to the request; 0 if it is not quarantined.
unsigned attributedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Returns the number of crashes to report to other owners, which reject the request at the same limit.
unsigned reportedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Returns whether the request is rejected because of the crashes attributed to it.
///
/// A crash counts less once the request has produced output past the position of that crash on another endpoint: a
/// request that crashes engines does so again at the same position.
bool isRejectedForCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Returns the time until the quarantine of the request expires.
std::chrono::milliseconds remainingQuarantine(const Pool &pool, Fingerprint fingerprint, TimePoint now);

/// Quarantines every request that was running on the endpoint of the failed request, and cancels other running copies
/// of requests that exceed the crash limit. Further failures caused by the same crash have no effect.
void recordEndpointCrash(Pool &pool, const ActiveRequest &failed, TimePoint now, Decisions &decisions);

/// Records the output length at which the endpoint crashed. Call it after recordEndpointCrash for each failed request.
void recordLengthAtCrash(Pool &pool, ActiveRequest &request);

/// Uses progress as evidence that the request did not run on a crashed process, or that a quarantined request has
/// survived its isolated run. Call it only for new tokens.
void recordQuarantinedProgress(Pool &pool, ActiveRequest &request);

/// Releases a request from quarantine because it has run to completion.
void clearCompletedRequest(Pool &pool, const ActiveRequest &request);

/// Records a quarantined request that another owner reported. The entry expires at the same time as there, and
/// repeated reports do not extend it; otherwise owners would renew each other's entries for ever.
void mergeQuarantineEntry(Pool &pool, const QuarantineEntry &received, TimePoint now);

/// Returns the endpoint for a quarantined request, or nullptr if the request has to wait.
///
/// Quarantined requests run one at a time, on an idle endpoint. If there is none, a large pool drains an endpoint; after
/// CrashTuning::isolationWait the request shares an endpoint with others.
EndpointState *selectEndpointForQuarantined(Pool &pool, const WaitingRequest &request, TimePoint now);

/// Returns whether the endpoint is reserved for a quarantined request.
bool isIsolated(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Starts the isolated run of a quarantined request that was granted.
void startIsolatedRun(Pool &pool, ActiveRequest &request, TimePoint now);

/// Ends the isolated run of a request that has ended or has run long enough without a crash.
void endIsolatedRun(Pool &pool, const ActiveRequest &request);

/// Stops draining an endpoint that no quarantined request can use.
void cancelUnusedIsolation(Pool &pool, TimePoint now);

/// Returns the earliest time after now at which a timeout may give a waiting quarantined request an endpoint.
std::optional<TimePoint> nextQuarantineChange(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
