#include "Codec.h"
#include "mulberrywall/Membership/Authenticator.h"

#include "mulberrywall/Membership/StateMachine.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>

namespace mulberrywall::membership
{

namespace
{

Message sampleMessage()
{
    return {.type = MessageType::ProbeRequest,
        .sender = support::InstanceId("router-1"),
        .sequence = 7,
        .target = support::InstanceId("router-2"),
        .targetAddress = {.ip = {1, 2, 3}, .port = 4}};
}

std::vector<GossipItem> sampleItems()
{
    return {Member {.instance = support::InstanceId("router-3"),
                .dataCentre = support::DataCentreId("a"),
                .incarnation = 5,
                .state = MemberState::Dead,
                .processorPercent = 50},
        ConfigurationRevision {12},
        LeavingEndpoint {.endpoint = support::EndpointId("runner-1"), .version = 2, .incarnation = 3, .timeToLive = std::chrono::seconds(9)},
        QuarantinedFingerprint {.fingerprint = 77, .crashes = 2, .timeToLive = std::chrono::seconds(600)},
        PoolLoad {.dataCentre = support::DataCentreId("b"),
            .pool = support::PoolId("model"),
            .version = 8,
            .waiting = 1,
            .running = 2,
            .freeSlots = 3,
            .endpoints = 4}};
}

std::vector<std::uint8_t> encodeSample()
{
    std::vector<std::uint8_t> payload = encodeMessage(sampleMessage());
    for (const GossipItem &item : sampleItems()) {
        appendItem(payload, item, 1'200);
    }
    return payload;
}

} // namespace

// Guards against a field that the encoding loses or alters.
TEST(CodecTest, DecodesEncodedMessage)
{
    const auto message = decodeMessage(encodeSample());
    ASSERT_TRUE(message);
    EXPECT_EQ(message->sender, sampleMessage().sender);
    EXPECT_EQ(message->sequence, 7U);
    EXPECT_EQ(message->target, sampleMessage().target);
    EXPECT_EQ(message->targetAddress, sampleMessage().targetAddress);
    EXPECT_EQ(message->items, sampleItems());
}

// Guards against reading past the end of a datagram and against accepting a truncated message.
TEST(CodecTest, RejectsTruncatedAndRandomDatagrams)
{
    const std::vector<std::uint8_t> payload = encodeSample();
    const std::size_t sizeWithoutItems = encodeMessage(sampleMessage()).size();
    for (std::size_t size = 0; size < sizeWithoutItems; ++size) {
        EXPECT_FALSE(decodeMessage(std::span(payload).first(size))) << size;
    }
    std::mt19937_64 random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::vector<std::uint8_t> damaged = payload;
        damaged.resize(random() % payload.size());
        for (int change = 0; change < 3 && !damaged.empty(); ++change) {
            damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
        }
        static_cast<void>(decodeMessage(damaged));
    }
}

// Guards against an incarnation that wraps around to 0: a member increments the number that it refutes.
TEST(CodecTest, RejectsNumberThatCannotBeIncremented)
{
    constexpr std::uint64_t highest = std::numeric_limits<std::uint64_t>::max();
    const std::vector<GossipItem> items {Member {.instance = support::InstanceId("router-1"), .incarnation = highest}, PoolLoad {.version = highest}};
    for (const GossipItem &item : items) {
        std::vector<std::uint8_t> payload = encodeMessage(sampleMessage());
        appendItem(payload, item, 1'200);
        EXPECT_FALSE(decodeMessage(payload)) << item.index();
    }
}

// Guards against a refutation with an incarnation above the limit, which other members reject as malformed.
TEST(CodecTest, RefutationDoesNotExceedHighestVersion)
{
    std::mt19937_64 random(1);
    const TimePoint now {std::chrono::hours(1)};
    MembershipState state = createState({.self = {.instance = support::InstanceId("router-1"), .incarnation = 1}}, now, random);
    std::vector<std::uint8_t> payload = encodeMessage({.sender = support::InstanceId("router-2")});
    appendItem(payload, Member {.instance = support::InstanceId("router-1"), .incarnation = highestVersion, .state = MemberState::Suspect}, 1'200);
    EXPECT_EQ(receive(state, {}, payload, now, random).events.size(), 1U);
    EXPECT_EQ(state.self.incarnation, highestVersion);
}

// Guards against a datagram that exceeds its maximum size.
TEST(CodecTest, DropsItemThatDoesNotFit)
{
    std::vector<std::uint8_t> payload = encodeMessage(sampleMessage());
    const std::vector<std::uint8_t> before = payload;
    EXPECT_FALSE(appendItem(payload, sampleItems().front(), payload.size() + 10));
    EXPECT_EQ(payload, before);
}

// Guards against accepting a datagram that was altered or signed with another secret.
TEST(CodecTest, TagDependsOnSecretAndPayload)
{
    std::vector<std::uint8_t> datagram = encodeSample();
    appendTag(datagram, "secret");
    EXPECT_TRUE(verifyTag(datagram, "secret"));
    EXPECT_FALSE(verifyTag(datagram, "other"));
    EXPECT_FALSE(verifyTag(std::span(datagram).first(5), "secret"));
    datagram[3] ^= 1;
    EXPECT_FALSE(verifyTag(datagram, "secret"));
}

} // namespace mulberrywall::membership
