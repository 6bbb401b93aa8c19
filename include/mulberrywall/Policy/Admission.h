#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Updates the moving averages of the slots that each tier uses.
void averageTierLoads(Pool &pool, TimePoint now);

/// Returns the estimated time until a waiting request gets a slot.
///
/// Counts only requests that are scheduled before it: those of higher tiers, and those of its own tier up to what fair
/// sharing schedules first. The use of minimum shares by lower tiers is excluded deliberately, so that it never lowers
/// the admission limit of a higher tier.
std::chrono::duration<double> estimatedWait(const Pool &pool, const WaitingRequest &request, TimePoint now);

/// Returns the delay after which to retry if a waiting request should be rejected because it would miss its target or
/// its deadline, or std::nullopt if it may keep waiting.
///
/// Every class may keep as many requests waiting as its minimum share can serve within its maximum wait, at least one,
/// even if they miss the target; otherwise a class would never be served under sustained overload.
std::optional<std::chrono::milliseconds> unreachableTarget(const Pool &pool, const WaitingRequest &request, TimePoint now);

/// Returns the delay after which to retry a request that was shed.
std::chrono::milliseconds retryDelay(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
