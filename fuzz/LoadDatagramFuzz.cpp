#include "Require.h"

#include "mulberrywall/Permits/LoadDatagram.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

using namespace mulberrywall;

static std::size_t changeBytes(std::span<const permits::TableChanges> changes, std::size_t bytesPerItem)
{
    std::size_t bytes = changes.size() * bytesPerItem;
    for (const permits::TableChanges &entry : changes) {
        for (const permits::TableRow &row : entry.rows) {
            bytes += bytesPerItem + row.key.size() + row.value.size();
        }
    }
    return bytes;
}

/// Returns whether the decoded datagram takes more than 16 KiB, estimated as 64 bytes per item plus the names: a few hundred
/// items, or names of that total length.
static bool isLarge(const permits::LoadDatagram &datagram)
{
    constexpr std::size_t bytesPerItem = 64;
    constexpr std::size_t largeBytes = 16 * 1024;
    std::size_t bytes = datagram.instance.value().size() + changeBytes(datagram.store.changes.configuration, bytesPerItem)
        + changeBytes(datagram.store.changes.endpoints, bytesPerItem);
    const auto addName = [&bytes](const auto &name) {
        bytes += bytesPerItem + name.value().size();
    };
    if (const auto *report = std::get_if<permits::RouterLoadReport>(&datagram.load)) {
        for (const auto &[pool, requests] : *report) {
            addName(pool);
            std::for_each(requests.begin(), requests.end(), [&](const auto &request) { addName(request.endpoint); });
        }
        for (const auto &[pool, prefixes] : datagram.newPrefixes) {
            addName(pool);
            std::for_each(prefixes.begin(), prefixes.end(), [&](const auto &prefix) { addName(prefix.endpoint); });
        }
        return bytes > largeBytes;
    }
    for (const auto &[pool, summary] : std::get<permits::PeerLoadSummary>(datagram.load).pools) {
        addName(pool);
        std::for_each(summary.prefixes.begin(), summary.prefixes.end(), [&](const auto &prefix) { addName(prefix.endpoint); });
        for (const auto &endpoint : summary.endpoints) {
            addName(endpoint.endpoint);
            bytes += endpoint.streams.size() * bytesPerItem;
        }
    }
    return bytes > largeBytes;
}

/// Guards against load datagrams of other routers that crash this one, or that change when they are decoded and encoded again.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto datagram = permits::decodeLoadDatagram(std::span(data, size));
    if (!datagram) {
        return 0;
    }
    const std::vector<std::uint8_t> encoded = permits::encode(*datagram);
    const auto decodedAgain = permits::decodeLoadDatagram(encoded);
    if (!decodedAgain && isLarge(*datagram)) {
        // Cap'n Proto pointers that share one target take more space when encoded again, possibly beyond the reader's limit.
        return 0;
    }
    fuzz::require(decodedAgain.has_value(), "a decoded datagram can be encoded and decoded again");
    fuzz::require(
        decodedAgain->instance == datagram->instance && decodedAgain->sequence == datagram->sequence, "encoding keeps the instance and the sequence number");
    fuzz::require(decodedAgain->sentAtMs == datagram->sentAtMs && decodedAgain->echoMs == datagram->echoMs, "encoding keeps the time stamps");
    fuzz::require(decodedAgain->store == datagram->store, "encoding keeps the store progress");
    fuzz::require(decodedAgain->load == datagram->load, "encoding keeps the load");
    return 0;
}
