#include "mulberrywall/Policy/CrashQuarantine.h"

#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/SegmentQuarantine.h"

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

bool isExpired(const Pool &pool, const QuarantinedRequest &quarantined, TimePoint now)
{
    return now - quarantined.lastCrashAt >= tuningOf(pool).expiry;
}

void removeExpired(Pool &pool, TimePoint now)
{
    std::erase_if(pool.quarantine.byFingerprint, [&](const auto &entry) { return isExpired(pool, entry.second, now); });
}

QuarantinedRequest *addQuarantined(Pool &pool, Fingerprint fingerprint)
{
    auto &requests = pool.quarantine.byFingerprint;
    if (fingerprint == 0 || (requests.size() >= tuningOf(pool).maximumQuarantined && !requests.contains(fingerprint))) {
        return nullptr;
    }
    pool.quarantine.changed = true;
    return &requests[fingerprint];
}

void clearOneCrash(Pool &pool, Fingerprint fingerprint)
{
    const auto found = pool.quarantine.byFingerprint.find(fingerprint);
    if (found != pool.quarantine.byFingerprint.end()) {
        QuarantinedRequest &quarantined = found->second;
        quarantined.cleared = std::min(quarantined.cleared + 1, quarantined.crashes);
        quarantined.passed = std::min(quarantined.passed, quarantined.crashes - quarantined.cleared);
        pool.quarantine.changed = true;
    }
}

const QuarantinedRequest *findQuarantined(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const auto found = pool.quarantine.byFingerprint.find(fingerprint);
    return found == pool.quarantine.byFingerprint.end() || isExpired(pool, found->second, now) ? nullptr : &found->second;
}

/// Returns the entry if its crashes count against the request, otherwise nullptr.
const QuarantinedRequest *findAttributed(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const QuarantinedRequest *quarantined = findQuarantined(pool, fingerprint, now);
    return quarantined == nullptr || isExplainedBySegment(pool, quarantined->lastCrashAt) ? nullptr : quarantined;
}

/// Returns the attributed crashes whose position the request has not passed.
unsigned unpassedCrashes(const QuarantinedRequest &quarantined)
{
    return quarantined.crashes - quarantined.cleared - quarantined.passed;
}

/// Returns the output length of the running attempt from which on it has passed the position of the earlier crash.
std::optional<std::uint64_t> crashPassedLength(const Pool &pool, const ActiveRequest &request)
{
    const std::uint64_t margin = tuningOf(pool).crashPositionMarginTokens;
    if (request.submission.purpose == AttemptPurpose::Resume) {
        return margin;
    }
    const auto quarantined = pool.quarantine.byFingerprint.find(request.submission.fingerprint);
    if (quarantined == pool.quarantine.byFingerprint.end() || !quarantined->second.tokensAtCrash) {
        return std::nullopt;
    }
    return *quarantined->second.tokensAtCrash + margin;
}

void recordPassedCrash(Pool &pool, ActiveRequest &request)
{
    if (!request.passesCrashAtTokens || request.outputTokens < *request.passesCrashAtTokens) {
        return;
    }
    request.passesCrashAtTokens.reset();
    const auto found = pool.quarantine.byFingerprint.find(request.submission.fingerprint);
    if (found != pool.quarantine.byFingerprint.end() && unpassedCrashes(found->second) > 0) {
        ++found->second.passed;
        pool.quarantine.changed = true;
    }
}

std::vector<PermitId> permitsAt(const Pool &pool, const EndpointState &endpoint)
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
        if (request.endpoint != &crashed && fingerprints.contains(fingerprint) && isRejectedForCrashes(pool, fingerprint, now)) {
            permits.push_back(permit);
        }
    }
    std::sort(permits.begin(), permits.end());
    for (const PermitId permit : permits) {
        decisions.cancellations.push_back({.permit = permit, .reason = RejectionReason::Quarantined});
    }
}

bool mayDrainEndpoint(const Pool &pool)
{
    const auto usable = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [](const auto &entry) { return !entry.second.spec.leaving; });
    return static_cast<std::size_t>(usable) >= tuningOf(pool).minimumEndpointsToDrain;
}

bool isHealthy(const EndpointState &endpoint)
{
    return endpoint.slow.health != EndpointHealth::Probation;
}

/// Returns the eligible endpoint with the least work for which the predicate holds, or nullptr.
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

EndpointState *selectDrainedEndpoint(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    std::optional<Isolation> &isolation = pool.quarantine.isolation;
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

bool anyQuarantinedWaiting(const Pool &pool)
{
    return std::any_of(pool.queue.tiers.begin(), pool.queue.tiers.end(), [](const auto &entry) {
        const auto &organisations = entry.second.organisations;
        return organisations.lower_bound({SchedulingGroup::Quarantined, support::OrganisationId()}) != organisations.end();
    });
}

} // namespace

unsigned attributedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const QuarantinedRequest *quarantined = findAttributed(pool, fingerprint, now);
    return quarantined == nullptr ? 0 : quarantined->crashes - quarantined->cleared;
}

unsigned reportedCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    if (isRejectedForCrashes(pool, fingerprint, now)) {
        return tuningOf(pool).crashesToReject;
    }
    return std::min(1U, attributedCrashes(pool, fingerprint, now));
}

bool isRejectedForCrashes(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const QuarantinedRequest *quarantined = findAttributed(pool, fingerprint, now);
    if (quarantined == nullptr) {
        return false;
    }
    return unpassedCrashes(*quarantined) >= tuningOf(pool).crashesToReject
        || quarantined->crashes - quarantined->cleared >= tuningOf(pool).totalCrashesToReject;
}

std::chrono::milliseconds remainingQuarantine(const Pool &pool, Fingerprint fingerprint, TimePoint now)
{
    const auto found = pool.quarantine.byFingerprint.find(fingerprint);
    if (found == pool.quarantine.byFingerprint.end()) {
        return {};
    }
    return std::chrono::ceil<std::chrono::milliseconds>(found->second.lastCrashAt + tuningOf(pool).expiry - now);
}

void recordEndpointCrash(Pool &pool, const ActiveRequest &failed, TimePoint now, Decisions &decisions)
{
    if (failed.crashRecordedAt) {
        return;
    }
    ++pool.statistics.endpointCrashes;
    removeExpired(pool, now);
    recordSegmentCrash(pool, *failed.endpoint, now);
    std::set<Fingerprint> fingerprints;
    for (const PermitId permit : permitsAt(pool, *failed.endpoint)) {
        ActiveRequest &request = pool.active.at(permit);
        request.crashRecordedAt = now;
        QuarantinedRequest *quarantined = addQuarantined(pool, request.submission.fingerprint);
        if (quarantined == nullptr) {
            continue;
        }
        quarantined->lastCrashAt = now;
        quarantined->ranBeforeCrash = std::max(quarantined->ranBeforeCrash, now - request.startedAt);
        if (fingerprints.insert(request.submission.fingerprint).second) {
            ++quarantined->crashes;
        }
    }
    cancelCopies(pool, fingerprints, *failed.endpoint, now, decisions);
}

void recordLengthAtCrash(Pool &pool, ActiveRequest &request)
{
    recordPassedCrash(pool, request);
    const auto found = pool.quarantine.byFingerprint.find(request.submission.fingerprint);
    if (found == pool.quarantine.byFingerprint.end()) {
        return;
    }
    std::optional<std::uint64_t> &length = found->second.tokensAtCrash;
    if (request.submission.purpose != AttemptPurpose::Resume) {
        length = std::max(length.value_or(0), request.outputTokens);
    } else if (length) {
        *length += request.outputTokens;
    }
}

void recordQuarantinedProgress(Pool &pool, ActiveRequest &request)
{
    recordPassedCrash(pool, request);
    // Uses the time of the token, not of the report: a token from before the crash may be reported long after it.
    if (request.crashRecordedAt && request.progressAt - *request.crashRecordedAt >= tuningOf(pool).survivalConfirmation) {
        clearOneCrash(pool, request.submission.fingerprint);
        request.crashRecordedAt.reset();
    }
    if (!pool.quarantine.isolatedRuns.contains(request.submission.permit)) {
        return;
    }
    const auto quarantined = pool.quarantine.byFingerprint.find(request.submission.fingerprint);
    const bool hasRunTime = quarantined != pool.quarantine.byFingerprint.end() && quarantined->second.ranBeforeCrash > TimePoint::duration::zero();
    const TimePoint::duration longest = tuningOf(pool).maximumIsolatedRun;
    const TimePoint::duration shortest = tuningOf(pool).minimumIsolatedRun;
    const TimePoint::duration requiredRunTime = hasRunTime ? std::clamp(quarantined->second.ranBeforeCrash, shortest, longest) : longest;
    if (request.progressAt - request.startedAt > requiredRunTime) {
        endIsolatedRun(pool, request);
    }
}

void clearCompletedRequest(Pool &pool, const ActiveRequest &request)
{
    const auto found = pool.quarantine.byFingerprint.find(request.submission.fingerprint);
    if (found != pool.quarantine.byFingerprint.end() && found->second.cleared < found->second.crashes) {
        found->second.cleared = found->second.crashes;
        found->second.passed = 0;
        pool.quarantine.changed = true;
    }
}

void mergeQuarantineEntry(Pool &pool, const QuarantineEntry &received, TimePoint now)
{
    removeExpired(pool, now);
    const TimePoint crashAt = std::min(now, received.expiresAt - tuningOf(pool).expiry);
    const auto existing = pool.quarantine.byFingerprint.find(received.fingerprint);
    if (received.expiresAt <= now || (existing != pool.quarantine.byFingerprint.end() && existing->second.crashes >= received.crashes)) {
        return;
    }
    if (QuarantinedRequest *quarantined = addQuarantined(pool, received.fingerprint)) {
        quarantined->crashes = received.crashes;
        quarantined->lastCrashAt = std::max(quarantined->lastCrashAt, crashAt);
    }
}

EndpointState *selectEndpointForQuarantined(Pool &pool, const WaitingRequest &request, TimePoint now)
{
    if (!pool.quarantine.isolatedRuns.empty()) {
        return nullptr;
    }
    if (EndpointState *idle
        = leastWork(pool, request, [&](const EndpointState &endpoint) { return endpoint.running == 0 && freeSlots(pool, endpoint, now) > 0; })) {
        return idle;
    }
    if (mayDrainEndpoint(pool)) {
        return selectDrainedEndpoint(pool, request, now);
    }
    if (now < request.submittedAt + tuningOf(pool).isolationWait) {
        return nullptr;
    }
    return leastWork(pool, request, [&](const EndpointState &endpoint) { return freeSlots(pool, endpoint, now) > 0; });
}

bool isIsolated(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    const std::optional<Isolation> &isolation = pool.quarantine.isolation;
    return now < endpoint.exclusiveUntil || (isolation && isolation->endpoint == endpoint.spec.id);
}

void startIsolatedRun(Pool &pool, ActiveRequest &request, TimePoint now)
{
    pool.quarantine.isolatedRuns.insert(request.submission.permit);
    pool.quarantine.isolation.reset();
    request.passesCrashAtTokens = crashPassedLength(pool, request);
    // A small pool cannot spare an endpoint for long.
    request.endpoint->exclusiveUntil = mayDrainEndpoint(pool) ? TimePoint::max() : now + tuningOf(pool).isolationWait;
}

void endIsolatedRun(Pool &pool, const ActiveRequest &request)
{
    if (pool.quarantine.isolatedRuns.erase(request.submission.permit) > 0) {
        request.endpoint->exclusiveUntil = {};
    }
}

void cancelUnusedIsolation(Pool &pool, TimePoint now)
{
    std::optional<Isolation> &isolation = pool.quarantine.isolation;
    if (!isolation) {
        return;
    }
    const auto endpoint = pool.endpoints.find(isolation->endpoint);
    const bool gone = endpoint == pool.endpoints.end() || endpoint->second.spec.leaving;
    if (gone || !anyQuarantinedWaiting(pool) || now >= isolation->until + tuningOf(pool).isolationWait) {
        isolation.reset();
    }
}

std::optional<TimePoint> nextQuarantineChange(const Pool &pool, TimePoint now)
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
    if (pool.quarantine.isolation) {
        consider(pool.quarantine.isolation->until);
        consider(pool.quarantine.isolation->until + tuningOf(pool).isolationWait);
    }
    if (anyQuarantinedWaiting(pool)) {
        for (const auto &[permit, request] : pool.queue.requests) {
            if (request.group == SchedulingGroup::Quarantined) {
                consider(request.submittedAt + tuningOf(pool).isolationWait);
            }
        }
    }
    return earliest;
}

} // namespace mulberrywall::policy
