#include "mulberrywall/Policy/FairShare.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

/// Lower limit of weights; an organisation with a weight of zero or less would never be served.
constexpr double smallestWeight = 0.001;
/// Above this number of entries, those of organisations that are not ahead of the current virtual time are dropped.
constexpr std::size_t maximumEntries = 4'096;

double weightOf(const Pool &pool, const support::OrganisationId &organisation)
{
    const auto found = pool.weights.find(organisation);
    return found == pool.weights.end() ? 1.0 : std::max(smallestWeight, found->second);
}

double virtualTime(const FairShares &shares, const support::OrganisationId &organisation)
{
    const auto found = shares.virtualTimes.find(organisation);
    return found == shares.virtualTimes.end() ? shares.current : found->second;
}

void prune(FairShares &shares)
{
    if (shares.virtualTimes.size() > maximumEntries) {
        std::erase_if(shares.virtualTimes, [&](const auto &entry) { return entry.second <= shares.current; });
    }
}

/// First unblocked request of an organisation in one scheduling group.
struct QueueHead
{
    WaitingKey key;
    double virtualTime = 0.0;
};

/// Heads of the queues of a tier, in order of precedence.
struct QueueHeads
{
    std::vector<QueueHead> resumes;
    std::vector<QueueHead> onTime;
    /// Requests whose target has passed. Under overload, serving them first by earliest target would make every request
    /// behind them late too.
    std::vector<QueueHead> late;
};

/// Returns the first unblocked request whose target is at the given time or later, or else the first unblocked one.
std::optional<WaitingKey> firstUnblocked(const OrganisationQueue &waiting, TimePoint due, const BlockedRequests &blocked)
{
    const auto unblocked = [&](const WaitingKey &key) {
        return !blocked.permits.contains(key.permit);
    };
    const auto onTime = waiting.byTarget.lower_bound({.time = due});
    auto first = std::find_if(onTime, waiting.byTarget.end(), unblocked);
    if (first == waiting.byTarget.end()) {
        first = std::find_if(waiting.byTarget.begin(), onTime, unblocked);
        return first == onTime ? std::nullopt : std::optional(*first);
    }
    return *first;
}

std::optional<PermitId> earliestEligible(const std::vector<QueueHead> &heads, double allowance)
{
    double lowest = std::numeric_limits<double>::max();
    for (const QueueHead &head : heads) {
        lowest = std::min(lowest, head.virtualTime);
    }
    const QueueHead *best = nullptr;
    for (const QueueHead &head : heads) {
        if (head.virtualTime <= lowest + allowance && (best == nullptr || head.key < best->key)) {
            best = &head;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->key.permit);
}

bool waitsInTier(const TierQueue &tier, const support::OrganisationId &organisation)
{
    constexpr std::array groups {SchedulingGroup::Resume, SchedulingGroup::Normal, SchedulingGroup::Long, SchedulingGroup::Quarantined};
    return std::any_of(groups.begin(), groups.end(), [&](SchedulingGroup group) { return tier.organisations.contains({group, organisation}); });
}

/// Returns the lowest virtual time of the organisations with waiting requests in the tier.
double lowestWaiting(const FairShares &shares, const TierQueue &tier)
{
    double lowest = std::numeric_limits<double>::max();
    for (const auto &[key, waiting] : tier.organisations) {
        lowest = std::min(lowest, virtualTime(shares, key.second));
    }
    return lowest;
}

} // namespace

void activateOrganisation(Pool &pool, support::Tier tier, const support::OrganisationId &organisation)
{
    const auto queue = pool.queue.tiers.find(tier);
    if (queue != pool.queue.tiers.end() && waitsInTier(queue->second, organisation)) {
        return;
    }
    FairShares &shares = pool.fairShares[tier];
    const auto found = shares.virtualTimes.find(organisation);
    if (found != shares.virtualTimes.end()) {
        found->second = std::max(found->second, shares.current);
    }
}

void chargeGrant(Pool &pool, ActiveRequest &request)
{
    FairShares &shares = pool.fairShares[request.tier];
    const support::OrganisationId &organisation = request.submission.organisation;
    const double before = virtualTime(shares, organisation);
    const auto queue = pool.queue.tiers.find(request.tier);
    const double othersLowest = queue == pool.queue.tiers.end() ? before : std::min(before, lowestWaiting(shares, queue->second));
    shares.current = std::max(shares.current, othersLowest);
    request.chargedWork = request.work;
    shares.virtualTimes[organisation] = before + request.chargedWork / weightOf(pool, organisation);
    prune(shares);
}

void settleCharge(Pool &pool, ActiveRequest &request)
{
    FairShares &shares = pool.fairShares[request.tier];
    const auto found = shares.virtualTimes.find(request.submission.organisation);
    if (request.reregistered || found == shares.virtualTimes.end()) {
        return;
    }
    const double work = workOf(request.submission, static_cast<double>(request.outputTokens), pool.options.tuning.length);
    found->second += (work - request.chargedWork) / weightOf(pool, request.submission.organisation);
}

const WaitingRequest *fairCandidate(const Pool &pool, support::Tier tier, const BlockedRequests &blocked)
{
    const auto queue = pool.queue.tiers.find(tier);
    if (queue == pool.queue.tiers.end()) {
        return nullptr;
    }
    static const FairShares noShares;
    const auto existing = pool.fairShares.find(tier);
    const FairShares &shares = existing == pool.fairShares.end() ? noShares : existing->second;

    QueueHeads heads;
    for (const auto &[key, waiting] : queue->second.organisations) {
        if (blocked.groups.contains({tier, key.first})) {
            continue;
        }
        if (const auto first = firstUnblocked(waiting, pool.now, blocked)) {
            std::vector<QueueHead> &list = key.first == SchedulingGroup::Resume ? heads.resumes : first->time >= pool.now ? heads.onTime : heads.late;
            list.push_back({.key = *first, .virtualTime = virtualTime(shares, key.second)});
        }
    }
    const double requestWork = valueOr(pool.lengths.medianWork, pool.options.tuning.length.defaultOutputTokens);
    const double allowance = pool.options.tuning.fairShare.allowanceInRequests * requestWork;
    const std::vector<QueueHead> &considered = !heads.resumes.empty() ? heads.resumes : !heads.onTime.empty() ? heads.onTime : heads.late;
    const auto permit = earliestEligible(considered, allowance);
    return permit ? &pool.queue.requests.at(*permit) : nullptr;
}

double waitingShare(const Pool &pool, support::Tier tier, const support::OrganisationId &organisation)
{
    const double own = weightOf(pool, organisation);
    double total = own;
    const auto queue = pool.queue.tiers.find(tier);
    if (queue != pool.queue.tiers.end()) {
        const support::OrganisationId *previous = nullptr;
        for (const auto &[key, waiting] : queue->second.organisations) {
            // An organisation with requests in several scheduling groups counts once for each, which only lowers the share.
            if (key.second != organisation && (previous == nullptr || *previous != key.second)) {
                total += weightOf(pool, key.second);
            }
            previous = &key.second;
        }
    }
    return own / total;
}

} // namespace mulberrywall::policy
