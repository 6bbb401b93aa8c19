#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns the share of the slots that requests of the tier past their maximum wait may use.
double minimumShareOf(const Pool &pool, support::Tier tier);

/// Accounts the slot time used and gained since the last call.
void accrueMinimumShares(Pool &pool, TimePoint now);

/// Returns the oldest request past its maximum wait, highest tier first, that its tier's share allows to be granted.
///
/// Both the number of slots and the slot time are bounded: the number alone would give one slot, which may be much
/// more than the share in a small pool; the time alone would let many requests start at the same instant.
const WaitingRequest *overdueCandidate(const Pool &pool, const BlockedRequests &blocked, TimePoint now);

/// Counts a grant that overtook other requests.
void startMinimumShareUse(Pool &pool, ActiveRequest &request);

/// Counts the end of a request that may have used the share.
void endMinimumShareUse(Pool &pool, const ActiveRequest &request);

} // namespace mulberrywall::policy
