#include "mulberrywall/Policy/PeerLoads.h"

#include "mulberrywall/Policy/Prefill.h"
#include "mulberrywall/Policy/PromptCache.h"

#include <utility>

namespace mulberrywall::policy
{

namespace
{

/// Key of the combined load of all other routers in EndpointState::peers.
const support::InstanceId summaryPeer("summary");

bool isFresh(const PeerLoad &peer, const PlacementTuning &tuning, TimePoint now)
{
    return now - peer.reportedAt <= tuning.peerLifetime;
}

void addStreams(StreamsByInterTokenTarget &sum, const StreamsByInterTokenTarget &streams)
{
    for (const auto &[target, count] : streams) {
        sum[target] += count;
    }
}

void add(EndpointLoad &sum, const EndpointLoad &load)
{
    for (const auto &[tier, tokens] : load.pendingPrefill) {
        sum.pendingPrefill[tier] += tokens;
    }
    sum.running += load.running;
    addStreams(sum.streams, load.streams);
    addStreams(sum.shortPromptStreams, load.shortPromptStreams);
}

EndpointLoad ownLoad(const EndpointState &endpoint)
{
    return {.pendingPrefill = endpoint.prompts.pendingPrefill,
        .running = endpoint.running,
        .streams = endpoint.prompts.streams,
        .shortPromptStreams = endpoint.prompts.shortPromptStreams};
}

void removePeer(Pool &pool, const support::InstanceId &peer)
{
    for (auto &[id, endpoint] : pool.endpoints) {
        endpoint.peers.erase(peer);
    }
}

PeerEndpointLoad toPeerEndpointLoad(const support::EndpointId &endpoint, const EndpointLoad &load)
{
    PeerEndpointLoad result {.endpoint = endpoint, .running = load.running};
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
    EndpointLoad load {.running = described.running};
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

EndpointLoad loadOf(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    EndpointLoad sum = ownLoad(endpoint);
    for (const auto &[name, peer] : endpoint.peers) {
        if (isFresh(peer, pool.options.tuning.placement, now)) {
            add(sum, peer.load);
        }
    }
    return sum;
}

void recordPeerRequests(Pool &pool, const PeerReport &report, TimePoint now)
{
    removePeer(pool, report.router);
    for (const PeerRequest &request : report.requests) {
        const auto found = pool.endpoints.find(request.endpoint);
        if (found == pool.endpoints.end()) {
            continue;
        }
        EndpointState &endpoint = found->second;
        PeerLoad &peer = endpoint.peers[report.router];
        peer.reportedAt = now;
        if (request.pendingPrefillTokens > 0) {
            peer.load.pendingPrefill[request.tier] += request.pendingPrefillTokens;
        }
        ++peer.load.running;
        recordPrefillDuration(pool, request.pendingPrefillTokens / prefillSpeed(pool, endpoint), now);
        if (request.interTokenTarget.count() > 0) {
            ++peer.load.streams[request.interTokenTarget];
        }
        if (request.interTokenTarget.count() > 0 && !isLongPrefill(pool, endpoint, request.prefixTokens)) {
            ++peer.load.shortPromptStreams[request.interTokenTarget];
        }
        recordPrefix(pool, endpoint, request.prefixHash, request.prefixTokens, now);
    }
}

void recordPeerSummary(Pool &pool, const PeerSummary &summary, TimePoint now)
{
    removePeer(pool, summaryPeer);
    for (const PeerEndpointLoad &described : summary.endpoints) {
        const auto found = pool.endpoints.find(described.endpoint);
        if (found != pool.endpoints.end()) {
            found->second.peers[summaryPeer] = {.load = fromPeerEndpointLoad(described), .reportedAt = now};
        }
    }
    for (const PeerPrefix &prefix : summary.prefixes) {
        const auto found = pool.endpoints.find(prefix.endpoint);
        if (found != pool.endpoints.end()) {
            recordPrefix(pool, found->second, prefix.prefixHash, prefix.tokens, now);
        }
    }
    if (summary.longestPrefill.count() > 0) {
        recordPrefillDuration(pool, std::chrono::duration<double>(summary.longestPrefill).count(), now);
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
            .interTokenTarget = request.interTokenTarget});
    }
    return result;
}

PeerSummary summarizeFor(const Pool &pool, const support::InstanceId &receiver, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    PeerSummary summary;
    if (now - pool.longestPrefill.recordedAt <= tuning.newPrefixLifetime) {
        summary.longestPrefill = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(pool.longestPrefill.seconds));
    }
    for (const auto &[id, endpoint] : pool.endpoints) {
        EndpointLoad sum = ownLoad(endpoint);
        for (const auto &[name, peer] : endpoint.peers) {
            // Excludes the summary of another router: it may contain the receiver's own requests.
            if (name != receiver && name != summaryPeer && isFresh(peer, tuning, now)) {
                add(sum, peer.load);
            }
        }
        if (sum.running > 0) {
            summary.endpoints.push_back(toPeerEndpointLoad(id, sum));
        }
    }
    summary.prefixes = newPrefixes(pool, now);
    return summary;
}

} // namespace mulberrywall::policy
