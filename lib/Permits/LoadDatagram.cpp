#include "mulberrywall/Permits/LoadDatagram.h"

#include "generated/LoadReport.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include <kj/exception.h>
#include <kj/io.h>

#include <span>

namespace mulberrywall::permits
{

namespace
{

/// Datagrams have at most a few thousand bytes, so a message that unpacks to more than 64 KiB is rejected.
constexpr capnp::ReaderOptions readerOptions {.traversalLimitInWords = 64 * 1024 / sizeof(capnp::word)};

void write(load::TableProgress::Builder builder, const std::optional<TableFreshness> &progress)
{
    if (!progress) {
        return;
    }
    builder.setVersion(progress->version);
    builder.setChangedAt(progress->lastChangeVersion);
    builder.setAgeMs(static_cast<std::uint32_t>(progress->age.count()));
}

std::optional<TableFreshness> read(load::TableProgress::Reader reader)
{
    if (reader.getVersion() == 0) {
        return std::nullopt;
    }
    return TableFreshness {.version = reader.getVersion(), .lastChangeVersion = reader.getChangedAt(), .age = std::chrono::milliseconds(reader.getAgeMs())};
}

void write(load::LoadDatagram::Builder root, const RouterLoadReport &report)
{
    auto pools = root.initRequests(static_cast<unsigned>(report.size()));
    for (unsigned index = 0; index < pools.size(); ++index) {
        const auto &[pool, requests] = report[index];
        pools[index].setPool(pool.value());
        auto list = pools[index].initRequests(static_cast<unsigned>(requests.size()));
        for (unsigned position = 0; position < list.size(); ++position) {
            const policy::PeerRequest &request = requests[position];
            list[position].setEndpoint(request.endpoint.value());
            list[position].setPrefixHash(request.prefixHash);
            list[position].setSharedTokens(request.prefixTokens);
            list[position].setUnreadTokens(request.pendingPrefillTokens);
            list[position].setTier(request.tier);
            list[position].setPauseTargetMs(static_cast<std::uint32_t>(request.interTokenTarget.count()));
        }
    }
}

RouterLoadReport readReport(capnp::List<load::PoolRequests>::Reader pools)
{
    RouterLoadReport report;
    for (const auto pool : pools) {
        std::vector<policy::PeerRequest> requests;
        for (const auto request : pool.getRequests()) {
            requests.push_back({.endpoint = support::EndpointId(request.getEndpoint().cStr()),
                .prefixHash = request.getPrefixHash(),
                .prefixTokens = request.getSharedTokens(),
                .pendingPrefillTokens = request.getUnreadTokens(),
                .tier = request.getTier(),
                .interTokenTarget = std::chrono::milliseconds(request.getPauseTargetMs())});
        }
        report.emplace_back(support::PoolId(pool.getPool().cStr()), std::move(requests));
    }
    return report;
}

/// Writes the tokens by tier, and their total for receivers of earlier versions.
void writePendingPrefill(load::EndpointLoad::Builder builder, std::span<const policy::PeerPrefill> pendingPrefill)
{
    auto list = builder.initPendingPrefill(static_cast<unsigned>(pendingPrefill.size()));
    std::uint32_t totalTokens = 0;
    for (unsigned index = 0; index < list.size(); ++index) {
        list[index].setTier(pendingPrefill[index].tier);
        list[index].setTokens(pendingPrefill[index].tokens);
        totalTokens += pendingPrefill[index].tokens;
    }
    builder.setUnreadTokens(totalTokens);
}

void write(load::EndpointLoad::Builder builder, const policy::PeerEndpointLoad &endpoint)
{
    builder.setEndpoint(endpoint.endpoint.value());
    writePendingPrefill(builder, endpoint.pendingPrefill);
    builder.setRunning(endpoint.running);
    auto list = builder.initStreams(static_cast<unsigned>(endpoint.streams.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        list[index].setPauseTargetMs(static_cast<std::uint32_t>(endpoint.streams[index].interTokenTarget.count()));
        list[index].setStreams(endpoint.streams[index].streams);
        list[index].setShortStreams(endpoint.streams[index].shortPromptStreams);
    }
}

policy::PeerEndpointLoad read(load::EndpointLoad::Reader reader)
{
    policy::PeerEndpointLoad endpoint {.endpoint = support::EndpointId(reader.getEndpoint().cStr()), .running = reader.getRunning()};
    for (const auto prefill : reader.getPendingPrefill()) {
        endpoint.pendingPrefill.push_back({.tier = prefill.getTier(), .tokens = prefill.getTokens()});
    }
    // A router of an earlier version sends only the total, which counts as of the highest tier.
    if (endpoint.pendingPrefill.empty() && reader.getUnreadTokens() > 0) {
        endpoint.pendingPrefill.push_back({.tokens = reader.getUnreadTokens()});
    }
    for (const auto streams : reader.getStreams()) {
        endpoint.streams.push_back({.interTokenTarget = std::chrono::milliseconds(streams.getPauseTargetMs()),
            .streams = streams.getStreams(),
            .shortPromptStreams = streams.getShortStreams()});
    }
    return endpoint;
}

void write(load::LoadDatagram::Builder root, const PeerLoadSummary &summary)
{
    auto pools = root.initSummaries(static_cast<unsigned>(summary.size()));
    for (unsigned index = 0; index < pools.size(); ++index) {
        const auto &[pool, load] = summary[index];
        pools[index].setPool(pool.value());
        pools[index].setLongestReadMs(static_cast<std::uint32_t>(load.longestPrefill.count()));
        auto endpoints = pools[index].initEndpoints(static_cast<unsigned>(load.endpoints.size()));
        for (unsigned position = 0; position < endpoints.size(); ++position) {
            write(endpoints[position], load.endpoints[position]);
        }
        auto prefixes = pools[index].initPrefixes(static_cast<unsigned>(load.prefixes.size()));
        for (unsigned position = 0; position < prefixes.size(); ++position) {
            prefixes[position].setEndpoint(load.prefixes[position].endpoint.value());
            prefixes[position].setHash(load.prefixes[position].prefixHash);
            prefixes[position].setTokens(load.prefixes[position].tokens);
        }
    }
}

PeerLoadSummary readSummary(capnp::List<load::PoolSummary>::Reader pools)
{
    PeerLoadSummary summary;
    for (const auto pool : pools) {
        policy::PeerSummary load {.longestPrefill = std::chrono::milliseconds(pool.getLongestReadMs())};
        for (const auto endpoint : pool.getEndpoints()) {
            load.endpoints.push_back(read(endpoint));
        }
        for (const auto prefix : pool.getPrefixes()) {
            load.prefixes.push_back(
                {.endpoint = support::EndpointId(prefix.getEndpoint().cStr()), .prefixHash = prefix.getHash(), .tokens = prefix.getTokens()});
        }
        summary.emplace_back(support::PoolId(pool.getPool().cStr()), std::move(load));
    }
    return summary;
}

std::optional<LoadDatagram> read(load::LoadDatagram::Reader root)
{
    LoadDatagram datagram {.instance = support::InstanceId(root.getInstance().cStr()),
        .sequence = root.getSequence(),
        .sentAtMs = root.getSentAtMs(),
        .echoMs = root.getEchoMs(),
        .store = {.configuration = read(root.getConfiguration()), .endpoints = read(root.getEndpoints())}};
    switch (root.which()) {
    case load::LoadDatagram::REQUESTS:
        datagram.load = readReport(root.getRequests());
        return datagram;
    case load::LoadDatagram::SUMMARIES:
        datagram.load = readSummary(root.getSummaries());
        return datagram;
    }
    return std::nullopt;
}

} // namespace

std::vector<std::uint8_t> encode(const LoadDatagram &datagram)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<load::LoadDatagram>();
    root.setInstance(datagram.instance.value());
    root.setSequence(datagram.sequence);
    root.setSentAtMs(datagram.sentAtMs);
    root.setEchoMs(datagram.echoMs);
    write(root.initConfiguration(), datagram.store.configuration);
    write(root.initEndpoints(), datagram.store.endpoints);
    std::visit([&root](const auto &load) { write(root, load); }, datagram.load);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    return {bytes.begin(), bytes.end()};
}

std::optional<LoadDatagram> decodeLoadDatagram(std::span<const std::uint8_t> bytes)
{
    std::optional<LoadDatagram> datagram;
    const auto problem = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(kj::arrayPtr(bytes.data(), bytes.size()));
        capnp::PackedMessageReader message(stream, readerOptions);
        datagram = read(message.getRoot<load::LoadDatagram>());
    });
    return problem == nullptr ? datagram : std::nullopt;
}

} // namespace mulberrywall::permits
