#include "UsageCodec.h"

#include <gtest/gtest.h>

#include <random>

namespace mulberrywall::metering
{

namespace
{

constexpr TrueTime time {std::chrono::milliseconds(1'765'000'000'123)};

UsageMessage makeMessage(std::size_t organisations)
{
    WindowCounts window {.window = 353'000'000, .closed = true};
    for (std::size_t index = 0; index < organisations; ++index) {
        window.counts.emplace_back("organisation-" + std::to_string(1'000 + index), static_cast<std::uint32_t>(index + 1));
        window.total += static_cast<std::uint32_t>(index + 1);
    }
    return {.instance = support::InstanceId("router-1"),
        .dataCentre = support::DataCentreId("a"),
        .incarnation = 7,
        .sequence = 3,
        .anchoredTime = time,
        .firstWindow = 352'999'990,
        .windows = {window},
        .demand = {{.pool = support::PoolId("m"),
            .promptTokensAccepted = 1,
            .promptTokensRefused = 2,
            .outputTokens = 3,
            .requestsStarted = 4,
            .requestsRefused = 5,
            .waiting = 6}}};
}

} // namespace

TEST(UsageCodec, RoundTripsAMessage)
{
    const UsageMessage sent = makeMessage(3);
    const auto datagrams = encode(sent, 1'200);
    ASSERT_EQ(datagrams.size(), 1U);
    EXPECT_EQ(std::get<UsageMessage>(decodeUsageDatagram(datagrams.front()).value()), sent);
}

TEST(UsageCodec, RoundTripsAnAcknowledgement)
{
    const UsageAcknowledgement sent {.instance = support::InstanceId("router-2"),
        .incarnation = 8,
        .countsIncarnation = 7,
        .time = time,
        .clocks = 60,
        .windows = {{.window = 353'000'000, .closed = true, .total = 412}, {.window = 353'000'001}}};
    EXPECT_EQ(std::get<UsageAcknowledgement>(decodeUsageDatagram(encode(sent)).value()), sent);
}

// Guards against counts that are lost or fragmented when they do not fit into one datagram.
TEST(UsageCodec, SplitsManyOrganisations)
{
    const UsageMessage sent = makeMessage(2'000);
    OrganisationCounts received;
    for (const auto &datagram : encode(sent, 1'200)) {
        EXPECT_LE(datagram.size(), 1'200U);
        const auto part = std::get<UsageMessage>(decodeUsageDatagram(datagram).value());
        for (const WindowCounts &window : part.windows) {
            EXPECT_EQ(window.total, sent.windows.front().total);
            received.insert(received.end(), window.counts.begin(), window.counts.end());
        }
    }
    EXPECT_EQ(received, sent.windows.front().counts);
}

// Guards against reads beyond a datagram and against values that overflow later: truncated and altered datagrams are dropped or decode to
// valid values.
TEST(UsageCodec, RejectsMalformedDatagrams)
{
    const auto valid = encode(makeMessage(20), 1'200).front();
    for (std::size_t size = 0; size < 40; ++size) {
        EXPECT_FALSE(decodeUsageDatagram(std::span(valid).first(size)).has_value());
    }
    EXPECT_FALSE(decodeUsageDatagram(std::span(valid).first(valid.size() - 1)).has_value());
    std::mt19937_64 random(1);
    for (int round = 0; round < 20'000; ++round) {
        auto altered = valid;
        altered[random() % altered.size()] = static_cast<std::uint8_t>(random());
        altered.resize(altered.size() - random() % 3);
        const auto decoded = decodeUsageDatagram(altered);
        if (const auto *message = decoded ? std::get_if<UsageMessage>(&*decoded) : nullptr) {
            EXPECT_LT(message->anchoredTime, time + std::chrono::years(500));
        }
    }
}

} // namespace mulberrywall::metering
