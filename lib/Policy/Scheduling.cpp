#include "mulberrywall/Policy/Scheduling.h"

#include "mulberrywall/Policy/ActiveRequests.h"
#include "mulberrywall/Policy/Admission.h"
#include "mulberrywall/Policy/CrashQuarantine.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/FairShare.h"
#include "mulberrywall/Policy/LongRequests.h"
#include "mulberrywall/Policy/MinimumShare.h"
#include "mulberrywall/Policy/PrefillAdmission.h"
#include "mulberrywall/Policy/RetrySpread.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

unsigned freeSlotsOfPool(const Pool &pool, TimePoint now)
{
    unsigned total = 0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        total += freeSlots(pool, endpoint, now);
    }
    return total;
}

void rejectExpired(Pool &pool, TimePoint now, Decisions &decisions)
{
    while (const auto expired = expiredRequest(pool.queue, now)) {
        removeWaiting(pool.queue, *expired);
        decisions.rejections.push_back({.permit = *expired, .reason = RejectionReason::DeadlineExpired});
    }
}

/// Rejects prompts whose callers leave before the first token, so that others get their slots.
void rejectTooLate(Pool &pool, TimePoint now, Decisions &decisions)
{
    std::vector<std::pair<PermitId, std::uint64_t>> late;
    for (const auto &[permit, request] : pool.queue.requests) {
        if (isTooLateToStart(pool, request, now)) {
            late.emplace_back(permit, request.submission.spreadSeed);
        }
    }
    std::sort(late.begin(), late.end());
    for (const auto &[permit, spreadSeed] : late) {
        removeWaiting(pool.queue, permit);
        const std::chrono::milliseconds retryAfter = spreadRetryDelay(retryDelay(pool, now), spreadSeed);
        decisions.rejections.push_back({.permit = permit, .reason = RejectionReason::TargetUnreachable, .retryAfter = retryAfter});
    }
}

/// Returns the group by which engines order the request: one whose target has passed gives way to those of its tier that can be
/// in time.
SchedulingGroup priorityGroup(const Pool &pool, const WaitingRequest &request, TimePoint now)
{
    const bool mayGiveWay = request.group == SchedulingGroup::Normal && request.submission.prefixTokens.has_value();
    const bool isLate = pool.options.tuning.placement.rejectsPredictedLate && now > request.targetAt;
    return mayGiveWay && isLate ? SchedulingGroup::Long : request.group;
}

const WaitingRequest *regularCandidate(const Pool &pool, const BlockedRequests &blocked)
{
    for (const auto &[tier, queue] : pool.queue.tiers) {
        if (const WaitingRequest *request = fairCandidate(pool, tier, blocked)) {
            return request;
        }
    }
    return nullptr;
}

/// Next request to grant, and whether it is granted out of order from its tier's minimum share.
struct GrantCandidate
{
    const WaitingRequest *request = nullptr;
    bool usesMinimumShare = false;
};

GrantCandidate nextCandidate(const Pool &pool, const BlockedRequests &blocked, TimePoint now)
{
    const WaitingRequest *regular = regularCandidate(pool, blocked);
    const WaitingRequest *overdue = overdueCandidate(pool, blocked, now);
    if (overdue != nullptr && overdue != regular) {
        return {.request = overdue, .usesMinimumShare = true};
    }
    return {.request = regular};
}

void grant(Pool &pool, EndpointState &endpoint, const GrantCandidate &candidate, TimePoint now, Decisions &decisions)
{
    const PermitId permit = candidate.request->submission.permit;
    WaitingRequest request = *removeWaiting(pool.queue, permit);
    decisions.grants.push_back(
        {.permit = permit, .endpoint = endpoint.spec.id, .enginePriority = enginePriority(pool, request.tier, priorityGroup(pool, request, now))});
    const SchedulingGroup group = request.group;
    ActiveRequest &active = startRequest(pool, endpoint, std::move(request), now);
    decisions.grants.back().prefillTokens = active.prefillTokens;
    chargeGrant(pool, active);
    if (group == SchedulingGroup::Long) {
        markLong(pool, active);
    }
    if (group == SchedulingGroup::Quarantined) {
        startIsolatedRun(pool, active, now);
    }
    if (endpoint.slow.health == EndpointHealth::Probation) {
        endpoint.slow.probe = permit;
    }
    if (candidate.usesMinimumShare) {
        startMinimumShareUse(pool, active);
    }
}

/// Blocks a request for which there is no endpoint, and its whole scheduling group unless the request excludes endpoints.
void block(BlockedRequests &blocked, const WaitingRequest &request)
{
    blocked.permits.insert(request.submission.permit);
    if (request.submission.excludedEndpoints.empty()) {
        blocked.groups.insert({request.tier, request.group});
    }
}

} // namespace

void schedule(Pool &pool, TimePoint now, Decisions &decisions)
{
    rejectExpired(pool, now, decisions);
    rejectTooLate(pool, now, decisions);
    cancelUnusedIsolation(pool, now);
    if (pool.queue.requests.empty()) {
        return;
    }
    BlockedRequests blocked;
    unsigned slots = freeSlotsOfPool(pool, now);
    while (slots > 0) {
        const GrantCandidate candidate = nextCandidate(pool, blocked, now);
        if (candidate.request == nullptr) {
            return;
        }
        EndpointState *endpoint = selectEndpoint(pool, *candidate.request, now);
        if (endpoint == nullptr) {
            block(blocked, *candidate.request);
            continue;
        }
        grant(pool, *endpoint, candidate, now, decisions);
        --slots;
    }
}

} // namespace mulberrywall::policy
