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

/// An input is a row of datagrams: time before it in units of 20 ms, length (low byte first) and payload.
constexpr std::size_t frameHeaderBytes = 3;
constexpr std::chrono::milliseconds timeUnit {20};

SocketAddress addressOf(std::uint8_t host)
{
    return {.ip = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 127, 0, 0, host}, .port = 7'000};
}

/// Passes the payload through the authentication as the driver does.
void checkTag(std::span<const std::uint8_t> payload)
{
    std::vector<std::uint8_t> datagram(payload.begin(), payload.end());
    appendTag(datagram, secret);
    const auto verified = verifyTag(datagram, secret);
    require(verified && std::equal(verified->begin(), verified->end(), payload.begin(), payload.end()), "a valid tag gives the payload");
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
        require(appendItem(encoded, item, payload.size()), "an item takes no more space than before");
    }
    require(std::equal(encoded.begin(), encoded.end(), payload.begin(), payload.end()), "a decoded message has one encoding");
}

void checkOutput(const CommandOutput &output, const MembershipOptions &options)
{
    for (const OutgoingDatagram &datagram : output.datagrams) {
        require(datagram.payload.size() <= options.maxDatagramBytes, "a datagram keeps its bound");
        require(decodeMessage(datagram.payload).has_value(), "others can decode what is sent");
    }
}

void checkState(const MembershipState &state, const MembershipState &before)
{
    const MembershipOptions &options = state.options;
    require(state.self.incarnation >= before.self.incarnation, "the own incarnation does not decrease");
    require(state.configurationRevision >= before.configurationRevision, "the revision does not decrease");
    require(state.members.size() <= options.maxMembers, "members are bounded");
    require(state.leavingEndpoints.size() <= options.maxItemsPerType, "leaving endpoints are bounded");
    require(state.quarantinedFingerprints.size() <= options.maxItemsPerType, "crash suspects are bounded");
    require(state.poolLoads.size() <= options.maxItemsPerType, "pool loads are bounded");
    require(!state.members.contains(state.self.instance), "a member is not a peer of itself");
    for (const auto &[instance, record] : state.members) {
        const auto known = before.members.find(instance);
        require(known == before.members.end() || record.member.incarnation >= known->second.member.incarnation, "incarnations do not decrease");
    }
    const auto live = liveMembers(state);
    require(
        std::any_of(live.begin(), live.end(), [&state](const Member &member) { return member.instance == state.self.instance; }), "a member is live to itself");
}

} // namespace

/// Guards against datagrams of a peer that end the process, break a bound, or make a member forget what it must keep.
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
