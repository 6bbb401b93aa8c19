#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Returns the share of the slots that requests of the tier past their maximum wait may use.
double minimumShareOf(const Pool &pool, support::Tier tier);

/// Updates the slot time balances by the use and the entitlement since the last call.
void accrueMinimumShares(Pool &pool, TimePoint now);

/// Returns the request to grant from its tier's minimum share: past its maximum wait, highest tier first, then the one
/// that has been overdue longest. Returns nullptr if there is none.
///
/// Both the number of slots and the slot time are limited: a limit on the number alone allows at least one slot, which
/// may be much more than the share in a small pool; a limit on the time alone would allow many requests to start at the
/// same instant.
const WaitingRequest *overdueCandidate(const Pool &pool, const BlockedRequests &blocked, TimePoint now);

/// Counts a grant out of order from the minimum share.
void startMinimumShareUse(Pool &pool, ActiveRequest &request);

/// Ends the use of the minimum share by a request, if it used it.
void endMinimumShareUse(Pool &pool, const ActiveRequest &request);

} // namespace mulberrywall::policy
