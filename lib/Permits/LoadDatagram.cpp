#include "mulberrywall/Permits/LoadDatagram.h"

#include "generated/LoadReport.capnp.h"

#include "mulberrywall/Policy/Rendezvous.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <iterator>
#include <span>
#include <string>
#include <string_view>

namespace mulberrywall::permits
{

namespace
{

/// A summary takes about twice its packed size, so a datagram that unpacks to more than 256 KiB was not written by a router.
constexpr capnp::ReaderOptions readerOptions {.traversalLimitInWords = 256 * 1024 / sizeof(capnp::word)};

kj::ArrayPtr<const kj::byte> toData(std::string_view text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string toText(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

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

void write(capnp::List<load::TableChanges>::Builder builder, std::span<const TableChanges> changes)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        builder[index].setSinceVersion(changes[index].sinceVersion);
        builder[index].setVersion(changes[index].version);
        auto rows = builder[index].initRows(static_cast<unsigned>(changes[index].rows.size()));
        for (unsigned position = 0; position < rows.size(); ++position) {
            const TableRow &row = changes[index].rows[position];
            rows[position].setKey(toData(row.key));
            rows[position].setValue(toData(row.value));
            rows[position].setDeleted(row.deleted);
        }
    }
}

std::vector<TableChanges> read(capnp::List<load::TableChanges>::Reader reader)
{
    std::vector<TableChanges> result;
    for (const auto entry : reader) {
        TableChanges changes {.sinceVersion = entry.getSinceVersion(), .version = entry.getVersion()};
        for (const auto row : entry.getRows()) {
            changes.rows.push_back({.key = toText(row.getKey()), .value = toText(row.getValue()), .deleted = row.getDeleted()});
        }
        result.push_back(std::move(changes));
    }
    return result;
}

void write(capnp::List<load::Prefix>::Builder builder, std::span<const policy::PeerPrefix> prefixes)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        builder[index].setEndpoint(prefixes[index].endpoint.value());
        builder[index].setHash(prefixes[index].prefixHash);
        builder[index].setTokens(prefixes[index].tokens);
        builder[index].setParent(prefixes[index].parent);
    }
}

std::vector<policy::PeerPrefix> read(capnp::List<load::Prefix>::Reader reader)
{
    std::vector<policy::PeerPrefix> prefixes;
    for (const auto prefix : reader) {
        prefixes.push_back({.endpoint = support::EndpointId(prefix.getEndpoint().cStr()),
            .prefixHash = prefix.getHash(),
            .tokens = prefix.getTokens(),
            .parent = prefix.getParent()});
    }
    return prefixes;
}

/// Writes the requests, and the new prefixes as entries of their own after them.
void write(load::LoadDatagram::Builder root, const RouterLoadReport &report, const PrefixReport &newPrefixes)
{
    const auto requestPools = static_cast<unsigned>(report.size());
    auto pools = root.initRequests(requestPools + static_cast<unsigned>(newPrefixes.size()));
    for (unsigned index = 0; index < newPrefixes.size(); ++index) {
        const auto &[pool, prefixes] = newPrefixes[index];
        pools[requestPools + index].setPool(pool.value());
        write(pools[requestPools + index].initPrefixes(static_cast<unsigned>(prefixes.size())), prefixes);
    }
    for (unsigned index = 0; index < requestPools; ++index) {
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
            list[position].setPrefillTokensPerSecond(request.prefillTokensPerSecond);
            list[position].setStepMicros(static_cast<std::uint32_t>(request.step.count()));
            list[position].setIncarnationTag(request.incarnationTag);
            list[position].setHeldTokens(request.heldTokens);
        }
    }
}

PrefixReport readNewPrefixes(capnp::List<load::PoolRequests>::Reader pools)
{
    PrefixReport report;
    for (const auto pool : pools) {
        if (pool.getPrefixes().size() > 0) {
            report.emplace_back(support::PoolId(pool.getPool().cStr()), read(pool.getPrefixes()));
        }
    }
    return report;
}

RouterLoadReport readReport(capnp::List<load::PoolRequests>::Reader pools)
{
    RouterLoadReport report;
    for (const auto pool : pools) {
        if (pool.getRequests().size() == 0 && pool.getPrefixes().size() > 0) {
            continue;
        }
        std::vector<policy::PeerRequest> requests;
        for (const auto request : pool.getRequests()) {
            requests.push_back({.endpoint = support::EndpointId(request.getEndpoint().cStr()),
                .prefixHash = request.getPrefixHash(),
                .prefixTokens = request.getSharedTokens(),
                .pendingPrefillTokens = request.getUnreadTokens(),
                .tier = request.getTier(),
                .interTokenTarget = std::chrono::milliseconds(request.getPauseTargetMs()),
                .prefillTokensPerSecond = request.getPrefillTokensPerSecond(),
                .step = std::chrono::microseconds(request.getStepMicros()),
                .incarnationTag = request.getIncarnationTag(),
                .heldTokens = request.getHeldTokens()});
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
    builder.setPrefillTokensPerSecond(endpoint.prefillTokensPerSecond);
    builder.setSpeedSamples(endpoint.speedSamples);
    builder.setIncarnationTag(endpoint.incarnationTag);
    builder.setStepMicros(static_cast<std::uint32_t>(endpoint.step.count()));
    builder.setHeldTokens(endpoint.heldTokens);
    auto list = builder.initStreams(static_cast<unsigned>(endpoint.streams.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        list[index].setPauseTargetMs(static_cast<std::uint32_t>(endpoint.streams[index].interTokenTarget.count()));
        list[index].setStreams(endpoint.streams[index].streams);
        list[index].setShortStreams(endpoint.streams[index].shortPromptStreams);
    }
}

policy::PeerEndpointLoad read(load::EndpointLoad::Reader reader)
{
    policy::PeerEndpointLoad endpoint {.endpoint = support::EndpointId(reader.getEndpoint().cStr()),
        .running = reader.getRunning(),
        .prefillTokensPerSecond = reader.getPrefillTokensPerSecond(),
        .speedSamples = reader.getSpeedSamples(),
        .incarnationTag = reader.getIncarnationTag(),
        .step = std::chrono::microseconds(reader.getStepMicros()),
        .heldTokens = reader.getHeldTokens()};
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

void write(capnp::List<load::LostEndpoint>::Builder builder, std::span<const policy::LostEndpoint> lost)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        builder[index].setEndpoint(lost[index].endpoint.value());
        builder[index].setIncarnation(lost[index].incarnation);
        builder[index].setAgeMs(static_cast<std::uint32_t>(lost[index].age.count()));
    }
}

std::vector<policy::LostEndpoint> read(capnp::List<load::LostEndpoint>::Reader reader)
{
    std::vector<policy::LostEndpoint> lost;
    for (const auto entry : reader) {
        lost.push_back({.endpoint = support::EndpointId(entry.getEndpoint().cStr()),
            .incarnation = entry.getIncarnation(),
            .age = std::chrono::milliseconds(entry.getAgeMs())});
    }
    return lost;
}

void write(load::SegmentEvidence::Builder builder, const policy::SegmentEvidence &evidence)
{
    builder.setSegment(evidence.segment);
    builder.setPosition(static_cast<std::uint16_t>(evidence.position));
    builder.setHasOutput(evidence.outputAge.has_value());
    builder.setOutputAgeMs(static_cast<std::uint32_t>(evidence.outputAge.value_or(std::chrono::milliseconds(0)).count()));
    auto crashes = builder.initCrashes(static_cast<unsigned>(evidence.crashes.size()));
    for (unsigned index = 0; index < crashes.size(); ++index) {
        crashes[index].setId(evidence.crashes[index].id);
        crashes[index].setAgeMs(static_cast<std::uint32_t>(evidence.crashes[index].age.count()));
    }
}

policy::SegmentEvidence read(load::SegmentEvidence::Reader reader)
{
    policy::SegmentEvidence evidence {.segment = reader.getSegment(), .position = reader.getPosition()};
    if (reader.getHasOutput()) {
        evidence.outputAge = std::chrono::milliseconds(reader.getOutputAgeMs());
    }
    for (const auto crash : reader.getCrashes()) {
        evidence.crashes.push_back({.id = crash.getId(), .age = std::chrono::milliseconds(crash.getAgeMs())});
    }
    return evidence;
}

void write(capnp::List<load::PoolSegments>::Builder builder, const SegmentReport &report)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        const auto &[pool, segments] = report[index];
        builder[index].setPool(pool.value());
        auto list = builder[index].initSegments(static_cast<unsigned>(segments.size()));
        for (unsigned position = 0; position < list.size(); ++position) {
            write(list[position], segments[position]);
        }
    }
}

SegmentReport read(capnp::List<load::PoolSegments>::Reader reader)
{
    SegmentReport report;
    for (const auto pool : reader) {
        std::vector<policy::SegmentEvidence> segments;
        for (const auto segment : pool.getSegments()) {
            segments.push_back(read(segment));
        }
        report.emplace_back(support::PoolId(pool.getPool().cStr()), std::move(segments));
    }
    return report;
}

void write(load::LoadDatagram::Builder root, const PeerLoadSummary &summary)
{
    root.setDataCentre(summary.dataCentre.value());
    root.setPart(summary.part.index);
    root.setParts(summary.part.count);
    auto pools = root.initSummaries(static_cast<unsigned>(summary.pools.size()));
    for (unsigned index = 0; index < pools.size(); ++index) {
        const auto &[pool, load] = summary.pools[index];
        pools[index].setPool(pool.value());
        pools[index].setLongestReadMs(static_cast<std::uint32_t>(load.longestPrefill.count()));
        auto endpoints = pools[index].initEndpoints(static_cast<unsigned>(load.endpoints.size()));
        for (unsigned position = 0; position < endpoints.size(); ++position) {
            write(endpoints[position], load.endpoints[position]);
        }
        write(pools[index].initPrefixes(static_cast<unsigned>(load.prefixes.size())), load.prefixes);
    }
}

PeerLoadSummary readSummary(load::LoadDatagram::Reader root)
{
    PeerLoadSummary summary {.dataCentre = support::DataCentreId(root.getDataCentre().cStr()),
        .part = {.index = root.getPart(), .count = std::max<std::uint16_t>(root.getParts(), 1)}};
    for (const auto pool : root.getSummaries()) {
        policy::PeerSummary load {.longestPrefill = std::chrono::milliseconds(pool.getLongestReadMs())};
        for (const auto endpoint : pool.getEndpoints()) {
            load.endpoints.push_back(read(endpoint));
        }
        load.prefixes = read(pool.getPrefixes());
        summary.pools.emplace_back(support::PoolId(pool.getPool().cStr()), std::move(load));
    }
    return summary;
}

std::optional<LoadDatagram> read(load::LoadDatagram::Reader root)
{
    LoadDatagram datagram {.instance = support::InstanceId(root.getInstance().cStr()),
        .sequence = root.getSequence(),
        .sentAtMs = root.getSentAtMs(),
        .echoMs = root.getEchoMs(),
        .echoHeld = std::chrono::milliseconds(root.getEchoHeldMs()),
        .store = {.freshness = {.configuration = read(root.getConfiguration()), .endpoints = read(root.getEndpoints())},
            .changes = {.configuration = read(root.getConfigurationChanges()), .endpoints = read(root.getEndpointChanges())}},
        .lost = read(root.getLost()),
        .segments = read(root.getSegments())};
    switch (root.which()) {
    case load::LoadDatagram::REQUESTS:
        datagram.load = readReport(root.getRequests());
        datagram.newPrefixes = readNewPrefixes(root.getRequests());
        return datagram;
    case load::LoadDatagram::SUMMARIES:
        datagram.load = readSummary(root);
        return datagram;
    }
    return std::nullopt;
}

} // namespace

static std::size_t largestPool(const PeerLoadSummary &summary)
{
    std::size_t largest = 0;
    for (const auto &[id, pool] : summary.pools) {
        largest = std::max({largest, pool.endpoints.size(), pool.prefixes.size()});
    }
    return largest;
}

static policy::PeerSummary partOf(const policy::PeerSummary &summary, const policy::EndpointPart &part)
{
    policy::PeerSummary result {.longestPrefill = summary.longestPrefill};
    const auto isInPart = [&part](const auto &entry) {
        return policy::isInPart(entry.endpoint, part);
    };
    std::copy_if(summary.endpoints.begin(), summary.endpoints.end(), std::back_inserter(result.endpoints), isInPart);
    std::copy_if(summary.prefixes.begin(), summary.prefixes.end(), std::back_inserter(result.prefixes), isInPart);
    return result;
}

std::vector<PeerLoadSummary> splitSummary(PeerLoadSummary summary, std::size_t maxEndpoints)
{
    const std::size_t count = std::max<std::size_t>(1, (largestPool(summary) + maxEndpoints - 1) / maxEndpoints);
    std::vector<PeerLoadSummary> parts;
    if (count == 1) {
        parts.push_back(std::move(summary));
        return parts;
    }
    for (std::size_t index = 0; index < count; ++index) {
        const policy::EndpointPart part {.index = static_cast<std::uint16_t>(index), .count = static_cast<std::uint16_t>(count)};
        PeerLoadSummary &result = parts.emplace_back(PeerLoadSummary {.dataCentre = summary.dataCentre, .part = part});
        for (const auto &[id, pool] : summary.pools) {
            result.pools.emplace_back(id, partOf(pool, part));
        }
    }
    return parts;
}

std::vector<std::uint8_t> encode(const LoadDatagram &datagram)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<load::LoadDatagram>();
    root.setInstance(datagram.instance.value());
    root.setSequence(datagram.sequence);
    root.setSentAtMs(datagram.sentAtMs);
    root.setEchoMs(datagram.echoMs);
    root.setEchoHeldMs(static_cast<std::uint32_t>(datagram.echoHeld.count()));
    write(root.initConfiguration(), datagram.store.freshness.configuration);
    write(root.initEndpoints(), datagram.store.freshness.endpoints);
    const StoreChanges &changes = datagram.store.changes;
    write(root.initConfigurationChanges(static_cast<unsigned>(changes.configuration.size())), changes.configuration);
    write(root.initEndpointChanges(static_cast<unsigned>(changes.endpoints.size())), changes.endpoints);
    write(root.initLost(static_cast<unsigned>(datagram.lost.size())), datagram.lost);
    write(root.initSegments(static_cast<unsigned>(datagram.segments.size())), datagram.segments);
    if (const auto *report = std::get_if<RouterLoadReport>(&datagram.load)) {
        write(root, *report, datagram.newPrefixes);
    } else {
        write(root, std::get<PeerLoadSummary>(datagram.load));
    }
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
