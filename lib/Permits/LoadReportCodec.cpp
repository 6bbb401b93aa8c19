#include "generated/LoadReport.capnp.h"

#include "mulberrywall/Permits/LoadExchange.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include <kj/exception.h>
#include <kj/io.h>

namespace mulberrywall::permits
{

/// A report has at most some thousand bytes; more is no report.
static constexpr capnp::ReaderOptions readerOptions {.traversalLimitInWords = 64 * 1024 / sizeof(capnp::word)};

std::vector<std::uint8_t> encode(const LoadReport &report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<load::LoadReport>();
    root.setInstance(report.instance.value());
    root.setSequence(report.sequence);
    auto pools = root.initPools(static_cast<unsigned>(report.pools.size()));
    for (unsigned index = 0; index < pools.size(); ++index) {
        const auto &[pool, requests] = report.pools[index];
        pools[index].setPool(pool.value());
        auto list = pools[index].initRequests(static_cast<unsigned>(requests.size()));
        for (unsigned position = 0; position < list.size(); ++position) {
            const policy::PeerRequest &request = requests[position];
            list[position].setEndpoint(request.endpoint.value());
            list[position].setPrefixHash(request.prefixHash);
            list[position].setSharedTokens(request.sharedTokens);
            list[position].setUnreadTokens(request.unreadTokens);
            list[position].setPauseTargetMs(static_cast<std::uint32_t>(request.pauseTarget.count()));
        }
    }
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    return {bytes.begin(), bytes.end()};
}

static LoadReport read(load::LoadReport::Reader reader)
{
    LoadReport report {.instance = support::InstanceId(reader.getInstance().cStr()), .sequence = reader.getSequence()};
    for (const auto pool : reader.getPools()) {
        std::vector<policy::PeerRequest> requests;
        for (const auto request : pool.getRequests()) {
            requests.push_back({.endpoint = support::EndpointId(request.getEndpoint().cStr()),
                .prefixHash = request.getPrefixHash(),
                .sharedTokens = request.getSharedTokens(),
                .unreadTokens = request.getUnreadTokens(),
                .pauseTarget = std::chrono::milliseconds(request.getPauseTargetMs())});
        }
        report.pools.emplace_back(support::PoolId(pool.getPool().cStr()), std::move(requests));
    }
    return report;
}

std::optional<LoadReport> decodeLoadReport(std::span<const std::uint8_t> datagram)
{
    std::optional<LoadReport> report;
    const auto problem = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(kj::arrayPtr(datagram.data(), datagram.size()));
        capnp::PackedMessageReader message(stream, readerOptions);
        report = read(message.getRoot<load::LoadReport>());
    });
    return problem == nullptr ? report : std::nullopt;
}

} // namespace mulberrywall::permits
