#include "Require.h"

#include "../lib/Metering/UsageCodec.h"
#include "mulberrywall/Metering/UsageLedger.h"

#include <algorithm>
#include <cstdint>

namespace
{

using namespace mulberrywall;
using namespace mulberrywall::metering;
using fuzz::require;

constexpr std::size_t maxDatagramBytes = 1'200;
constexpr UsageLedgerOptions options {.maxWindows = 4, .maxProcesses = 2, .maxCounts = 8, .maxOrganisations = 4, .maxPools = 2};
constexpr BootTime now {std::chrono::hours(1)};

void checkMessage(const UsageMessage &message)
{
    UsageMessage received = message;
    received.windows.clear();
    for (const auto &datagram : encode(message, maxDatagramBytes)) {
        require(datagram.size() <= maxDatagramBytes, "a datagram does not exceed the maximum size");
        const auto decoded = decodeUsageDatagram(datagram);
        require(decoded && std::holds_alternative<UsageMessage>(*decoded), "an encoded message can be decoded");
        const auto &part = std::get<UsageMessage>(*decoded);
        received.windows.insert(received.windows.end(), part.windows.begin(), part.windows.end());
    }
    require(received.windows.size() >= message.windows.size(), "no window is lost by encoding");
}

void checkLedger(const UsageMessage &message)
{
    const WindowNumber open = message.windows.empty() ? message.firstWindow : message.windows.front().window;
    UsageLedger ledger(options);
    ledger.advance(open);
    ledger.record(message, now);
    const auto before = ledger.counts(open);
    ledger.record(message, now);
    require(ledger.counts(open) == before, "a repeated message does not change the counts");
    require(before.size() <= options.maxOrganisations, "the number of organisations does not exceed its limit");
    require(ledger.progress(message.instance, message.incarnation).size() <= options.maxWindows + options.maxFutureWindows,
        "the number of windows does not exceed its limit");
    for (const RouterDemand &demand : ledger.demand(now)) {
        require(demand.pools.size() <= options.maxPools, "the number of pools does not exceed its limit");
    }
}

} // namespace

/// Guards against datagrams of another router that crash the process, exceed a limit of the ledger, or change counts by repetition.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const std::uint8_t> input(data, size);
    const auto decoded = decodeUsageDatagram(input);
    if (!decoded) {
        return 0;
    }
    if (const auto *message = std::get_if<UsageMessage>(&*decoded)) {
        checkMessage(*message);
        checkLedger(*message);
        return 0;
    }
    const auto encoded = encode(std::get<UsageAcknowledgement>(*decoded));
    require(encoded.size() == input.size(), "encoding a decoded acknowledgement yields its size");
    return 0;
}
