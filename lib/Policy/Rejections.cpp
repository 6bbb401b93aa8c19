#include "mulberrywall/Policy/Rejections.h"

#include "mulberrywall/Policy/Admission.h"
#include "mulberrywall/Policy/CrashQuarantine.h"
#include "mulberrywall/Policy/EndpointRefusal.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/Hedging.h"
#include "mulberrywall/Policy/PrefillAdmission.h"
#include "mulberrywall/Policy/SegmentQuarantine.h"
#include "mulberrywall/Policy/WaitingRequests.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

constexpr std::chrono::milliseconds defaultRetryAfter {1'000};

Rejection makeRejection(PermitId permit, RejectionReason reason, std::chrono::milliseconds retryAfter = defaultRetryAfter)
{
    return {.permit = permit, .reason = reason, .retryAfter = retryAfter};
}

/// Returns the rejection with the remaining time of the quarantine, or std::nullopt if the request is not quarantined.
std::optional<Rejection> quarantineRejection(const Pool &pool, const Submission &submission, TimePoint now)
{
    if (isRejectedForCrashes(pool, submission.fingerprint, now)) {
        return makeRejection(submission.permit, RejectionReason::Quarantined, remainingQuarantine(pool, submission.fingerprint, now));
    }
    if (const auto segment = rejectingSegment(pool, submission, now)) {
        return makeRejection(submission.permit, RejectionReason::Quarantined, remainingSegmentQuarantine(pool, *segment, now));
    }
    return std::nullopt;
}

std::optional<Rejection> refusalRejection(const Pool &pool, const Submission &submission, TimePoint now)
{
    const auto retryAfter = rejectForRefusal(pool, submission, now);
    return retryAfter ? std::optional(makeRejection(submission.permit, RejectionReason::TargetUnreachable, *retryAfter)) : std::nullopt;
}

bool isHedgeDenied(Pool &pool, const ClassState &requestClass, const Submission &submission, TimePoint now)
{
    if (submission.purpose != AttemptPurpose::Hedge) {
        return false;
    }
    const WaitingRequest attempt = makeWaiting(pool, submission, requestClass.spec, now);
    return !mayHedge(pool, requestClass, attempt, now) || selectEndpoint(pool, attempt, now) == nullptr;
}

/// Removes the waiting requests for which the check returns a rejection, in the order of their permits.
template <typename Check>
void rejectWaiting(Pool &pool, Decisions &decisions, Check check)
{
    std::vector<PermitId> waiting;
    for (const auto &[permit, request] : pool.queue.requests) {
        waiting.push_back(permit);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const PermitId permit : waiting) {
        if (const std::optional<Rejection> rejection = check(pool.queue.requests.at(permit))) {
            removeWaiting(pool.queue, permit);
            decisions.rejections.push_back(*rejection);
        }
    }
}

} // namespace

std::optional<Rejection> rejectionOnArrival(Pool &pool, const Submission &submission, TimePoint now)
{
    const PermitId permit = submission.permit;
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    if (requestClass == nullptr) {
        return makeRejection(permit, RejectionReason::UnknownClass);
    }
    if (submission.deadline <= now) {
        return makeRejection(permit, RejectionReason::DeadlineExpired);
    }
    if (const auto quarantined = quarantineRejection(pool, submission, now)) {
        return quarantined;
    }
    if (!hasUsableEndpoint(pool, submission)) {
        return makeRejection(permit, RejectionReason::NoEndpoint);
    }
    if (isHedgeDenied(pool, *requestClass, submission, now)) {
        return makeRejection(permit, RejectionReason::HedgeDenied);
    }
    if (const auto refused = refusalRejection(pool, submission, now)) {
        return refused;
    }
    if (const auto retryAfter = rejectForPrefillBacklog(pool, submission, now)) {
        return makeRejection(permit, RejectionReason::TargetUnreachable, *retryAfter);
    }
    return std::nullopt;
}

void rejectIfUnreachable(Pool &pool, PermitId permit, TimePoint now, Decisions &decisions)
{
    const auto waiting = pool.queue.requests.find(permit);
    if (waiting == pool.queue.requests.end()) {
        return;
    }
    if (const auto retryAfter = unreachableTarget(pool, waiting->second, now)) {
        removeWaiting(pool.queue, permit);
        decisions.rejections.push_back(makeRejection(permit, RejectionReason::TargetUnreachable, *retryAfter));
    }
}

void shedExcessRequests(Pool &pool, TimePoint now, Decisions &decisions)
{
    while (pool.queue.requests.size() > pool.options.queueLimit) {
        const PermitId shedPermit = *sheddingCandidate(pool.queue);
        removeWaiting(pool.queue, shedPermit);
        decisions.rejections.push_back(makeRejection(shedPermit, RejectionReason::Shed, retryDelay(pool, now)));
    }
}

void rejectWithoutEndpoint(Pool &pool, Decisions &decisions)
{
    rejectWaiting(pool, decisions, [&](const WaitingRequest &request) -> std::optional<Rejection> {
        if (hasUsableEndpoint(pool, request.submission)) {
            return std::nullopt;
        }
        return makeRejection(request.submission.permit, RejectionReason::NoEndpoint);
    });
}

void rejectRefused(Pool &pool, TimePoint now, Decisions &decisions)
{
    rejectWaiting(pool, decisions, [&](const WaitingRequest &request) { return refusalRejection(pool, request.submission, now); });
}

void applyQuarantineChanges(Pool &pool, TimePoint now, Decisions &decisions)
{
    if (!pool.quarantine.changed) {
        return;
    }
    pool.quarantine.changed = false;
    const auto &changes = pool.segments.changes;
    if (std::any_of(changes.begin(), changes.end(), [](const SegmentChange &change) { return change.isQuarantined; })) {
        cancelQuarantinedSegments(pool, now, decisions);
    }
    std::move(pool.segments.changes.begin(), pool.segments.changes.end(), std::back_inserter(decisions.segmentChanges));
    pool.segments.changes.clear();
    rejectWaiting(pool, decisions, [&](const WaitingRequest &request) { return quarantineRejection(pool, request.submission, now); });
    std::vector<std::pair<PermitId, SchedulingGroup>> groups;
    for (const auto &[permit, request] : pool.queue.requests) {
        groups.emplace_back(permit, schedulingGroupOf(pool, request.submission, request.work, now));
    }
    std::sort(groups.begin(), groups.end());
    for (const auto &[permit, group] : groups) {
        changeSchedulingGroup(pool.queue, permit, group);
    }
}

} // namespace mulberrywall::policy
