#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Advances the virtual time of an organisation before its first waiting request of the tier is enqueued, so that it
/// gets no credit for service that it did not request while it was idle.
void activateOrganisation(Pool &pool, support::Tier tier, const support::OrganisationId &organisation);

/// Charges the estimated work of a grant to the organisation and stores the charge in the request.
void chargeGrant(Pool &pool, ActiveRequest &request);

/// Replaces the estimated charge by the actual work of the request.
void settleCharge(Pool &pool, ActiveRequest &request);

/// Returns the request of the tier to grant next, or nullptr if all are blocked.
///
/// Resumes precede new work. Among the organisations whose virtual time is within FairShareTuning::allowanceInRequests of
/// the lowest, the request with the earliest target is selected, whatever its class; other organisations wait.
const WaitingRequest *fairCandidate(const Pool &pool, support::Tier tier, const BlockedRequests &blocked);

/// Returns the organisation's weight divided by the weights of all organisations with waiting requests in the tier,
/// including its own.
double waitingShare(const Pool &pool, support::Tier tier, const support::OrganisationId &organisation);

} // namespace mulberrywall::policy
