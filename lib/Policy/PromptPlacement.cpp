#include "mulberrywall/Policy/PromptPlacement.h"

#include "mulberrywall/Policy/CandidateOrder.h"
#include "mulberrywall/Policy/EndpointSelection.h"
#include "mulberrywall/Policy/EngineSpeed.h"
#include "mulberrywall/Policy/PeerLoads.h"
#include "mulberrywall/Policy/Prefill.h"
#include "mulberrywall/Policy/PrefixCost.h"
#include "mulberrywall/Policy/PromptCache.h"
#include "mulberrywall/Policy/StreamProtection.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

std::chrono::milliseconds interTokenTargetOf(const Pool &pool, const Submission &submission)
{
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    return requestClass == nullptr ? std::chrono::milliseconds(0) : requestClass->spec.interTokenTarget;
}

/// Returns whether the prefill of recent long prompts could make a stream with the given target miss it.
bool needsReservedEndpoint(const Pool &pool, std::chrono::milliseconds interTokenTarget, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    if (now - pool.longestPrefill.recordedAt > tuning.longestPrefillLifetime) {
        return false;
    }
    return pool.longestPrefill.seconds > tuning.interTokenTargetShare * std::chrono::duration<double>(interTokenTarget).count();
}

/// Returns the number of running streams with short prompts, of this router and its peers, that the prefill of long
/// prompts could make miss their inter-token targets.
unsigned streamsNeedingReservedEndpoint(const Pool &pool, TimePoint now)
{
    unsigned count = 0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        for (const auto &[interTokenTarget, number] : loadOf(pool, endpoint, now).shortPromptStreams) {
            count += needsReservedEndpoint(pool, interTokenTarget, now) ? number : 0;
        }
    }
    return count;
}

/// Returns whether streams with short prompts gather on few engines of the pool.
bool gathersStreams(const Pool &pool, std::size_t candidates)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    return tuning.protectsStreams && candidates > tuning.maximumPoolComparedWhole;
}

/// Returns the number of engines to reserve for streams with short prompts.
std::size_t reservedCount(const Pool &pool, std::size_t candidates, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const auto most = static_cast<std::size_t>(tuning.maximumReservedPoolShare * static_cast<double>(candidates));
    const std::size_t streams = streamsNeedingReservedEndpoint(pool, now);
    const std::size_t needed = gathersStreams(pool, candidates) ? std::max(tuning.minimumGatheringEndpoints, 1 + streams / tuning.streamsPerGatheringEndpoint)
                                                                : 1 + streams / tuning.streamsPerReservedEndpoint;
    return std::min(needed, most);
}

/// Selects the engines reserved for streams with short prompts and short inter-token targets; long prompts avoid them.
///
/// All routers rank the engines by the same hash. They reserve nearly the same number of engines, because each counts the
/// streams of all routers.
std::set<const EndpointState *> reservedEndpoints(const Pool &pool, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    std::vector<std::pair<std::uint64_t, const EndpointState *>> order;
    for (const auto &[id, endpoint] : pool.endpoints) {
        if (!endpoint.spec.leaving) {
            order.emplace_back(rendezvousWeight(0, id), &endpoint);
        }
    }
    if (order.size() < tuning.minimumEndpointsToReserve || pool.longestPrefill.seconds == 0.0) {
        return {};
    }
    std::sort(order.begin(), order.end());
    std::set<const EndpointState *> result;
    for (const auto &[hash, endpoint] : std::span(order).first(reservedCount(pool, order.size(), now))) {
        result.insert(endpoint);
    }
    return result;
}

/// Delay of a placement, in seconds.
struct PlacementDelay
{
    double seconds = 0.0;
    /// Streams miss their inter-token targets because of it.
    bool interruptsStreams = false;
};

/// Returns the penalty for the inter-token targets that the placement makes streams miss.
PlacementDelay interTokenDelay(const Pool &pool,
    const EndpointState &endpoint,
    const Submission &submission,
    const EndpointLoad &backlog,
    const PrefixCostInputs &inputs,
    bool isReserved,
    TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const double ownTokens = inputs.promptTokens - inputs.cachedTokens;
    const double pending = static_cast<double>(totalTokens(backlog.pendingPrefill)) / inputs.tokensPerSecond;
    const unsigned late = streamsMadeLate(backlog.streams, pending, ownTokens / inputs.tokensPerSecond, tuning);
    double seconds = late * std::chrono::duration<double>(tuning.delayPerMissedTarget).count();
    const bool isShort = !isLongPrefill(pool, endpoint, submission.prefixTokens.value_or(0));
    const bool needsReserved = isShort && needsReservedEndpoint(pool, interTokenTargetOf(pool, submission), now);
    if (needsReserved && !isReserved) {
        seconds += std::chrono::duration<double>(tuning.delayOutsideReservedEndpoints).count();
    }
    if (isReserved && isLongPrefill(pool, endpoint, ownTokens)) {
        seconds += std::chrono::duration<double>(tuning.delayAtReservedEndpoint).count();
    }
    return {.seconds = seconds, .interruptsStreams = late > 0};
}

/// What the placement of one request considers besides the endpoints.
struct PlacementContext
{
    TimePoint now;
    /// The most tokens of the request's prefix that any endpoint has cached.
    std::uint32_t cachedAnywhereTokens = 0;
    std::set<const EndpointState *> reserved;
};

} // namespace

/// Returns the estimated delay of the first token on the endpoint, with the penalties for what the placement costs others.
static PlacementDelay placementDelay(const Pool &pool, const EndpointState &endpoint, const Submission &submission, const PlacementContext &context)
{
    const EndpointLoad backlog = loadOf(pool, endpoint, context.now);
    PrefixCostInputs inputs = prefixCostInputs(pool, endpoint, submission, backlog, context.now);
    inputs.cachedAnywhereTokens = context.cachedAnywhereTokens;
    PlacementDelay delay = interTokenDelay(pool, endpoint, submission, backlog, inputs, context.reserved.contains(&endpoint), context.now);
    delay.seconds += prefixCost(inputs, pool.options.tuning.placement).total();
    return delay;
}

/// Returns whether an endpoint with the delay is chosen without comparing more.
static bool isAcceptable(const Pool &pool, const Submission &submission, const PlacementDelay &delay)
{
    if (pool.options.tuning.placement.protectsStreams && delay.interruptsStreams) {
        return false;
    }
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    const auto target = requestClass == nullptr ? std::chrono::milliseconds(0) : requestClass->spec.firstTokenTarget;
    return delay.seconds <= pool.options.tuning.placement.acceptableTargetShare * std::chrono::duration<double>(target).count();
}

/// Returns the candidates in the order of the comparison: streams with short prompts come first to reserved engines of a large
/// pool, in an order that differs from request to request.
static std::vector<EndpointState *> placementOrder(
    const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission, const PlacementContext &context)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    std::vector<EndpointState *> compared = comparedCandidates(pool, candidates, submission);
    const bool hasShortPrompt = submission.prefixTokens.value_or(0) < tuning.minimumPrefixToKeepTokens;
    const bool gathers = hasShortPrompt && gathersStreams(pool, candidates.size());
    if (!gathers || !needsReservedEndpoint(pool, interTokenTargetOf(pool, submission), context.now)) {
        return compared;
    }
    std::vector<EndpointState *> reserved;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(reserved), [&](EndpointState *endpoint) { return context.reserved.contains(endpoint); });
    std::vector<EndpointState *> order = firstByRendezvous(reserved, submission.spreadSeed, tuning.comparedGatheringEndpoints);
    order.insert(order.end(), compared.begin(), compared.end());
    return order;
}

EndpointState *placePrompt(const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission, TimePoint now)
{
    const PlacementContext context {.now = now, .cachedAnywhereTokens = cachedAnywhere(pool, submission), .reserved = reservedEndpoints(pool, now)};
    const std::size_t minimum = minimumCompared(pool, candidates.size());
    EndpointState *best = nullptr;
    PlacementDelay bestDelay {.seconds = std::numeric_limits<double>::max()};
    std::size_t compared = 0;
    for (EndpointState *endpoint : placementOrder(pool, candidates, submission, context)) {
        if (compared >= minimum && isAcceptable(pool, submission, bestDelay)) {
            break;
        }
        ++compared;
        const PlacementDelay delay = placementDelay(pool, *endpoint, submission, context);
        if (delay.seconds < bestDelay.seconds) {
            best = endpoint;
            bestDelay = delay;
        }
    }
    return best;
}

/// Returns the tokens that the request will hold in the engine's memory besides its prefix.
static std::uint32_t heldTokensOf(const Pool &pool, const Submission &submission)
{
    const LengthTuning &tuning = pool.options.tuning.length;
    const double output = expectedRemainingTokens(lengthEstimate(pool.lengths, submission, tuning), 0, tuning);
    const std::uint32_t prefix = std::min(submission.prefixTokens.value_or(0), submission.promptTokens);
    return submission.promptTokens - prefix + static_cast<std::uint32_t>(output);
}

void recordPrefillStart(Pool &pool, ActiveRequest &request, TimePoint now)
{
    EndpointState &endpoint = *request.endpoint;
    const EndpointLoad backlog = loadOf(pool, endpoint, now);
    request.prefillTokens = prefillTokensFor(pool, endpoint, request.submission, backlog.heldTokens);
    request.prefillTokensAhead = static_cast<std::uint32_t>(prefillTokensAhead(pool, endpoint, backlog.pendingPrefill, request.tier));
    request.pendingPrefillTokens = request.prefillTokens;
    if (request.pendingPrefillTokens > 0) {
        endpoint.prompts.pendingPrefill[request.tier] += request.pendingPrefillTokens;
    }
    if (!request.submission.prefixTokens) {
        recordPrefix(pool, endpoint, request.submission, now);
        return;
    }
    request.heldTokens = heldTokensOf(pool, request.submission);
    endpoint.prompts.heldTokens += request.heldTokens;
    endpoint.prompts.heldTokensOfAll = backlog.heldTokens + request.heldTokens;
    recordPrefix(pool, endpoint, request.submission, now);
    request.interTokenTarget = interTokenTargetOf(pool, request.submission);
    recordPrefillDuration(pool, request.prefillTokens / prefillSpeed(pool, endpoint), now);
    ++endpoint.prompts.streams[request.interTokenTarget];
    request.hasShortPrompt = !isLongPrefill(pool, endpoint, *request.submission.prefixTokens);
    if (request.hasShortPrompt) {
        ++endpoint.prompts.shortPromptStreams[request.interTokenTarget];
    }
}

static void endPrefill(ActiveRequest &request)
{
    TokensByTier &pending = request.endpoint->prompts.pendingPrefill;
    const auto ofTier = pending.find(request.tier);
    if (ofTier == pending.end()) {
        return;
    }
    ofTier->second -= request.pendingPrefillTokens;
    request.pendingPrefillTokens = 0;
    if (ofTier->second == 0) {
        pending.erase(ofTier);
    }
}

static void removeStream(StreamsByInterTokenTarget &streams, std::chrono::milliseconds interTokenTarget)
{
    const auto found = streams.find(interTokenTarget);
    if (found != streams.end() && --found->second == 0) {
        streams.erase(found);
    }
}

void removePrompt(ActiveRequest &request)
{
    endPrefill(request);
    if (!request.submission.prefixTokens) {
        return;
    }
    request.endpoint->prompts.heldTokens -= request.heldTokens;
    removeStream(request.endpoint->prompts.streams, request.interTokenTarget);
    if (request.hasShortPrompt) {
        removeStream(request.endpoint->prompts.shortPromptStreams, request.interTokenTarget);
    }
}

void recordFirstOutput(Pool &pool, ActiveRequest &request, TimePoint firstTokenAt, TimePoint now)
{
    endPrefill(request);
    const PlacementTuning &tuning = pool.options.tuning.placement;
    if (!hasKnownDuration(request) || request.prefillTokens < tuning.minimumSampleTokens) {
        return;
    }
    const double seconds = secondsBetween(request.startedAt, firstTokenAt);
    if (seconds <= 0.0) {
        return;
    }
    const double tokensPerSecond = (request.prefillTokens + request.prefillTokensAhead) / seconds;
    recordOwnPrefillSpeed(pool, *request.endpoint, tokensPerSecond, now);
    request.prefillTokensPerSecond = static_cast<std::uint32_t>(std::min(tokensPerSecond, 1e9));
}

} // namespace mulberrywall::policy
