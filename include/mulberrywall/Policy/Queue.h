#pragma once

#include "mulberrywall/Policy/Types.h"
#include "mulberrywall/Support/CountedMap.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberrywall::policy
{

/// Partition of the waiting requests of a tier by the conditions under which they can be granted.
enum class SchedulingGroup : std::uint8_t {
    Resume,
    Normal,
    Long,
    Quarantined,
};

/// A submission that waits for a slot.
struct WaitingRequest
{
    Submission submission;
    support::Tier tier = 0;
    SchedulingGroup group = SchedulingGroup::Normal;
    /// Sequence number by arrival within the pool.
    std::uint64_t sequence = 0;
    TimePoint submittedAt;
    /// Time by which the target requires the first token.
    TimePoint targetAt;
    /// End of the maximum wait; from then on the request may use its tier's minimum share.
    TimePoint overdueAt;
    /// Estimated work in output tokens.
    double work = 0.0;
};

/// Sort key of a waiting request: a time, then the order of arrival.
struct WaitingKey
{
    TimePoint time;
    std::uint64_t sequence = 0;
    PermitId permit = 0;

    friend bool operator<(const WaitingKey &left, const WaitingKey &right) noexcept
    {
        return std::tie(left.time, left.sequence) < std::tie(right.time, right.sequence);
    }
};

/// Waiting requests of one organisation in one scheduling group of a tier, earliest target first.
struct OrganisationQueue
{
    std::set<WaitingKey> byTarget;
    double work = 0.0;
};

/// Waiting requests of one tier.
struct TierQueue
{
    support::CountedMap<std::pair<SchedulingGroup, support::OrganisationId>, OrganisationQueue> organisations;
    std::set<WaitingKey> byOverdueTime;
    /// Resumes are kept separately because they are shed last within their tier.
    std::map<std::uint64_t, PermitId> newByArrival;
    std::map<std::uint64_t, PermitId> resumesByArrival;
    support::CountedMap<support::ClassId, std::size_t> countByClass;
    std::size_t size = 0;
};

/// All waiting requests of a pool.
struct Queue
{
    std::unordered_map<PermitId, WaitingRequest> requests;
    /// Sorted by tier number; 0 is the highest tier.
    std::map<support::Tier, TierQueue> tiers;
    std::set<WaitingKey> byDeadline;
    std::uint64_t nextSequence = 0;
};

/// Waiting requests for which the current scheduling pass has found no endpoint.
struct BlockedRequests
{
    std::set<PermitId> permits;
    std::set<std::pair<support::Tier, SchedulingGroup>> groups;
};

/// Returns whether the request or its scheduling group is blocked.
bool isBlocked(const BlockedRequests &blocked, support::Tier tier, SchedulingGroup group, PermitId permit);

/// Adds a request and assigns its sequence number; the permit must not be in the queue yet.
void enqueue(Queue &queue, WaitingRequest request);

/// Removes and returns a request; returns std::nullopt if the permit is not waiting.
std::optional<WaitingRequest> removeWaiting(Queue &queue, PermitId permit);

/// Moves a waiting request to another scheduling group; it keeps its sequence number.
void changeSchedulingGroup(Queue &queue, PermitId permit, SchedulingGroup group);

/// Returns the request to shed next: the newest of the lowest tier, or the newest resume if only resumes wait there.
std::optional<PermitId> sheddingCandidate(const Queue &queue);

/// Returns a waiting request whose deadline has passed.
std::optional<PermitId> expiredRequest(const Queue &queue, TimePoint now);

/// Returns the earliest deadline of all waiting requests; std::nullopt if none has a deadline.
std::optional<TimePoint> earliestDeadline(const Queue &queue);

} // namespace mulberrywall::policy
