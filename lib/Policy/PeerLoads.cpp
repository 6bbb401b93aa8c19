#include "mulberrywall/Policy/PeerLoads.h"

#include "mulberrywall/Policy/EngineSpeed.h"
#include "mulberrywall/Policy/Prefill.h"
#include "mulberrywall/Policy/PromptCache.h"
#include "mulberrywall/Policy/Rendezvous.h"

#include <algorithm>
#include <map>
#include <span>
#include <utility>

namespace mulberrywall::policy
{

namespace
{

bool isFresh(const PeerLoad &peer, const PlacementTuning &tuning, TimePoint now)
{
    return now - peer.reportedAt <= tuning.peerLifetime;
}

template <typename Key, typename Count>
void addCounts(std::map<Key, Count> &sum, const std::map<Key, Count> &counts)
{
    for (const auto &[key, count] : counts) {
        sum[key] += count;
    }
}

void add(EndpointLoad &sum, const EndpointLoad &load)
{
    addCounts(sum.pendingPrefill, load.pendingPrefill);
    sum.running += load.running;
    addCounts(sum.streams, load.streams);
    addCounts(sum.shortPromptStreams, load.shortPromptStreams);
    sum.heldTokens += load.heldTokens;
}

/// Subtracts down to zero, because the sum is older than the count if datagrams were lost.
template <typename Key, typename Count>
void subtractCounts(std::map<Key, Count> &sum, const std::map<Key, Count> &counts)
{
    for (const auto &[key, count] : counts) {
        const auto found = sum.find(key);
        if (found == sum.end()) {
            continue;
        }
        if (found->second <= count) {
            sum.erase(found);
        } else {
            found->second -= count;
        }
    }
}

void subtract(EndpointLoad &sum, const EndpointLoad &load)
{
    subtractCounts(sum.pendingPrefill, load.pendingPrefill);
    sum.running -= std::min(sum.running, load.running);
    subtractCounts(sum.streams, load.streams);
    subtractCounts(sum.shortPromptStreams, load.shortPromptStreams);
    sum.heldTokens -= std::min(sum.heldTokens, load.heldTokens);
}

EndpointLoad ownLoad(const EndpointState &endpoint)
{
    return {.pendingPrefill = endpoint.prompts.pendingPrefill,
        .running = endpoint.running,
        .streams = endpoint.prompts.streams,
        .shortPromptStreams = endpoint.prompts.shortPromptStreams,
        .heldTokens = endpoint.prompts.heldTokens};
}

/// Removes the load of a peer. Returns what was recorded of it.
std::map<const EndpointState *, PeerLoad> takePeer(Pool &pool, const support::InstanceId &peer)
{
    std::map<const EndpointState *, PeerLoad> result;
    for (auto &[id, endpoint] : pool.endpoints) {
        if (auto node = endpoint.peers.extract(peer)) {
            result.emplace(&endpoint, std::move(node.mapped()));
        }
    }
    return result;
}

PeerEndpointLoad toPeerEndpointLoad(const support::EndpointId &endpoint, const EndpointLoad &load)
{
    PeerEndpointLoad result {.endpoint = endpoint, .running = load.running, .heldTokens = static_cast<std::uint32_t>(load.heldTokens)};
    for (const auto &[tier, tokens] : load.pendingPrefill) {
        result.pendingPrefill.push_back({.tier = tier, .tokens = static_cast<std::uint32_t>(tokens)});
    }
    for (const auto &[target, count] : load.streams) {
        const auto shortPromptStreams = load.shortPromptStreams.find(target);
        result.streams.push_back({.interTokenTarget = target,
            .streams = count,
            .shortPromptStreams = shortPromptStreams == load.shortPromptStreams.end() ? 0 : shortPromptStreams->second});
    }
    return result;
}

EndpointLoad fromPeerEndpointLoad(const PeerEndpointLoad &described)
{
    EndpointLoad load {.running = described.running, .heldTokens = described.heldTokens};
    for (const PeerPrefill &prefill : described.pendingPrefill) {
        load.pendingPrefill[prefill.tier] += prefill.tokens;
    }
    for (const PeerStreams &streams : described.streams) {
        load.streams[streams.interTokenTarget] += streams.streams;
        if (streams.shortPromptStreams > 0) {
            load.shortPromptStreams[streams.interTokenTarget] += streams.shortPromptStreams;
        }
    }
    return load;
}

} // namespace

static void addIfFresh(EndpointLoad &sum, const PeerLoad &peer, const PlacementTuning &tuning, TimePoint now)
{
    if (isFresh(peer, tuning, now)) {
        add(sum, peer.load);
    }
}

/// Returns the load by this router and the routers that report to it.
static EndpointLoad reportedLoad(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    EndpointLoad sum = ownLoad(endpoint);
    for (const auto &[router, peer] : endpoint.peers) {
        addIfFresh(sum, peer, pool.options.tuning.placement, now);
    }
    return sum;
}

/// Adds the load by the routers of other data centres.
static void addDataCentres(EndpointLoad &sum, const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    for (const auto &[dataCentre, peer] : endpoint.dataCentres) {
        addIfFresh(sum, peer, pool.options.tuning.placement, now);
    }
}

EndpointLoad loadOf(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    EndpointLoad sum = reportedLoad(pool, endpoint, now);
    addDataCentres(sum, pool, endpoint, now);
    if (endpoint.allOthers) {
        addIfFresh(sum, *endpoint.allOthers, pool.options.tuning.placement, now);
    }
    return sum;
}

/// Adds a request of another router to the load of its endpoint.
static void addRequest(EndpointLoad &load, const Pool &pool, const EndpointState &endpoint, const PeerRequest &request)
{
    ++load.running;
    load.heldTokens += request.heldTokens;
    if (request.pendingPrefillTokens > 0) {
        load.pendingPrefill[request.tier] += request.pendingPrefillTokens;
    }
    if (request.interTokenTarget.count() == 0) {
        return;
    }
    ++load.streams[request.interTokenTarget];
    if (!isLongPrefill(pool, endpoint, request.prefixTokens)) {
        ++load.shortPromptStreams[request.interTokenTarget];
    }
}

static void recordPeerPrefixes(Pool &pool, std::span<const PeerPrefix> prefixes, TimePoint now)
{
    for (const PeerPrefix &prefix : prefixes) {
        const auto found = pool.endpoints.find(prefix.endpoint);
        if (found != pool.endpoints.end()) {
            recordPeerPrefix(pool, found->second, prefix, now);
        }
    }
}

void recordPeerRequests(Pool &pool, const PeerReport &report, TimePoint now)
{
    const std::map<const EndpointState *, PeerLoad> previous = takePeer(pool, report.router);
    // Segments come before the requests, which state only whole prefixes.
    recordPeerPrefixes(pool, report.prefixes, now);
    for (const PeerRequest &request : report.requests) {
        const auto found = pool.endpoints.find(request.endpoint);
        if (found == pool.endpoints.end()) {
            continue;
        }
        EndpointState &endpoint = found->second;
        PeerLoad &peer = endpoint.peers[report.router];
        peer.reportedAt = now;
        recordPrefillDuration(pool, request.pendingPrefillTokens / prefillSpeed(pool, endpoint), now);
        const auto before = previous.find(&endpoint);
        recordPeerSpeed(pool, endpoint, request, peer, before == previous.end() ? nullptr : &before->second, now);
        addRequest(peer.load, pool, endpoint, request);
        recordPeerPrefix(pool, endpoint, {.endpoint = request.endpoint, .prefixHash = request.prefixHash, .tokens = request.prefixTokens}, now);
    }
}

static void removeSummary(Pool &pool, const ReceivedSummary &received)
{
    for (auto &[id, endpoint] : pool.endpoints) {
        if (!isInPart(id, received.part)) {
            continue;
        }
        if (received.dataCentre.empty()) {
            endpoint.allOthers.reset();
        } else {
            endpoint.dataCentres.erase(received.dataCentre);
        }
    }
}

/// Returns the load of the receiver that a summary includes, by endpoint.
static std::map<support::EndpointId, EndpointLoad> loadByEndpoint(const Pool &pool, std::span<const PeerRequest> requests)
{
    std::map<support::EndpointId, EndpointLoad> result;
    for (const PeerRequest &request : requests) {
        const auto found = pool.endpoints.find(request.endpoint);
        if (found != pool.endpoints.end()) {
            addRequest(result[request.endpoint], pool, found->second, request);
        }
    }
    return result;
}

void recordPeerSummary(Pool &pool, const ReceivedSummary &received, TimePoint now)
{
    removeSummary(pool, received);
    const std::map<support::EndpointId, EndpointLoad> own = loadByEndpoint(pool, received.ownRequests);
    for (const PeerEndpointLoad &described : received.summary.endpoints) {
        const auto found = pool.endpoints.find(described.endpoint);
        if (found == pool.endpoints.end()) {
            continue;
        }
        recordReportedSpeed(pool, found->second, described, received.dataCentre, now);
        PeerLoad peer {.load = fromPeerEndpointLoad(described), .reportedAt = now};
        if (const auto ownLoad = own.find(described.endpoint); ownLoad != own.end()) {
            subtract(peer.load, ownLoad->second);
        }
        if (received.dataCentre.empty()) {
            found->second.allOthers = std::move(peer);
        } else {
            found->second.dataCentres[received.dataCentre] = std::move(peer);
        }
        found->second.prompts.heldTokensOfAll = loadOf(pool, found->second, now).heldTokens;
    }
    recordPeerPrefixes(pool, received.summary.prefixes, now);
    if (received.summary.longestPrefill.count() > 0) {
        recordPrefillDuration(pool, std::chrono::duration<double>(received.summary.longestPrefill).count(), now);
    }
}

std::vector<PeerRequest> runningRequests(const Pool &pool)
{
    std::vector<PeerRequest> result;
    result.reserve(pool.active.size());
    for (const auto &[permit, request] : pool.active) {
        result.push_back({.endpoint = request.endpoint->spec.id,
            .prefixHash = request.submission.prefixHash,
            .prefixTokens = request.submission.prefixTokens.value_or(0),
            .pendingPrefillTokens = request.pendingPrefillTokens,
            .tier = request.tier,
            .interTokenTarget = request.interTokenTarget,
            .prefillTokensPerSecond = request.prefillTokensPerSecond,
            .step = reportedStep(pool, *request.endpoint, pool.now),
            .incarnationTag = incarnationTag(*request.endpoint),
            .heldTokens = request.heldTokens});
    }
    return result;
}

PeerSummary summarizeLoad(const Pool &pool, SummaryScope scope, TimePoint now)
{
    PeerSummary summary;
    if (now - pool.longestPrefill.recordedAt <= pool.options.tuning.placement.newPrefixLifetime) {
        summary.longestPrefill = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(pool.longestPrefill.seconds));
    }
    for (const auto &[id, endpoint] : pool.endpoints) {
        EndpointLoad sum = reportedLoad(pool, endpoint, now);
        if (scope == SummaryScope::AllRouters) {
            addDataCentres(sum, pool, endpoint, now);
        }
        if (sum.running > 0) {
            summary.endpoints.push_back(toPeerEndpointLoad(id, sum));
            summarizeSpeed(pool, endpoint, scope, now, summary.endpoints.back());
        }
    }
    summary.prefixes = newPrefixes(pool, now);
    return summary;
}

} // namespace mulberrywall::policy
