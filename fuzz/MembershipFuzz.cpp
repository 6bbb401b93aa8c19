#include "Require.h"

#include "../lib/Membership/Codec.h"
#include "mulberrywall/Membership/Authenticator.h"

#include "mulberrywall/Membership/StateMachine.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace
{

using namespace mulberrywall;
using namespace mulberrywall::membership;
using fuzz::require;

const std::string secret = "secret";

/// An input is a sequence of frames: delay before the datagram in units of 20 ms (1 byte), payload length (2 bytes, little
/// endian), payload.
constexpr std::size_t frameHeaderBytes = 3;
constexpr std::chrono::milliseconds timeUnit {20};

SocketAddress addressOf(std::uint8_t host)
{
    return {.ip = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 127, 0, 0, host}, .port = 7'000};
}

/// Requires that authentication accepts the payload with a valid tag and rejects it with a damaged tag.
void checkTag(std::span<const std::uint8_t> payload)
{
    std::vector<std::uint8_t> datagram(payload.begin(), payload.end());
    appendTag(datagram, secret);
    const auto verified = verifyTag(datagram, secret);
    require(verified && std::equal(verified->begin(), verified->end(), payload.begin(), payload.end()), "a datagram with a valid tag yields its payload");
    datagram.back() ^= 1U;
    require(!verifyTag(datagram, secret), "a damaged tag is rejected");
}

void checkEncoding(std::span<const std::uint8_t> payload)
{
    const auto message = decodeMessage(payload);
    if (!message) {
        return;
    }
    std::vector<std::uint8_t> encoded = encodeMessage(*message);
    for (const GossipItem &item : message->items) {
        require(appendItem(encoded, item, payload.size()), "encoding an item takes no more space than its original encoding");
    }
    require(std::equal(encoded.begin(), encoded.end(), payload.begin(), payload.end()), "encoding a decoded message yields the original bytes");
}

void checkOutput(const CommandOutput &output, const MembershipOptions &options)
{
    for (const OutgoingDatagram &datagram : output.datagrams) {
        require(datagram.payload.size() <= options.maxDatagramBytes, "an outgoing datagram does not exceed the maximum size");
        require(decodeMessage(datagram.payload).has_value(), "an outgoing datagram can be decoded");
    }
}

void checkState(const MembershipState &state, const MembershipState &before)
{
    const MembershipOptions &options = state.options;
    require(state.self.incarnation >= before.self.incarnation, "the member's own incarnation does not decrease");
    require(state.configurationRevision >= before.configurationRevision, "the configuration revision does not decrease");
    require(state.members.size() <= options.maxMembers, "the number of members does not exceed its limit");
    require(state.leavingEndpoints.size() <= options.maxItemsPerType, "the number of leaving endpoints does not exceed its limit");
    require(state.quarantinedFingerprints.size() <= options.maxItemsPerType, "the number of quarantined fingerprints does not exceed its limit");
    require(state.poolLoads.size() <= options.maxItemsPerType, "the number of pool loads does not exceed its limit");
    require(!state.members.contains(state.self.instance), "a member does not list itself among the other members");
    for (const auto &[instance, record] : state.members) {
        const auto previous = before.members.find(instance);
        require(previous == before.members.end() || record.member.incarnation >= previous->second.member.incarnation,
            "the incarnation of a member does not decrease");
    }
    const auto live = liveMembers(state);
    require(std::any_of(live.begin(), live.end(), [&state](const Member &member) { return member.instance == state.self.instance; }),
        "a member lists itself as live");
}

} // namespace

/// Guards against datagrams of a peer that crash the process, exceed a limit, or make a member decrease an incarnation or
/// revision, or drop itself from its live members.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    RandomEngine random(1);
    TimePoint now {std::chrono::hours(1)};
    const MembershipOptions options {
        .self = {.instance = support::InstanceId("self"), .dataCentre = support::DataCentreId("a"), .address = addressOf(1), .incarnation = 5},
        .seeds = {addressOf(2)},
        .maxMembers = 4,
        .maxItemsPerType = 4};
    MembershipState state = createState(options, now, random);
    std::span<const std::uint8_t> input(data, size);
    while (input.size() > frameHeaderBytes) {
        now += input[0] * timeUnit;
        const std::size_t length = std::min<std::size_t>(input[1] + 256U * input[2], input.size() - frameHeaderBytes);
        const auto payload = input.subspan(frameHeaderBytes, length);
        input = input.subspan(frameHeaderBytes + length);
        const MembershipState before = state;
        checkTag(payload);
        checkEncoding(payload);
        checkOutput(receive(state, addressOf(2), payload, now, random), options);
        checkOutput(advance(state, now, random), options);
        checkState(state, before);
        (void)nextWakeUp(state);
        (void)poolLoads(state, support::PoolId("model"));
        (void)isLeaving(state, support::EndpointId("runner-1"), 1);
    }
    return 0;
}
