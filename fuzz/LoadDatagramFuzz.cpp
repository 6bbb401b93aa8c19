#include "Require.h"

#include "mulberrywall/Permits/LoadDatagram.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

using namespace mulberrywall;

/// Returns whether the datagram holds more than some hundred items, or names as long as that.
static bool isLarge(const permits::LoadDatagram &datagram)
{
    constexpr std::size_t bytesPerItem = 64;
    constexpr std::size_t largeBytes = 16 * 1024;
    std::size_t bytes = datagram.instance.value().size();
    const auto addName = [&bytes](const auto &name) {
        bytes += bytesPerItem + name.value().size();
    };
    if (const auto *report = std::get_if<permits::RouterLoadReport>(&datagram.load)) {
        for (const auto &[pool, requests] : *report) {
            addName(pool);
            std::for_each(requests.begin(), requests.end(), [&](const auto &request) { addName(request.endpoint); });
        }
        return bytes > largeBytes;
    }
    for (const auto &[pool, summary] : std::get<permits::PeerLoadSummary>(datagram.load)) {
        addName(pool);
        std::for_each(summary.prefixes.begin(), summary.prefixes.end(), [&](const auto &prefix) { addName(prefix.endpoint); });
        for (const auto &endpoint : summary.endpoints) {
            addName(endpoint.endpoint);
            bytes += endpoint.streams.size() * bytesPerItem;
        }
    }
    return bytes > largeBytes;
}

/// Guards against datagrams of other routers that crash this one, or that it reads in another way than it would write them.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto datagram = permits::decodeLoadDatagram(std::span(data, size));
    if (!datagram) {
        return 0;
    }
    const std::vector<std::uint8_t> encoded = permits::encode(*datagram);
    const auto again = permits::decodeLoadDatagram(encoded);
    if (!again && isLarge(*datagram)) {
        // Pointers into one place unfold to more than a reader accepts.
        return 0;
    }
    fuzz::require(again.has_value(), "a decoded datagram can be sent on");
    fuzz::require(again->instance == datagram->instance && again->sequence == datagram->sequence, "the sender is kept");
    fuzz::require(again->sentAtMs == datagram->sentAtMs && again->echoMs == datagram->echoMs, "the stamps are kept");
    fuzz::require(again->store == datagram->store, "the progress is kept");
    fuzz::require(again->load == datagram->load, "the load is kept");
    return 0;
}
