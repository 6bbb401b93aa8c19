#include "mulberrywall/Policy/PromptPlacement.h"

#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/PeerLoads.h"
#include "mulberrywall/Policy/PromptCache.h"
#include "mulberrywall/Policy/PromptReading.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

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

/// Returns the number of running streams with short prompts, of this router and its peers, that long prompts could make
/// miss their pause targets.
unsigned streamsNeedingReserve(const Pool &pool, TimePoint now)
{
    unsigned count = 0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        for (const auto &[pause, number] : loadOf(pool, endpoint, now).shortStreams) {
            count += needsReserve(pool, pause, now) ? number : 0;
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
double pauseCost(const Pool &pool, const EndpointState &endpoint, const Submission &submission, const EndpointLoad &backlog, bool isReserved, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const double speed = promptReadingSpeed(pool, endpoint);
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
    const double readSeconds = submission.sharedPromptTokens.value_or(0) / promptReadingSpeed(pool, endpoint);
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    if (requestClass == nullptr) {
        return readSeconds;
    }
    const double target = std::chrono::duration<double>(requestClass->spec.firstTokenTarget).count();
    return std::min(tuning.rereadWeight * readSeconds, tuning.maximumTargetShare * target);
}

} // namespace

/// Returns the estimated time until the endpoint sends the first token of the request.
static double firstTokenSeconds(const Pool &pool, const EndpointState &endpoint, const Submission &submission, const EndpointLoad &backlog)
{
    const double reading = (backlog.unreadTokens + unreadTokens(endpoint, submission)) / promptReadingSpeed(pool, endpoint);
    const double sharing = backlog.running * std::chrono::duration<double>(pool.options.tuning.placement.delayPerRunning).count();
    return reading + sharing;
}

EndpointState *placePrompt(const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission, TimePoint now)
{
    const bool isHeld
        = std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [&](const auto &entry) { return holdsPrefix(entry.second, submission.prefixHash); });
    const std::set<const EndpointState *> reserved = reservedEndpoints(pool, now);
    EndpointState *best = nullptr;
    double bestSeconds = std::numeric_limits<double>::max();
    for (EndpointState *endpoint : candidates) {
        const EndpointLoad backlog = loadOf(pool, *endpoint, now);
        double seconds
            = firstTokenSeconds(pool, *endpoint, submission, backlog) + pauseCost(pool, *endpoint, submission, backlog, reserved.contains(endpoint), now);
        if (isHeld && !holdsPrefix(*endpoint, submission.prefixHash)) {
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
    request.unreadAhead = static_cast<std::uint32_t>(loadOf(pool, endpoint, now).unreadTokens);
    request.readingTokens = request.unreadTokens;
    endpoint.prompts.readingTokens += request.readingTokens;
    notePrefix(pool, endpoint, request.submission.prefixHash, request.submission.sharedPromptTokens.value_or(0), now);
    if (!request.submission.sharedPromptTokens) {
        return;
    }
    request.pauseTarget = pauseTargetOf(pool, request.submission);
    noteRead(pool, request.unreadTokens / promptReadingSpeed(pool, endpoint), now);
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

} // namespace mulberrywall::policy
