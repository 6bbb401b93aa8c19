#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <chrono>
#include <optional>

/// Admission of prompts for overload by prefill: callers ask for more prompt tokens than all engines can prefill.
///
/// Without a limit the backlog of the engines grows until nothing meets its target, and an engine that always prefills
/// gives its streams so few tokens that they do not end by their deadlines. A prompt is rejected at once if the backlog that it
/// probably finds is longer than its tier may wait. In a large pool this is the mean of the engines on which it is compared:
/// one of them is nearly always idle while the streams of all others starve. The limit is lowest for the lowest tier, so that
/// it is rejected first and leaves the engines to the others.
///
/// A prompt is also rejected at once if no compared engine can send its first token before its caller leaves, or its end before
/// its deadline: engines would prefill it for nobody. The prediction includes what the engine has cached, its speed, its slots
/// and its memory.
namespace mulberrywall::policy
{

/// Returns the gap after which a caller of the class leaves.
std::chrono::milliseconds patience(const ClassSpec &spec, const PlacementTuning &tuning);

/// Returns whether a waiting prompt has waited for so long that its caller leaves before the first token.
bool isTooLateToStart(const Pool &pool, const WaitingRequest &request, TimePoint now);

/// Returns the time after which to send the prompt again if it has to be rejected, or std::nullopt if it is admitted.
/// Requests without a known prefix length, and those that an endpoint may have run, are always admitted.
std::optional<std::chrono::milliseconds> rejectForPrefillBacklog(Pool &pool, const Submission &submission, TimePoint now);

} // namespace mulberrywall::policy
