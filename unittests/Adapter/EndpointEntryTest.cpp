#include "platform/EndpointEntry.h"

#include <gtest/gtest.h>

namespace mulberrywall::platform
{

static bool isRejected(std::string_view text)
{
    return std::holds_alternative<EndpointEntryError>(readEndpointEntry("i-1", text));
}

TEST(EndpointEntry, ParsesReadyAndLeavingEndpoints)
{
    const auto read = readEndpointEntry("i-1",
        R"({"service":"s1","address":"10.128.0.9:8080","zone":"west","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":4,"born":1700000000123})");
    ASSERT_TRUE(std::holds_alternative<router::RegisteredEndpoint>(read));
    const auto &entry = std::get<router::RegisteredEndpoint>(read);
    EXPECT_EQ(entry.endpoint.id.value(), "i-1");
    EXPECT_EQ(entry.endpoint.address, "10.128.0.9");
    EXPECT_EQ(entry.endpoint.port, 8080);
    EXPECT_EQ(entry.endpoint.pools.front().value(), "s1");
    EXPECT_EQ(entry.endpoint.maximumConcurrency, 64U);
    EXPECT_EQ(entry.endpoint.incarnation, 1700000000123);
    EXPECT_FALSE(entry.leaving);

    const auto leaving = readEndpointEntry("i-1", R"({"service":"s1","address":"10.128.0.9:8080","zone":"west","slots":6,"state":"draining"})");
    EXPECT_TRUE(std::get<router::RegisteredEndpoint>(leaving).leaving);
    EXPECT_FALSE(entry.spot);
    EXPECT_FALSE(entry.leavesIn.has_value());
}

/// Guards against spot endpoints that are counted as on-demand endpoints, and against a notice that is not seen.
TEST(EndpointEntry, ParsesSpotEndpointsAndTheirNotice)
{
    const auto read
        = readEndpointEntry("i-1", R"({"service":"s1","address":"10.128.0.9:8080","zone":"west","slots":6,"state":"draining","spot":true,"leaves_ms":2500})");
    const auto &entry = std::get<router::RegisteredEndpoint>(read);
    EXPECT_TRUE(entry.leaving);
    EXPECT_TRUE(entry.spot);
    EXPECT_EQ(entry.leavesIn, std::chrono::milliseconds(2500));
}

/// Guards against an id from another writer that adds fields to the requests for its endpoint.
TEST(EndpointEntry, RejectsIdsThatNoFieldCanCarry)
{
    const std::string_view entry = R"({"service":"s1","address":"10.0.0.1:80","zone":"west","slots":6,"state":"ready"})";
    for (const std::string_view id : {"", "a\r\nX-Injected: 1", "a b", "\xff"}) {
        EXPECT_TRUE(std::holds_alternative<EndpointEntryError>(readEndpointEntry(id, entry))) << id;
    }
    EXPECT_TRUE(std::holds_alternative<router::RegisteredEndpoint>(readEndpointEntry("i-1", entry)));
}

/// Guards against a malformed entry that is used with default values, or that prevents the other entries from being read.
TEST(EndpointEntry, RejectsMalformedEntries)
{
    EXPECT_TRUE(isRejected(""));
    EXPECT_TRUE(isRejected("\x01\xff"));
    EXPECT_TRUE(isRejected("[]"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","zone":"west","slots":6,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"host:80","zone":"west","slots":6,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"10.0.0.1:80","zone":"west","slots":"6","state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"10.0.0.1:80","zone":"west","slots":0,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"10.0.0.1:80","zone":"west","slots":-1,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"10.0.0.1:80","zone":"west","slots":4294967295,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"10.0.0.1:80","zone":"west","slots":1e300,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"10.0.0.1:65536","zone":"west","slots":6,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":)" + std::string(30'000, '[') + "}"));
    EXPECT_TRUE(isRejected(R"({"service":["s1"],"address":"10.0.0.1:80","zone":"west","slots":6,"state":"ready"})"));
    EXPECT_TRUE(isRejected(R"({"service":"s1","address":"10.0.0.1:80","zone":"west","slots":6,"state":"asleep"})"));
}

} // namespace mulberrywall::platform
