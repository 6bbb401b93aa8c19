#include "mulberrywall/Policy/CrashSuspects.h"

#include "mulberrywall/Policy/EndpointSelection.h"

#include <algorithm>
#include <set>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

const CrashTuning &tuningOf(const Pool &pool)
{
    return pool.options.tuning.crashes;
}

bool isExpired(const Pool &pool, const Suspect &suspect, TimePoint now)
{
    return now - suspect.lastCrashAt >= tuningOf(pool).expiry;
}

void removeExpired(Pool &pool, TimePoint now)
{
    std::erase_if(pool.suspects.byFingerprint, [&](const auto &entry) { return isExpired(pool, entry.second, now); });
}

Suspect *addSuspect(Pool &pool, Fingerprint fingerprint)
{
    auto &suspects = pool.suspects.byFingerprint;
    if (fingerprint == 0 || (suspects.size() >= tuningOf(pool).maximumSuspects && !suspects.contains(fingerprint))) {
        return nullptr;
    }
    pool.suspects.changed = true;
    return &suspects[fingerprint];
}

void clearOneCrash(Pool &pool, Fingerprint fingerprint)
{
    const auto found = pool.suspects.byFingerprint.find(fingerprint);
    if (found != pool.suspects.byFingerprint.end()) {
        Suspect &suspect = found->second;
        suspect.cleared = std::min(suspect.cleared + 1, suspect.crashes);
        suspect.outlived = std::min(suspect.outlived, suspect.crashes - suspect.cleared);
        pool.suspects.changed = true;
    }
}

const Suspect *findSuspect(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const auto found = pool.suspects.byFingerprint.find(fingerprint);
    return found == pool.suspects.byFingerprint.end() || isExpired(pool, found->second, now) ? nullptr : &found->second;
}

/// Returns the crashes that the request is held responsible for and has not outlived.
unsigned unexplainedCrashes(const Suspect &suspect)
{
    return suspect.crashes - suspect.cleared - suspect.outlived;
}

/// Returns the length of the running attempt's answer that proves that the place of the earlier crash is harmless.
std::optional<std::uint64_t> outlivingLength(const Pool &pool, const ActiveRequest &request)
{
    const std::uint64_t margin = tuningOf(pool).outlivingTokens;
    if (request.submission.purpose == AttemptPurpose::Resume) {
        return margin;
    }
    const auto suspect = pool.suspects.byFingerprint.find(request.submission.fingerprint);
    if (suspect == pool.suspects.byFingerprint.end() || !suspect->second.tokensBeforeCrash) {
        return std::nullopt;
    }
    return *suspect->second.tokensBeforeCrash + margin;
}

void noteOutlivedCrash(Pool &pool, ActiveRequest &request)
{
    if (!request.outlivesCrashAt || request.outputTokens < *request.outlivesCrashAt) {
        return;
    }
    request.outlivesCrashAt.reset();
    const auto found = pool.suspects.byFingerprint.find(request.submission.fingerprint);
    if (found != pool.suspects.byFingerprint.end() && unexplainedCrashes(found->second) > 0) {
        ++found->second.outlived;
        pool.suspects.changed = true;
    }
}

std::vector<PermitId> permitsOn(const Pool &pool, const EndpointState &endpoint)
{
    std::vector<PermitId> permits;
    for (const auto &[permit, request] : pool.active) {
        if (request.endpoint == &endpoint) {
            permits.push_back(permit);
        }
    }
    std::sort(permits.begin(), permits.end());
    return permits;
}

void cancelCopies(const Pool &pool, const std::set<Fingerprint> &fingerprints, const EndpointState &crashed, TimePoint now, Decisions &decisions)
{
    std::vector<PermitId> permits;
    for (const auto &[permit, request] : pool.active) {
        const Fingerprint fingerprint = request.submission.fingerprint;
        if (request.endpoint != &crashed && fingerprints.contains(fingerprint) && isRefusedForCrashes(pool, fingerprint, now)) {
            permits.push_back(permit);
        }
    }
    std::sort(permits.begin(), permits.end());
    for (const PermitId permit : permits) {
        decisions.cancellations.push_back({.permit = permit, .reason = RefusalReason::CrashSuspect});
    }
}

bool mayEmptyEndpoint(const Pool &pool)
{
    const auto usable = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [](const auto &entry) { return !entry.second.spec.leaving; });
    return static_cast<std::size_t>(usable) >= tuningOf(pool).minimumEndpointsToEmpty;
}

bool isHealthy(const EndpointState &endpoint)
{
    return endpoint.slow.health != EndpointHealth::Probation;
}

/// Returns the endpoint with the least work for which the predicate holds, or nullptr.
template <typename Predicate>
EndpointState *leastWork(Pool &pool, const WaitingRequest &request, Predicate predicate)
{
    EndpointState *best = nullptr;
    for (auto &[id, endpoint] : pool.endpoints) {
        const bool suitable = allowsEndpoint(request.submission, endpoint) && isHealthy(endpoint) && predicate(endpoint);
        if (suitable && (best == nullptr || endpoint.work < best->work)) {
            best = &endpoint;
        }
    }
    return best;
}

EndpointState *selectEmptied(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    std::optional<Isolation> &isolation = pool.suspects.isolation;
    if (!isolation) {
        const EndpointState *chosen = leastWork(pool, request, [&](const EndpointState &endpoint) { return slotLimit(pool, endpoint, now) > 0; });
        if (chosen != nullptr) {
            isolation = Isolation {.endpoint = chosen->spec.id, .until = now + tuningOf(pool).isolationWait};
        }
        return nullptr;
    }
    if (now < isolation->until) {
        return nullptr;
    }
    return leastWork(
        pool, request, [&](const EndpointState &endpoint) { return endpoint.spec.id == isolation->endpoint && freeSlots(pool, endpoint, now) > 0; });
}

bool waitsAnySuspect(const Pool &pool)
{
    return std::any_of(pool.queue.tiers.begin(), pool.queue.tiers.end(), [](const auto &entry) {
        const auto &organisations = entry.second.organisations;
        return organisations.lower_bound({Lane::Suspect, support::OrganisationId()}) != organisations.end();
    });
}

} // namespace

unsigned suspectedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const Suspect *suspect = findSuspect(pool, fingerprint, now);
    return suspect == nullptr ? 0 : suspect->crashes - suspect->cleared;
}

unsigned announcedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    if (isRefusedForCrashes(pool, fingerprint, now)) {
        return tuningOf(pool).crashesToRefuse;
    }
    return std::min(1U, suspectedCrashes(pool, fingerprint, now));
}

bool isRefusedForCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const Suspect *suspect = findSuspect(pool, fingerprint, now);
    if (suspect == nullptr) {
        return false;
    }
    return unexplainedCrashes(*suspect) >= tuningOf(pool).crashesToRefuse || suspect->crashes - suspect->cleared >= tuningOf(pool).allCrashesToRefuse;
}

std::chrono::milliseconds suspicionLeft(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const auto found = pool.suspects.byFingerprint.find(fingerprint);
    if (found == pool.suspects.byFingerprint.end()) {
        return {};
    }
    return std::chrono::ceil<std::chrono::milliseconds>(found->second.lastCrashAt + tuningOf(pool).expiry - now);
}

void noteEndpointCrash(Pool &pool, const ActiveRequest &failed, TimePoint now, Decisions &decisions)
{
    if (failed.crashNotedAt) {
        return;
    }
    ++pool.statistics.endpointCrashes;
    removeExpired(pool, now);
    std::set<Fingerprint> fingerprints;
    for (const PermitId permit : permitsOn(pool, *failed.endpoint)) {
        ActiveRequest &request = pool.active.at(permit);
        request.crashNotedAt = now;
        Suspect *suspect = addSuspect(pool, request.submission.fingerprint);
        if (suspect == nullptr) {
            continue;
        }
        suspect->lastCrashAt = now;
        suspect->ranBeforeCrash = std::max(suspect->ranBeforeCrash, now - request.startedAt);
        if (fingerprints.insert(request.submission.fingerprint).second) {
            ++suspect->crashes;
        }
    }
    cancelCopies(pool, fingerprints, *failed.endpoint, now, decisions);
}

void noteLengthAtCrash(Pool &pool, ActiveRequest &request)
{
    noteOutlivedCrash(pool, request);
    const auto found = pool.suspects.byFingerprint.find(request.submission.fingerprint);
    if (found == pool.suspects.byFingerprint.end()) {
        return;
    }
    std::optional<std::uint64_t> &length = found->second.tokensBeforeCrash;
    if (request.submission.purpose != AttemptPurpose::Resume) {
        length = std::max(length.value_or(0), request.outputTokens);
    } else if (length) {
        *length += request.outputTokens;
    }
}

void noteSuspectProgress(Pool &pool, ActiveRequest &request)
{
    noteOutlivedCrash(pool, request);
    // The time of the token counts: a report may come long after a token that preceded the crash.
    if (request.crashNotedAt && request.progressAt - *request.crashNotedAt >= tuningOf(pool).survivalProof) {
        clearOneCrash(pool, request.submission.fingerprint);
        request.crashNotedAt.reset();
    }
    if (!pool.suspects.onTrial.contains(request.submission.permit)) {
        return;
    }
    const auto suspect = pool.suspects.byFingerprint.find(request.submission.fingerprint);
    const bool known = suspect != pool.suspects.byFingerprint.end() && suspect->second.ranBeforeCrash > TimePoint::duration::zero();
    const TimePoint::duration longest = tuningOf(pool).maximumTrial;
    const TimePoint::duration shortest = tuningOf(pool).minimumTrial;
    const TimePoint::duration trial = known ? std::clamp(suspect->second.ranBeforeCrash, shortest, longest) : longest;
    if (request.progressAt - request.startedAt > trial) {
        endTrial(pool, request);
    }
}

void noteSuspectCompleted(Pool &pool, const ActiveRequest &request)
{
    const auto found = pool.suspects.byFingerprint.find(request.submission.fingerprint);
    if (found != pool.suspects.byFingerprint.end() && found->second.cleared < found->second.crashes) {
        found->second.cleared = found->second.crashes;
        found->second.outlived = 0;
        pool.suspects.changed = true;
    }
}

void learnSuspect(Pool &pool, const SuspectEntry &learnt, TimePoint now)
{
    removeExpired(pool, now);
    const TimePoint crashAt = std::min(now, learnt.expiresAt - tuningOf(pool).expiry);
    const auto known = pool.suspects.byFingerprint.find(learnt.fingerprint);
    if (learnt.expiresAt <= now || (known != pool.suspects.byFingerprint.end() && known->second.crashes >= learnt.crashes)) {
        return;
    }
    if (Suspect *suspect = addSuspect(pool, learnt.fingerprint)) {
        suspect->crashes = learnt.crashes;
        suspect->lastCrashAt = std::max(suspect->lastCrashAt, crashAt);
    }
}

EndpointState *selectEndpointForSuspect(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    if (!pool.suspects.onTrial.empty()) {
        return nullptr;
    }
    if (EndpointState *idle
        = leastWork(pool, request, [&](const EndpointState &endpoint) { return endpoint.running == 0 && freeSlots(pool, endpoint, now) > 0; })) {
        return idle;
    }
    if (mayEmptyEndpoint(pool)) {
        return selectEmptied(pool, request, now);
    }
    if (now < request.submittedAt + tuningOf(pool).isolationWait) {
        return nullptr;
    }
    return leastWork(pool, request, [&](const EndpointState &endpoint) { return freeSlots(pool, endpoint, now) > 0; });
}

bool isIsolated(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    const std::optional<Isolation> &isolation = pool.suspects.isolation;
    return now < endpoint.exclusiveUntil || (isolation && isolation->endpoint == endpoint.spec.id);
}

void startTrial(Pool &pool, ActiveRequest &request, TimePoint now)
{
    pool.suspects.onTrial.insert(request.submission.permit);
    pool.suspects.isolation.reset();
    request.outlivesCrashAt = outlivingLength(pool, request);
    // A small pool cannot do without an endpoint for long.
    request.endpoint->exclusiveUntil = mayEmptyEndpoint(pool) ? TimePoint::max() : now + tuningOf(pool).isolationWait;
}

void endTrial(Pool &pool, const ActiveRequest &request)
{
    if (pool.suspects.onTrial.erase(request.submission.permit) > 0) {
        request.endpoint->exclusiveUntil = {};
    }
}

void cancelUnusedIsolation(Pool &pool, TimePoint now)
{
    std::optional<Isolation> &isolation = pool.suspects.isolation;
    if (!isolation) {
        return;
    }
    const auto endpoint = pool.endpoints.find(isolation->endpoint);
    const bool gone = endpoint == pool.endpoints.end() || endpoint->second.spec.leaving;
    if (gone || !waitsAnySuspect(pool) || now >= isolation->until + tuningOf(pool).isolationWait) {
        isolation.reset();
    }
}

std::optional<TimePoint> nextSuspectChange(const Pool &pool, TimePoint now)
{
    std::optional<TimePoint> earliest;
    const auto consider = [&](TimePoint time) {
        if (time > now && time != TimePoint::max() && (!earliest || time < *earliest)) {
            earliest = time;
        }
    };
    for (const auto &[id, endpoint] : pool.endpoints) {
        consider(endpoint.exclusiveUntil);
    }
    if (pool.suspects.isolation) {
        consider(pool.suspects.isolation->until);
        consider(pool.suspects.isolation->until + tuningOf(pool).isolationWait);
    }
    if (waitsAnySuspect(pool)) {
        for (const auto &[permit, request] : pool.queue.requests) {
            if (request.lane == Lane::Suspect) {
                consider(request.submittedAt + tuningOf(pool).isolationWait);
            }
        }
    }
    return earliest;
}

} // namespace mulberrywall::policy
