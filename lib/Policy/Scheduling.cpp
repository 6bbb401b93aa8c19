#include "mulberrywall/Policy/Scheduling.h"

#include "mulberrywall/Policy/EndpointSelection.h"

#include <set>

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

/// Returns the first request by tier, then resumes, then earliest target that is not blocked in this pass.
const WaitingRequest *nextCandidate(const Queue &queue, const std::set<PermitId> &blocked)
{
    for (const auto &[number, tier] : queue.tiers) {
        const WaitingRequest *best = nullptr;
        for (const auto &[key, organisation] : tier.organisations) {
            for (const WaitingKey &waiting : organisation.byTarget) {
                if (blocked.contains(waiting.permit)) {
                    continue;
                }
                const WaitingRequest &request = queue.requests.at(waiting.permit);
                const bool better = best == nullptr || (request.lane == Lane::Resume && best->lane != Lane::Resume)
                    || (request.lane == best->lane && request.targetAt < best->targetAt);
                if (better) {
                    best = &request;
                }
                break;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

void grant(Pool &pool, EndpointState &endpoint, PermitId permit, TimePoint now, Decisions &decisions)
{
    std::optional<WaitingRequest> request = removeWaiting(pool.queue, permit);
    ++endpoint.running;
    decisions.grants.push_back({.permit = permit, .endpoint = endpoint.spec.id, .enginePriority = request->tier});
    pool.active.emplace(
        permit, ActiveRequest {.submission = std::move(request->submission), .tier = request->tier, .endpoint = endpoint.spec.id, .startedAt = now});
}

} // namespace

void schedule(Pool &pool, TimePoint now, Decisions &decisions)
{
    while (const auto expired = expiredRequest(pool.queue, now)) {
        removeWaiting(pool.queue, *expired);
        decisions.refusals.push_back({.permit = *expired, .reason = RefusalReason::DeadlineExpired});
    }

    std::set<PermitId> blocked;
    unsigned slots = freeSlotsOfPool(pool, now);
    while (slots > 0) {
        const WaitingRequest *candidate = nextCandidate(pool.queue, blocked);
        if (candidate == nullptr) {
            return;
        }
        EndpointState *endpoint = selectEndpoint(pool, *candidate, now);
        if (endpoint == nullptr) {
            blocked.insert(candidate->submission.permit);
            continue;
        }
        grant(pool, *endpoint, candidate->submission.permit, now, decisions);
        --slots;
    }
}

} // namespace mulberrywall::policy
