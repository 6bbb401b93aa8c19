#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <optional>
#include <span>
#include <vector>

/// Quarantine of prompt segments, for requests that differ but share a segment on which engines crash.
///
/// Each crash is evidence against the segments of all requests that had no lasting output on the crashed engine. Lasting output
/// of any request is evidence for its segments. A segment is quarantined if engines crashed again and again without any
/// evidence for it; requests with it are then rejected. Routers share the evidence, because each of them sees few of the crashes.
namespace mulberrywall::policy
{

/// Returns a quarantined segment for which the request is rejected, or std::nullopt if it may run.
///
/// A request may run in spite of a quarantined segment if it is that segment's next trial. Only the router that saw the latest
/// crash makes trials, also after a restart, one at a time and after growing delays, so that all routers together make few.
std::optional<Fingerprint> rejectingSegment(const Pool &pool, const Submission &submission, TimePoint now);

/// Returns the time until the quarantine of the segment expires.
std::chrono::milliseconds remainingSegmentQuarantine(const Pool &pool, Fingerprint segment, TimePoint now);

/// Returns whether an endpoint crashed at that time because of a segment that is quarantined now. Such a crash says nothing about
/// the other requests that the endpoint was running.
bool isExplainedBySegment(const Pool &pool, TimePoint crashAt);

/// Makes the request the trial of its quarantined segments. Call it for each request that may run, before it is queued.
void startSegmentTrial(Pool &pool, const Submission &submission, TimePoint now);

/// Returns whether the request is the current trial of one of its segments.
bool isSegmentTrial(const Pool &pool, const Submission &submission);

/// Records a crash of the endpoint as evidence against the segments of the requests that it was running. Call it once for
/// each crash.
void recordSegmentCrash(Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Records output as evidence for the segments of the request, once it has lasted for a while or the request has completed.
void recordSegmentOutput(Pool &pool, ActiveRequest &request, TimePoint now);
void recordSegmentCompletion(Pool &pool, ActiveRequest &request, TimePoint now);

/// Merges the evidence of a peer. Evidence that is known already has no effect, so that routers may pass it on in circles.
void mergeSegmentEvidence(Pool &pool, std::span<const SegmentEvidence> evidence, TimePoint now);

/// Returns the evidence to pass on: that of quarantined segments and all that is new.
std::vector<SegmentEvidence> segmentEvidence(const Pool &pool, TimePoint now);

/// Returns the quarantined segments with the evidence, ordered by their hash.
std::vector<QuarantinedSegment> listQuarantinedSegments(const Pool &pool, TimePoint now);

/// Cancels the running requests without output that have a quarantined segment, except trials.
void cancelQuarantinedSegments(const Pool &pool, TimePoint now, Decisions &decisions);

/// Returns the number of quarantined segments.
std::size_t quarantinedSegments(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
