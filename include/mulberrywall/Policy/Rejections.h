#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <optional>

/// Which requests are rejected before they run, and when their callers should send them again.
namespace mulberrywall::policy
{

/// Returns the rejection of a request that must not be queued, or std::nullopt if it may be.
std::optional<Rejection> rejectionOnArrival(Pool &pool, const Submission &submission, TimePoint now);

/// Rejects the request if it still waits and would wait beyond its class's target.
void rejectIfUnreachable(Pool &pool, PermitId permit, TimePoint now, Decisions &decisions);

/// Rejects waiting requests, those of the lowest tier first, while there are more than the queue's limit.
void shedExcessRequests(Pool &pool, TimePoint now, Decisions &decisions);

/// Rejects the waiting requests that no endpoint may run.
void rejectWithoutEndpoint(Pool &pool, Decisions &decisions);

/// Rejects the waiting requests that no endpoint accepts soon enough.
void rejectRefused(Pool &pool, TimePoint now, Decisions &decisions);

/// Rejects or regroups the waiting requests after a change of the quarantine, and cancels running ones that it concerns.
void applyQuarantineChanges(Pool &pool, TimePoint now, Decisions &decisions);

} // namespace mulberrywall::policy
