#include "mulberrywall/Policy/PeerLoads.h"

#include "mulberrywall/Policy/PromptCache.h"
#include "mulberrywall/Policy/PromptReading.h"

#include <utility>

namespace mulberrywall::policy
{

namespace
{

/// Name under which the sum over all other routers stands among the peers of an endpoint.
const support::InstanceId summaryName("summary");

bool isFresh(const PeerLoad &peer, const PlacementTuning &tuning, TimePoint now)
{
    return now - peer.reportedAt <= tuning.peerLifetime;
}

void addStreams(StreamsByPause &sum, const StreamsByPause &streams)
{
    for (const auto &[pause, count] : streams) {
        sum[pause] += count;
    }
}

void add(EndpointLoad &sum, const EndpointLoad &load)
{
    sum.unreadTokens += load.unreadTokens;
    sum.running += load.running;
    addStreams(sum.streams, load.streams);
    addStreams(sum.shortStreams, load.shortStreams);
}

EndpointLoad ownLoad(const EndpointState &endpoint)
{
    return {.unreadTokens = static_cast<double>(endpoint.prompts.readingTokens),
        .running = endpoint.running,
        .streams = endpoint.prompts.streams,
        .shortStreams = endpoint.prompts.shortStreams};
}

void forgetPeer(Pool &pool, const support::InstanceId &peer)
{
    for (auto &[id, endpoint] : pool.endpoints) {
        endpoint.peers.erase(peer);
    }
}

PeerEndpointLoad describe(const support::EndpointId &endpoint, const EndpointLoad &load)
{
    PeerEndpointLoad result {.endpoint = endpoint, .unreadTokens = static_cast<std::uint32_t>(load.unreadTokens), .running = load.running};
    for (const auto &[pause, count] : load.streams) {
        const auto shortStreams = load.shortStreams.find(pause);
        result.streams.push_back({.pauseTarget = pause, .streams = count, .shortStreams = shortStreams == load.shortStreams.end() ? 0 : shortStreams->second});
    }
    return result;
}

EndpointLoad readLoad(const PeerEndpointLoad &described)
{
    EndpointLoad load {.unreadTokens = static_cast<double>(described.unreadTokens), .running = described.running};
    for (const PeerStreams &streams : described.streams) {
        load.streams[streams.pauseTarget] += streams.streams;
        if (streams.shortStreams > 0) {
            load.shortStreams[streams.pauseTarget] += streams.shortStreams;
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
    forgetPeer(pool, report.router);
    for (const PeerRequest &request : report.requests) {
        const auto found = pool.endpoints.find(request.endpoint);
        if (found == pool.endpoints.end()) {
            continue;
        }
        EndpointState &endpoint = found->second;
        PeerLoad &peer = endpoint.peers[report.router];
        peer.reportedAt = now;
        peer.load.unreadTokens += request.unreadTokens;
        ++peer.load.running;
        noteRead(pool, request.unreadTokens / promptReadingSpeed(pool, endpoint), now);
        if (request.pauseTarget.count() > 0) {
            ++peer.load.streams[request.pauseTarget];
        }
        if (request.pauseTarget.count() > 0 && !isLongRead(pool, endpoint, request.sharedTokens)) {
            ++peer.load.shortStreams[request.pauseTarget];
        }
        notePrefix(pool, endpoint, request.prefixHash, request.sharedTokens, now);
    }
}

void recordPeerSummary(Pool &pool, const PeerSummary &summary, TimePoint now)
{
    forgetPeer(pool, summaryName);
    for (const PeerEndpointLoad &described : summary.endpoints) {
        const auto found = pool.endpoints.find(described.endpoint);
        if (found != pool.endpoints.end()) {
            found->second.peers[summaryName] = {.load = readLoad(described), .reportedAt = now};
        }
    }
    for (const PeerPrefix &prefix : summary.prefixes) {
        const auto found = pool.endpoints.find(prefix.endpoint);
        if (found != pool.endpoints.end()) {
            notePrefix(pool, found->second, prefix.prefixHash, prefix.tokens, now);
        }
    }
    if (summary.longestRead.count() > 0) {
        noteRead(pool, std::chrono::duration<double>(summary.longestRead).count(), now);
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

PeerSummary summarizeFor(const Pool &pool, const support::InstanceId &receiver, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    PeerSummary summary;
    if (now - pool.longestRead.notedAt <= tuning.newPrefixLifetime) {
        summary.longestRead = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(pool.longestRead.seconds));
    }
    for (const auto &[id, endpoint] : pool.endpoints) {
        EndpointLoad sum = ownLoad(endpoint);
        for (const auto &[name, peer] : endpoint.peers) {
            // The sum that another router tells may contain what the receiver runs.
            if (name != receiver && name != summaryName && isFresh(peer, tuning, now)) {
                add(sum, peer.load);
            }
        }
        if (sum.running > 0) {
            summary.endpoints.push_back(describe(id, sum));
        }
    }
    summary.prefixes = newPrefixes(pool, now);
    return summary;
}

} // namespace mulberrywall::policy
