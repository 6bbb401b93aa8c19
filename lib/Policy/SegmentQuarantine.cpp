#include "mulberrywall/Policy/SegmentQuarantine.h"

#include "mulberrywall/Policy/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace mulberrywall::policy
{

namespace
{

const SegmentTuning &tuningOf(const Pool &pool)
{
    return pool.options.tuning.segments;
}

using Crashes = std::vector<SegmentCrashRecord>;

bool isExpired(const Pool &pool, const SegmentState &state, TimePoint now)
{
    return state.crashes.empty() || now - state.crashes.back().at >= tuningOf(pool).expiry;
}

/// Returns whether the crashes, oldest first, suffice for a quarantine.
bool suffice(const SegmentTuning &tuning, const Crashes &crashes)
{
    return crashes.size() >= tuning.crashesToQuarantine && crashes.back().at - crashes.front().at >= tuning.minimumCrashSpan;
}

bool isQuarantinedNow(const Pool &pool, const SegmentState &state, TimePoint now)
{
    return state.isQuarantined && !isExpired(pool, state, now);
}

const SegmentState *findSegment(const Pool &pool, Fingerprint segment)
{
    const auto found = pool.segments.states.find(segment);
    return found == pool.segments.states.end() ? nullptr : &found->second;
}

/// Returns the state if the segment is quarantined, otherwise nullptr.
const SegmentState *findQuarantined(const Pool &pool, Fingerprint segment, TimePoint now)
{
    const SegmentState *state = findSegment(pool, segment);
    return state != nullptr && isQuarantinedNow(pool, *state, now) ? state : nullptr;
}

bool isTrialRunning(const Pool &pool, const SegmentState &state)
{
    return state.trial && (pool.active.contains(*state.trial) || pool.queue.requests.contains(*state.trial));
}

bool isTrialDue(const Pool &pool, const SegmentState &state, TimePoint now)
{
    const SegmentTuning &tuning = tuningOf(pool);
    const auto delay = tuning.firstTrialDelay * std::pow(tuning.trialDelayFactor, state.trials);
    return state.sawLatestCrash && !isTrialRunning(pool, state) && now - state.crashes.back().at >= delay;
}

/// Returns whether the segment was not responsible for the crash: engines produced output for it shortly before, or later.
bool isRefuted(const Pool &pool, const SegmentState &state, const SegmentCrashRecord &crash)
{
    return state.outputAt && crash.at <= *state.outputAt + tuningOf(pool).outputLifetime;
}

void dropRefutedCrashes(const Pool &pool, SegmentState &state)
{
    std::erase_if(state.crashes, [&](const SegmentCrashRecord &crash) { return isRefuted(pool, state, crash); });
    if (state.crashes.empty()) {
        state.sawLatestCrash = false;
        state.trials = 0;
        state.trial.reset();
    }
}

using SegmentEntry = std::pair<const Fingerprint, SegmentState>;

/// Returns whether the left segment explains crashes better than the right one: no output was ever seen for it, it was there
/// at more crashes, or it is further from the start of the prompt and thereby in fewer requests.
bool isMoreSuspicious(const SegmentEntry &left, const SegmentEntry &right)
{
    const auto rank = [](const SegmentEntry &entry) {
        const SegmentState &state = entry.second;
        const TimePoint::duration outputAge = state.outputAt ? -state.outputAt->time_since_epoch() : TimePoint::duration::zero();
        return std::tuple(!state.outputAt, state.crashes.size(), outputAge, state.position, entry.first);
    };
    return rank(left) > rank(right);
}

Crashes crashesWithout(const Crashes &crashes, const std::set<std::uint64_t> &explained)
{
    Crashes result;
    std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(result), [&](const SegmentCrashRecord &crash) { return !explained.contains(crash.id); });
    return result;
}

/// Returns the segments that explain the crashes, the most suspicious first. A crash that one of them explains does not count
/// against the other segments that were there.
std::set<Fingerprint> segmentsToQuarantine(const Pool &pool, TimePoint now)
{
    const SegmentTuning &tuning = tuningOf(pool);
    std::vector<const SegmentEntry *> suspects;
    for (const SegmentEntry &entry : pool.segments.states) {
        if (suffice(tuning, entry.second.crashes) && !isExpired(pool, entry.second, now)) {
            suspects.push_back(&entry);
        }
    }
    std::sort(suspects.begin(), suspects.end(), [](const SegmentEntry *left, const SegmentEntry *right) { return isMoreSuspicious(*left, *right); });
    std::set<Fingerprint> result;
    std::set<std::uint64_t> explained;
    for (const SegmentEntry *suspect : suspects) {
        const Crashes &crashes = suspect->second.crashes;
        if (!suffice(tuning, crashesWithout(crashes, explained))) {
            continue;
        }
        result.insert(suspect->first);
        std::transform(crashes.begin(), crashes.end(), std::inserter(explained, explained.end()), [](const SegmentCrashRecord &crash) { return crash.id; });
    }
    return result;
}

/// Decides anew which segments are quarantined, and records the changes.
void updateQuarantine(Pool &pool, TimePoint now)
{
    const std::set<Fingerprint> quarantined = segmentsToQuarantine(pool, now);
    pool.segments.explainedCrashes.clear();
    for (auto &[segment, state] : pool.segments.states) {
        if (quarantined.contains(segment)) {
            std::transform(
                state.crashes.begin(), state.crashes.end(), std::back_inserter(pool.segments.explainedCrashes), std::mem_fn(&SegmentCrashRecord::at));
        }
        if (state.isQuarantined == quarantined.contains(segment)) {
            continue;
        }
        state.isQuarantined = !state.isQuarantined;
        pool.segments.changes.push_back({.segment = segment, .isQuarantined = state.isQuarantined, .crashes = static_cast<unsigned>(state.crashes.size())});
        // Waiting requests have to be checked again.
        pool.quarantine.changed = true;
    }
}

bool isObsolete(const Pool &pool, const SegmentState &state, TimePoint now)
{
    const bool isOutputForgotten = !state.outputAt || now - *state.outputAt >= tuningOf(pool).outputMemory;
    return isExpired(pool, state, now) && isOutputForgotten;
}

void removeObsolete(Pool &pool, TimePoint now)
{
    if (now < pool.segments.nextRemoval) {
        return;
    }
    pool.segments.nextRemoval = now + tuningOf(pool).removalInterval;
    updateQuarantine(pool, now);
    std::erase_if(pool.segments.states, [&](const auto &entry) { return isObsolete(pool, entry.second, now); });
}

/// Returns the state of the segment, or nullptr if it is new and there are too many already.
SegmentState *addSegment(Pool &pool, Fingerprint segment, std::size_t position)
{
    auto &states = pool.segments.states;
    const auto found = states.find(segment);
    if (found != states.end()) {
        found->second.position = std::min(found->second.position, position);
        return &found->second;
    }
    if (states.size() >= tuningOf(pool).maximumSegments) {
        return nullptr;
    }
    SegmentState &added = states[segment];
    added.position = position;
    return &added;
}

/// The same for evidence of a crash, which displaces segments that nothing speaks against.
SegmentState *addSuspect(Pool &pool, Fingerprint segment, std::size_t position)
{
    auto &states = pool.segments.states;
    if (states.size() >= tuningOf(pool).maximumSegments && !states.contains(segment)) {
        const auto harmless = std::find_if(states.begin(), states.end(), [](const auto &entry) { return entry.second.crashes.empty(); });
        if (harmless != states.end()) {
            states.erase(harmless);
        }
    }
    return addSegment(pool, segment, position);
}

void sortByTime(Crashes &crashes)
{
    std::sort(crashes.begin(), crashes.end(), [](const auto &left, const auto &right) { return left.at < right.at; });
}

/// Adds a crash. Returns false if it was known already, or is refuted.
bool addCrash(const Pool &pool, SegmentState &state, const SegmentCrashRecord &crash)
{
    if (isRefuted(pool, state, crash)) {
        return false;
    }
    const auto same = std::find_if(state.crashes.begin(), state.crashes.end(), [&](const SegmentCrashRecord &known) { return known.id == crash.id; });
    if (same != state.crashes.end()) {
        // A router that was paused finds the same crash later than others.
        same->at = std::min(same->at, crash.at);
        sortByTime(state.crashes);
        return false;
    }
    state.crashes.push_back(crash);
    sortByTime(state.crashes);
    if (state.crashes.size() <= tuningOf(pool).maximumCrashes) {
        return true;
    }
    // Keeps the first one, from which the span is counted, and the latest ones.
    const auto dropped = state.crashes.begin() + 1;
    const bool isNew = dropped->id != crash.id;
    state.crashes.erase(dropped);
    return isNew;
}

/// Records output for the segment. Returns true if it refutes crashes.
bool addOutput(const Pool &pool, SegmentState &state, TimePoint outputAt, TimePoint now)
{
    if (state.outputAt && *state.outputAt >= outputAt) {
        return false;
    }
    state.outputAt = outputAt;
    if (state.crashes.empty()) {
        return false;
    }
    state.changedAt = now;
    dropRefutedCrashes(pool, state);
    return true;
}

void recordOutputOf(Pool &pool, ActiveRequest &request, TimePoint outputAt, TimePoint now)
{
    request.hasLastingOutput = true;
    removeObsolete(pool, now);
    bool changed = false;
    const std::vector<Fingerprint> &segments = request.submission.segments;
    for (std::size_t position = 0; position < segments.size(); ++position) {
        SegmentState *state = addSegment(pool, segments[position], position);
        changed = (state != nullptr && addOutput(pool, *state, outputAt, now)) || changed;
    }
    if (changed) {
        updateQuarantine(pool, now);
    }
}

/// Identifies a crash. Routers that see the same crash give it the same id if the endpoint states its incarnation.
std::uint64_t crashId(const EndpointState &endpoint, TimePoint now)
{
    // An endpoint whose incarnation is unknown takes longer than this to start again.
    constexpr std::chrono::milliseconds shortestRestart {100};
    const std::int64_t incarnation = endpoint.spec.incarnation != 0 ? endpoint.spec.incarnation : now.time_since_epoch() / shortestRestart;
    return rendezvousWeight(static_cast<std::uint64_t>(incarnation), endpoint.spec.id);
}

std::chrono::milliseconds ageOf(TimePoint time, TimePoint now)
{
    return std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(now - time));
}

SegmentEvidence evidenceOf(Fingerprint segment, const SegmentState &state, TimePoint now)
{
    SegmentEvidence evidence {.segment = segment, .position = state.position};
    if (state.outputAt) {
        evidence.outputAge = ageOf(*state.outputAt, now);
    }
    for (const SegmentCrashRecord &crash : state.crashes) {
        evidence.crashes.push_back({.id = crash.id, .age = ageOf(crash.at, now)});
    }
    return evidence;
}

bool mustReport(const Pool &pool, const SegmentState &state, TimePoint now)
{
    return state.isQuarantined || (state.changedAt && now - *state.changedAt <= tuningOf(pool).reportLifetime);
}

/// Returns whether the evidence comes from an earlier process of this router that saw the latest crash which is known now.
bool continuesTrials(const SegmentState &state, const SegmentEvidence &evidence)
{
    return evidence.sawLatestCrash && !state.crashes.empty()
        && std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](const SegmentCrash &crash) { return crash.id == state.crashes.back().id; });
}

/// Merges the evidence about one segment. Returns true if it was new.
bool mergeEvidence(Pool &pool, const SegmentEvidence &evidence, TimePoint now)
{
    SegmentState *state = addSuspect(pool, evidence.segment, evidence.position);
    if (state == nullptr) {
        return false;
    }
    bool changed = evidence.outputAge && addOutput(pool, *state, now - *evidence.outputAge, now);
    for (const SegmentCrash &crash : evidence.crashes) {
        const SegmentCrashRecord record {.id = crash.id, .at = now - crash.age};
        const bool isLatest = state->crashes.empty() || record.at > state->crashes.back().at;
        if (addCrash(pool, *state, record)) {
            changed = true;
            state->changedAt = now;
            state->sawLatestCrash = state->sawLatestCrash && !isLatest;
        } else if (state->outputAt && record.at <= *state->outputAt) {
            // The peer does not know the output yet.
            state->changedAt = now;
        }
    }
    // Without a trial, no router would find out that the segment does not crash engines.
    state->sawLatestCrash = state->sawLatestCrash || continuesTrials(*state, evidence);
    return changed;
}

bool hasQuarantinedSegment(const Pool &pool, const Submission &submission, TimePoint now)
{
    return std::any_of(
        submission.segments.begin(), submission.segments.end(), [&](Fingerprint segment) { return findQuarantined(pool, segment, now) != nullptr; });
}

} // namespace

std::optional<Fingerprint> rejectingSegment(const Pool &pool, const Submission &submission, TimePoint now)
{
    for (const Fingerprint segment : submission.segments) {
        const SegmentState *state = findQuarantined(pool, segment, now);
        if (state != nullptr && state->trial != submission.permit && !isTrialDue(pool, *state, now)) {
            return segment;
        }
    }
    return std::nullopt;
}

std::chrono::milliseconds remainingSegmentQuarantine(const Pool &pool, Fingerprint segment, TimePoint now)
{
    const SegmentState *state = findQuarantined(pool, segment, now);
    return state == nullptr ? std::chrono::milliseconds(0)
                            : std::chrono::ceil<std::chrono::milliseconds>(state->crashes.back().at + tuningOf(pool).expiry - now);
}

bool isExplainedBySegment(const Pool &pool, TimePoint crashAt)
{
    const auto &explained = pool.segments.explainedCrashes;
    const auto tolerance = tuningOf(pool).explainedCrashTolerance;
    return std::any_of(explained.begin(), explained.end(), [&](TimePoint time) { return std::chrono::abs(time - crashAt) <= tolerance; });
}

void startSegmentTrial(Pool &pool, const Submission &submission, TimePoint now)
{
    for (const Fingerprint segment : submission.segments) {
        const auto found = pool.segments.states.find(segment);
        if (found == pool.segments.states.end() || !isQuarantinedNow(pool, found->second, now)) {
            continue;
        }
        found->second.trial = submission.permit;
        ++found->second.trials;
    }
}

bool isSegmentTrial(const Pool &pool, const Submission &submission)
{
    return std::any_of(submission.segments.begin(), submission.segments.end(), [&](Fingerprint segment) {
        const SegmentState *state = findSegment(pool, segment);
        return state != nullptr && state->trial == submission.permit;
    });
}

void recordSegmentCrash(Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    removeObsolete(pool, now);
    const SegmentCrashRecord crash {.id = crashId(endpoint, now), .at = now};
    for (const auto &[permit, request] : pool.active) {
        if (request.endpoint != &endpoint || request.hasLastingOutput) {
            continue;
        }
        const std::vector<Fingerprint> &segments = request.submission.segments;
        for (std::size_t position = 0; position < segments.size(); ++position) {
            SegmentState *state = addSuspect(pool, segments[position], position);
            if (state != nullptr && addCrash(pool, *state, crash)) {
                state->changedAt = now;
                state->sawLatestCrash = true;
            }
        }
    }
    updateQuarantine(pool, now);
}

void recordSegmentOutput(Pool &pool, ActiveRequest &request, TimePoint now)
{
    const bool lasts = request.outputTokens > 0 && request.progressAt - request.firstProgressAt >= tuningOf(pool).lastingOutput;
    if (lasts && !request.hasLastingOutput) {
        recordOutputOf(pool, request, request.progressAt, now);
    }
}

void recordSegmentCompletion(Pool &pool, ActiveRequest &request, TimePoint now)
{
    // Without output the endpoint may have answered with an error before it began to generate.
    if (request.outputTokens > 0 || !pool.producesTokens) {
        recordOutputOf(pool, request, now, now);
    }
}

void mergeSegmentEvidence(Pool &pool, std::span<const SegmentEvidence> evidence, TimePoint now)
{
    removeObsolete(pool, now);
    bool changed = false;
    for (const SegmentEvidence &entry : evidence) {
        changed = mergeEvidence(pool, entry, now) || changed;
    }
    if (changed) {
        updateQuarantine(pool, now);
    }
}

std::vector<SegmentEvidence> segmentEvidence(const Pool &pool, TimePoint now)
{
    std::vector<std::pair<Fingerprint, const SegmentState *>> reported;
    for (const auto &[segment, state] : pool.segments.states) {
        if (mustReport(pool, state, now)) {
            reported.emplace_back(segment, &state);
        }
    }
    std::sort(reported.begin(), reported.end(), [](const auto &left, const auto &right) {
        return std::tuple(left.second->isQuarantined, left.second->crashes.size(), left.first)
            > std::tuple(right.second->isQuarantined, right.second->crashes.size(), right.first);
    });
    reported.resize(std::min(reported.size(), tuningOf(pool).maximumReported));
    std::vector<SegmentEvidence> result;
    for (const auto &[segment, state] : reported) {
        result.push_back(evidenceOf(segment, *state, now));
    }
    return result;
}

std::vector<QuarantinedSegment> listQuarantinedSegments(const Pool &pool, TimePoint now)
{
    std::vector<QuarantinedSegment> result;
    for (const auto &[segment, state] : pool.segments.states) {
        if (isQuarantinedNow(pool, state, now)) {
            result.push_back({.evidence = evidenceOf(segment, state, now), .sawLatestCrash = state.sawLatestCrash});
        }
    }
    std::sort(result.begin(), result.end(), [](const QuarantinedSegment &left, const QuarantinedSegment &right) {
        return left.evidence.segment < right.evidence.segment;
    });
    return result;
}

void cancelQuarantinedSegments(const Pool &pool, TimePoint now, Decisions &decisions)
{
    std::vector<PermitId> permits;
    for (const auto &[permit, request] : pool.active) {
        if (request.outputTokens == 0 && !request.crashRecordedAt && hasQuarantinedSegment(pool, request.submission, now)
            && !isSegmentTrial(pool, request.submission)) {
            permits.push_back(permit);
        }
    }
    std::sort(permits.begin(), permits.end());
    for (const PermitId permit : permits) {
        decisions.cancellations.push_back({.permit = permit, .reason = RejectionReason::Quarantined});
    }
}

std::size_t quarantinedSegments(const Pool &pool, TimePoint now)
{
    return static_cast<std::size_t>(
        std::count_if(pool.segments.states.begin(), pool.segments.states.end(), [&](const auto &entry) { return isQuarantinedNow(pool, entry.second, now); }));
}

} // namespace mulberrywall::policy
