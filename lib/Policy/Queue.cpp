#include "mulberrywall/Policy/Queue.h"

#include <cassert>

namespace mulberrywall::policy
{

namespace
{

std::map<std::uint64_t, PermitId> &arrivals(TierQueue &tier, const WaitingRequest &request)
{
    return request.submission.purpose == AttemptPurpose::Resume ? tier.resumesByArrival : tier.newByArrival;
}

void addToGroup(TierQueue &tier, const WaitingRequest &request)
{
    OrganisationQueue &organisation = tier.organisations[{request.group, request.submission.organisation}];
    organisation.byTarget.insert({request.targetAt, request.sequence, request.submission.permit});
    organisation.work += request.work;
}

void removeFromGroup(TierQueue &tier, const WaitingRequest &request)
{
    const auto found = tier.organisations.find({request.group, request.submission.organisation});
    assert(found != tier.organisations.end() && "a waiting request is missing from its scheduling group");
    OrganisationQueue &organisation = found->second;
    organisation.byTarget.erase({request.targetAt, request.sequence, request.submission.permit});
    organisation.work -= request.work;
    if (organisation.byTarget.empty()) {
        tier.organisations.erase(found);
    }
}

} // namespace

bool isBlocked(const BlockedRequests &blocked, support::Tier tier, SchedulingGroup group, PermitId permit)
{
    return blocked.groups.contains({tier, group}) || blocked.permits.contains(permit);
}

void enqueue(Queue &queue, WaitingRequest request)
{
    const PermitId permit = request.submission.permit;
    assert(!queue.requests.contains(permit) && "a permit must wait only once");
    request.sequence = queue.nextSequence;
    ++queue.nextSequence;

    TierQueue &tier = queue.tiers[request.tier];
    addToGroup(tier, request);
    tier.byOverdueTime.insert({request.overdueAt, request.sequence, permit});
    arrivals(tier, request).emplace(request.sequence, permit);
    ++tier.countByClass[request.submission.requestClass];
    ++tier.size;
    if (request.submission.deadline != TimePoint::max()) {
        queue.byDeadline.insert({request.submission.deadline, request.sequence, permit});
    }
    queue.requests.emplace(permit, std::move(request));
}

std::optional<WaitingRequest> removeWaiting(Queue &queue, PermitId permit)
{
    const auto found = queue.requests.find(permit);
    if (found == queue.requests.end()) {
        return std::nullopt;
    }
    WaitingRequest request = std::move(found->second);
    queue.requests.erase(found);

    const auto foundTier = queue.tiers.find(request.tier);
    assert(foundTier != queue.tiers.end() && "a waiting request is missing from its tier");
    TierQueue &tier = foundTier->second;
    removeFromGroup(tier, request);
    tier.byOverdueTime.erase({request.overdueAt, request.sequence, permit});
    arrivals(tier, request).erase(request.sequence);
    --tier.countByClass[request.submission.requestClass];
    --tier.size;
    if (tier.size == 0) {
        queue.tiers.erase(foundTier);
    }
    queue.byDeadline.erase({request.submission.deadline, request.sequence, permit});
    return request;
}

void changeSchedulingGroup(Queue &queue, PermitId permit, SchedulingGroup group)
{
    const auto found = queue.requests.find(permit);
    if (found == queue.requests.end() || found->second.group == group) {
        return;
    }
    WaitingRequest &request = found->second;
    TierQueue &tier = queue.tiers.at(request.tier);
    removeFromGroup(tier, request);
    request.group = group;
    addToGroup(tier, request);
}

std::optional<PermitId> sheddingCandidate(const Queue &queue)
{
    if (queue.tiers.empty()) {
        return std::nullopt;
    }
    const TierQueue &lowest = queue.tiers.rbegin()->second;
    if (!lowest.newByArrival.empty()) {
        return lowest.newByArrival.rbegin()->second;
    }
    return lowest.resumesByArrival.rbegin()->second;
}

std::optional<PermitId> expiredRequest(const Queue &queue, TimePoint now)
{
    if (queue.byDeadline.empty() || queue.byDeadline.begin()->time > now) {
        return std::nullopt;
    }
    return queue.byDeadline.begin()->permit;
}

std::optional<TimePoint> earliestDeadline(const Queue &queue)
{
    if (queue.byDeadline.empty()) {
        return std::nullopt;
    }
    return queue.byDeadline.begin()->time;
}

} // namespace mulberrywall::policy
