#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Starts the accounting of an organisation before its first waiting request of the tier is added, so that it cannot
/// claim the service that it did not ask for in the past.
void activateOrganisation(Pool &pool, support::Tier tier, const support::OrganisationId &organisation);

/// Charges a grant to the organisation and remembers the charge in the request.
void chargeGrant(Pool &pool, ActiveRequest &request);

/// Replaces the estimated charge by the work that the request took.
void settleCharge(Pool &pool, ActiveRequest &request);

/// Returns the request of the tier to grant next, or nullptr when all are blocked.
///
/// Resumes go first. Then, among the organisations that received about the least service for their weight, the
/// earliest target decides across classes; organisations further ahead wait.
const WaitingRequest *fairCandidate(const Pool &pool, support::Tier tier, const BlockedRequests &blocked);

/// Returns the organisation's weight over the weights of all organisations that wait in the tier, itself included.
double waitingShare(const Pool &pool, support::Tier tier, const support::OrganisationId &organisation);

} // namespace mulberrywall::policy
