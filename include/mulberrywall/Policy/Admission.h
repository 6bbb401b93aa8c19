#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Averages the slots that each tier uses up to now.
void averageTierLoads(Pool &pool, TimePoint now);

/// Returns the estimated time until a waiting request gets a slot.
///
/// Only requests that go before it count: its own tier's and higher ones, and of its own tier no more than fair
/// sharing lets go first. Use of the minimum share by lower tiers is left out on purpose, so that it never lowers the
/// admission bound of a higher tier.
std::chrono::duration<double> estimatedWait(const Pool &pool, const WaitingRequest &request, TimePoint now);

/// Returns after how long to retry when a waiting request should be refused because it would miss its target or its
/// deadline, or nothing when it may stay.
///
/// Every class may keep as many requests as its minimum share can serve within its maximum wait, at least one, even
/// if they miss the target; otherwise a class would never be served under sustained overload.
std::optional<std::chrono::milliseconds> unreachableTarget(const Pool &pool, const WaitingRequest &request, TimePoint now);

/// Returns after how long a request that was shed is worth retrying.
std::chrono::milliseconds retryDelay(const Pool &pool, TimePoint now);

} // namespace mulberrywall::policy
