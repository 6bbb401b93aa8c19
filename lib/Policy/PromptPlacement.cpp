#include "mulberrywall/Policy/PromptPlacement.h"

#include "mulberrywall/Policy/EndpointSelection.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

/// What waits and runs at an endpoint.
struct Backlog
{
    double unreadTokens = 0.0;
    unsigned running = 0;
    StreamsByPause streams;
};

void addStreams(StreamsByPause &sum, const StreamsByPause &streams)
{
    for (const auto &[pause, count] : streams) {
        sum[pause] += count;
    }
}

bool isFresh(const PeerLoad &load, const PlacementTuning &tuning, TimePoint now)
{
    return now - load.reportedAt <= tuning.peerLifetime;
}

Backlog backlogOf(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    Backlog result {.unreadTokens = static_cast<double>(endpoint.prompts.readingTokens), .running = endpoint.running, .streams = endpoint.prompts.streams};
    for (const auto &[peer, load] : endpoint.peers) {
        if (isFresh(load, pool.options.tuning.placement, now)) {
            result.unreadTokens += load.unreadTokens;
            result.running += load.running;
            addStreams(result.streams, load.streams);
        }
    }
    return result;
}

double readingSpeed(const Pool &pool, const EndpointState &endpoint)
{
    const double tokensPerSecond
        = pool.promptTokensPerSecond.samples > 0 ? pool.promptTokensPerSecond.value : pool.options.tuning.placement.defaultTokensPerSecond;
    return tokensPerSecond * std::clamp(endpoint.slow.relativeSpeed, pool.options.tuning.placement.minimumRelativeSpeed, 1.0);
}

bool holds(const EndpointState &endpoint, std::uint64_t prefix)
{
    return prefix != 0 && endpoint.prompts.prefixes.contains(prefix);
}

/// Drops the prefixes that were not used for the longest time while an engine's memory cannot hold them all.
void dropOldest(PromptCache &cache, std::uint64_t capacity)
{
    while (cache.heldTokens > capacity && !cache.prefixes.empty()) {
        const auto oldest = std::min_element(
            cache.prefixes.begin(), cache.prefixes.end(), [](const auto &left, const auto &right) { return left.second.usedAt < right.second.usedAt; });
        cache.heldTokens -= oldest->second.tokens;
        cache.prefixes.erase(oldest);
    }
}

void notePrefix(const Pool &pool, EndpointState &endpoint, std::uint64_t prefix, std::uint32_t tokens, TimePoint now)
{
    if (prefix == 0 || tokens == 0) {
        return;
    }
    PromptCache &cache = endpoint.prompts;
    const auto [entry, added] = cache.prefixes.try_emplace(prefix, CachedPrefix {.tokens = tokens});
    entry->second.usedAt = now;
    if (added) {
        cache.heldTokens += tokens;
        dropOldest(cache, pool.options.tuning.placement.cacheTokens);
    }
}

std::chrono::milliseconds pauseTargetOf(const Pool &pool, const Submission &submission)
{
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    return requestClass == nullptr ? std::chrono::milliseconds(0) : requestClass->spec.betweenTokensTarget;
}

/// Returns the number of streams that would miss their pause targets if the engine read for the given time at once.
unsigned missedPauses(const StreamsByPause &streams, double readSeconds, const PlacementTuning &tuning)
{
    unsigned count = 0;
    for (const auto &[pause, number] : streams) {
        if (readSeconds > tuning.pauseShare * std::chrono::duration<double>(pause).count()) {
            count += number;
        }
    }
    return count;
}

/// Returns whether long prompts that are about could make the stream miss its pause target.
bool needsReserve(const Pool &pool, std::chrono::milliseconds pause, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    if (now - pool.longestRead.notedAt > tuning.longestReadLifetime) {
        return false;
    }
    return pool.longestRead.seconds > tuning.pauseShare * std::chrono::duration<double>(pause).count();
}

void noteRead(Pool &pool, double seconds, TimePoint now)
{
    const bool isOld = now - pool.longestRead.notedAt > pool.options.tuning.placement.longestReadLifetime;
    if (isOld || seconds >= pool.longestRead.seconds) {
        pool.longestRead = {.seconds = seconds, .notedAt = now};
    }
}

bool isLongRead(const Pool &pool, const EndpointState &endpoint, double tokens)
{
    return tokens / readingSpeed(pool, endpoint) > pool.options.tuning.placement.longReadShare * pool.longestRead.seconds;
}

/// Returns the number of running streams with short prompts, of this router and its peers, that long prompts could make
/// miss their pause targets.
unsigned streamsNeedingReserve(const Pool &pool, TimePoint now)
{
    unsigned count = 0;
    const auto add = [&](const StreamsByPause &streams) {
        for (const auto &[pause, number] : streams) {
            count += needsReserve(pool, pause, now) ? number : 0;
        }
    };
    for (const auto &[id, endpoint] : pool.endpoints) {
        add(endpoint.prompts.shortStreams);
        for (const auto &[peer, load] : endpoint.peers) {
            if (isFresh(load, pool.options.tuning.placement, now)) {
                add(load.shortStreams);
            }
        }
    }
    return count;
}

/// Chooses the engines that are reserved for streams with short prompts and short pauses; long prompts avoid them.
///
/// All routers choose the same ones, in an order by hash, for nearly the same number of streams.
std::set<const EndpointState *> reservedEndpoints(const Pool &pool, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    std::vector<std::pair<std::uint64_t, const EndpointState *>> order;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (!endpoint.spec.leaving) {
            order.emplace_back(rendezvousWeight(0, id), &endpoint);
        }
    }
    if (order.size() < tuning.minimumEndpointsToReserve || pool.longestRead.seconds == 0.0) {
        return {};
    }
    std::sort(order.begin(), order.end());
    const auto most = static_cast<std::size_t>(tuning.maximumReservedShare * static_cast<double>(order.size()));
    const std::size_t needed = 1 + streamsNeedingReserve(pool, now) / tuning.streamsPerReserved;
    std::set<const EndpointState *> result;
    for (const auto &[hash, endpoint] : std::span(order).first(std::min(needed, most))) {
        result.insert(endpoint);
    }
    return result;
}

/// Returns the delay that stands for the pause targets that the placement makes streams miss.
double pauseCost(const Pool &pool, const EndpointState &endpoint, const Submission &submission, const Backlog &backlog, bool isReserved, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const double speed = readingSpeed(pool, endpoint);
    const double own = unreadTokens(endpoint, submission) / speed;
    const double waiting = backlog.unreadTokens / speed;
    // Streams that miss their targets because of what waits already are no reason to go elsewhere.
    const unsigned missed = missedPauses(backlog.streams, waiting + own, tuning) - missedPauses(backlog.streams, waiting, tuning);
    double seconds = missed * std::chrono::duration<double>(tuning.delayPerMissedPause).count();
    const bool isShort = !isLongRead(pool, endpoint, submission.sharedPromptTokens.value_or(0));
    const bool needsIt = isShort && needsReserve(pool, pauseTargetOf(pool, submission), now);
    if (needsIt && !isReserved) {
        seconds += std::chrono::duration<double>(tuning.delayOutsideReserved).count();
    }
    if (isReserved && isLongRead(pool, endpoint, unreadTokens(endpoint, submission))) {
        seconds += std::chrono::duration<double>(tuning.delayAtReserved).count();
    }
    return seconds;
}

/// Returns the time that a request should rather wait than have an endpoint read its shared part again.
double rereadSeconds(const Pool &pool, const EndpointState &endpoint, const Submission &submission)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const double readSeconds = submission.sharedPromptTokens.value_or(0) / readingSpeed(pool, endpoint);
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    if (requestClass == nullptr) {
        return readSeconds;
    }
    const double target = std::chrono::duration<double>(requestClass->spec.firstTokenTarget).count();
    return std::min(tuning.rereadWeight * readSeconds, tuning.maximumTargetShare * target);
}

} // namespace

std::uint32_t unreadTokens(const EndpointState &endpoint, const Submission &submission)
{
    const std::uint32_t shared = std::min(submission.sharedPromptTokens.value_or(0), submission.promptTokens);
    return holds(endpoint, submission.prefixHash) ? submission.promptTokens - shared : submission.promptTokens;
}

/// Returns the estimated time until the endpoint sends the first token of the request.
static double firstTokenSeconds(const Pool &pool, const EndpointState &endpoint, const Submission &submission, const Backlog &backlog)
{
    const double reading = (backlog.unreadTokens + unreadTokens(endpoint, submission)) / readingSpeed(pool, endpoint);
    const double sharing = backlog.running * std::chrono::duration<double>(pool.options.tuning.placement.delayPerRunning).count();
    return reading + sharing;
}

EndpointState *placePrompt(const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission, TimePoint now)
{
    const bool isHeld
        = std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [&](const auto &entry) { return holds(entry.second, submission.prefixHash); });
    const std::set<const EndpointState *> reserved = reservedEndpoints(pool, now);
    EndpointState *best = nullptr;
    double bestSeconds = std::numeric_limits<double>::max();
    for (EndpointState *endpoint : candidates) {
        const Backlog backlog = backlogOf(pool, *endpoint, now);
        double seconds
            = firstTokenSeconds(pool, *endpoint, submission, backlog) + pauseCost(pool, *endpoint, submission, backlog, reserved.contains(endpoint), now);
        if (isHeld && !holds(*endpoint, submission.prefixHash)) {
            seconds += rereadSeconds(pool, *endpoint, submission);
        }
        const bool isBetter = seconds < bestSeconds || (seconds == bestSeconds && endpoint->lastGrant < best->lastGrant);
        if (isBetter) {
            best = endpoint;
            bestSeconds = seconds;
        }
    }
    return best;
}

void notePromptStart(Pool &pool, ActiveRequest &request, TimePoint now)
{
    EndpointState &endpoint = *request.endpoint;
    request.unreadTokens = unreadTokens(endpoint, request.submission);
    request.unreadAhead = static_cast<std::uint32_t>(backlogOf(pool, endpoint, now).unreadTokens);
    request.readingTokens = request.unreadTokens;
    endpoint.prompts.readingTokens += request.readingTokens;
    notePrefix(pool, endpoint, request.submission.prefixHash, request.submission.sharedPromptTokens.value_or(0), now);
    if (!request.submission.sharedPromptTokens) {
        return;
    }
    request.pauseTarget = pauseTargetOf(pool, request.submission);
    noteRead(pool, request.unreadTokens / readingSpeed(pool, endpoint), now);
    ++endpoint.prompts.streams[request.pauseTarget];
    request.hasShortPrompt = !isLongRead(pool, endpoint, *request.submission.sharedPromptTokens);
    if (request.hasShortPrompt) {
        ++endpoint.prompts.shortStreams[request.pauseTarget];
    }
}

static void stopReading(ActiveRequest &request)
{
    request.endpoint->prompts.readingTokens -= request.readingTokens;
    request.readingTokens = 0;
}

static void removeStream(StreamsByPause &streams, std::chrono::milliseconds pause)
{
    const auto found = streams.find(pause);
    if (found != streams.end() && --found->second == 0) {
        streams.erase(found);
    }
}

void notePromptEnd(ActiveRequest &request)
{
    stopReading(request);
    if (!request.submission.sharedPromptTokens) {
        return;
    }
    removeStream(request.endpoint->prompts.streams, request.pauseTarget);
    if (request.hasShortPrompt) {
        removeStream(request.endpoint->prompts.shortStreams, request.pauseTarget);
    }
}

void notePromptRead(Pool &pool, ActiveRequest &request, TimePoint firstTokenAt, TimePoint now)
{
    stopReading(request);
    const PlacementTuning &tuning = pool.options.tuning.placement;
    if (request.adopted || request.unreadTokens < tuning.minimumSampleTokens) {
        return;
    }
    const double seconds = secondsBetween(request.startedAt, firstTokenAt);
    if (seconds > 0.0) {
        observe(pool.promptTokensPerSecond, (request.unreadTokens + request.unreadAhead) / seconds, now);
    }
}

void forgetPrompts(EndpointState &endpoint)
{
    endpoint.prompts.prefixes.clear();
    endpoint.prompts.heldTokens = 0;
}

void recordPeerRequests(Pool &pool, const PeerReport &report, TimePoint now)
{
    for (auto &[id, endpoint] : pool.endpoints) {
        endpoint.peers.erase(report.router);
    }
    for (const PeerRequest &request : report.requests) {
        const auto found = pool.endpoints.find(request.endpoint);
        if (found == pool.endpoints.end()) {
            continue;
        }
        PeerLoad &load = found->second.peers[report.router];
        load.reportedAt = now;
        load.unreadTokens += request.unreadTokens;
        ++load.running;
        noteRead(pool, request.unreadTokens / readingSpeed(pool, found->second), now);
        if (request.pauseTarget.count() > 0) {
            ++load.streams[request.pauseTarget];
        }
        if (request.pauseTarget.count() > 0 && !isLongRead(pool, found->second, request.sharedTokens)) {
            ++load.shortStreams[request.pauseTarget];
        }
        notePrefix(pool, found->second, request.prefixHash, request.sharedTokens, now);
    }
}

std::vector<PeerRequest> runningRequests(const Pool &pool)
{
    std::vector<PeerRequest> result;
    result.reserve(pool.active.size());
    for (const auto &[permit, request] : pool.active) {
        result.push_back({.endpoint = request.endpoint->spec.id,
            .prefixHash = request.submission.prefixHash,
            .sharedTokens = request.submission.sharedPromptTokens.value_or(0),
            .unreadTokens = request.readingTokens,
            .pauseTarget = request.pauseTarget});
    }
    return result;
}

} // namespace mulberrywall::policy
