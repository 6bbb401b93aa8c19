#pragma once

#include "mulberrywall/Policy/Types.h"

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

/// Groups waiting requests of one tier that share the conditions under which they can be granted.
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
    /// Position in the order of arrival within the pool.
    std::uint64_t sequence = 0;
    TimePoint submittedAt;
    /// Time by which the first token is due.
    TimePoint targetAt;
    /// From this time on the request may use the minimum share.
    TimePoint overdueAt;
    /// Estimated work in output tokens.
    double work = 0.0;
};

/// Order of waiting requests by a time, then by arrival.
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

/// Waiting requests of one organisation in one lane of a tier, earliest target first.
struct OrganisationQueue
{
    std::set<WaitingKey> byTarget;
    double work = 0.0;
};

/// Waiting requests of one tier.
struct TierQueue
{
    std::map<std::pair<SchedulingGroup, support::OrganisationId>, OrganisationQueue> organisations;
    std::set<WaitingKey> byOverdueTime;
    /// Resumes are in a set of their own because they are shed last within their tier.
    std::map<std::uint64_t, PermitId> newByArrival;
    std::map<std::uint64_t, PermitId> resumesByArrival;
    std::map<support::ClassId, std::size_t> countByClass;
    std::size_t size = 0;
};

/// All waiting requests of a pool.
struct Queue
{
    std::unordered_map<PermitId, WaitingRequest> requests;
    /// Lowest tier number, that is the highest tier, first.
    std::map<support::Tier, TierQueue> tiers;
    std::set<WaitingKey> byDeadline;
    std::uint64_t nextSequence = 0;
};

/// Waiting requests that cannot be granted at the moment.
struct BlockedRequests
{
    std::set<PermitId> permits;
    std::set<std::pair<support::Tier, SchedulingGroup>> groups;
};

/// Returns whether the request or its lane is blocked.
bool isBlocked(const BlockedRequests &blocked, support::Tier tier, SchedulingGroup group, PermitId permit);

/// Adds a request and assigns its sequence; the permit must not be in the queue.
void enqueue(Queue &queue, WaitingRequest request);

/// Removes and returns a request, or returns nothing when the permit does not wait.
std::optional<WaitingRequest> removeWaiting(Queue &queue, PermitId permit);

/// Moves a waiting request to another lane; its place in the order of arrival stays.
void changeSchedulingGroup(Queue &queue, PermitId permit, SchedulingGroup group);

/// Returns the request to shed next: the newest of the lowest tier, resumes last within the tier.
std::optional<PermitId> sheddingCandidate(const Queue &queue);

/// Returns a waiting request whose deadline has passed.
std::optional<PermitId> expiredRequest(const Queue &queue, TimePoint now);

/// Returns the earliest deadline of a waiting request, if one has a deadline.
std::optional<TimePoint> earliestDeadline(const Queue &queue);

} // namespace mulberrywall::policy
