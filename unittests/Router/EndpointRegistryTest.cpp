#include "mulberrywall/Router/EndpointRegistry.h"

#include <gtest/gtest.h>

namespace mulberrywall::router
{

using std::chrono::milliseconds;

class EndpointRegistryTest : public testing::Test
{
protected:
    static RegisteredEndpoint makeEntry(const std::string &id, bool leaving = false)
    {
        return {.endpoint = {.id = support::EndpointId(id), .address = "10.0.0.1", .port = 80}, .leaving = leaving};
    }

    [[nodiscard]] std::size_t usable() const
    {
        return usableEndpoints(registry_).size();
    }

    EndpointRegistry registry_;
    EndpointRegistry::TimePoint now_ {std::chrono::seconds(100)};
    support::EndpointId id_ {"i-1"};
};

TEST_F(EndpointRegistryTest, LeavingAndRemovedEndpointsAreNotUsable)
{
    EXPECT_TRUE(recordEntry(registry_, makeEntry("i-1")));
    EXPECT_FALSE(recordEntry(registry_, makeEntry("i-1")));
    EXPECT_TRUE(recordEntry(registry_, makeEntry("i-2")));
    EXPECT_EQ(usable(), 2U);
    EXPECT_TRUE(recordEntry(registry_, makeEntry("i-2", true)));
    EXPECT_EQ(usable(), 1U);
    EXPECT_TRUE(removeEntry(registry_, id_, now_));
    EXPECT_EQ(usable(), 0U);
}

/// Guards against losing all endpoints when a store recovers whose entries expired during the outage.
TEST_F(EndpointRegistryTest, KeepsExpiredEntriesForAGracePeriodAfterTheStoreRecovers)
{
    recordEntry(registry_, makeEntry("i-1"));
    recordEntry(registry_, makeEntry("i-2"));
    recordStoreRecovered(registry_, now_);
    EXPECT_FALSE(removeEntry(registry_, id_, now_));
    EXPECT_FALSE(removeEntry(registry_, support::EndpointId("i-2"), now_ + milliseconds(500)));
    EXPECT_EQ(usable(), 2U);
    recordEntry(registry_, makeEntry("i-2"));
    EXPECT_EQ(nextExpiry(registry_), now_ + registrationGrace);
    EXPECT_FALSE(removeExpired(registry_, now_ + registrationGrace - milliseconds(1)));
    EXPECT_TRUE(removeExpired(registry_, now_ + registrationGrace));
    EXPECT_EQ(usable(), 1U);
    EXPECT_FALSE(nextExpiry(registry_).has_value());
}

TEST_F(EndpointRegistryTest, RemovesALeavingEndpointImmediatelyDuringTheGracePeriod)
{
    recordEntry(registry_, makeEntry("i-1", true));
    recordStoreRecovered(registry_, now_);
    EXPECT_TRUE(removeEntry(registry_, id_, now_));
}

/// Guards against a change of the endpoints with each heartbeat of an endpoint that has notice.
TEST_F(EndpointRegistryTest, RemainingTimeOfALeavingEndpointIsNoChange)
{
    RegisteredEndpoint entry = makeEntry("i-1", true);
    entry.leavesIn = milliseconds(3'000);
    EXPECT_TRUE(recordEntry(registry_, entry));
    entry.leavesIn = milliseconds(2'000);
    EXPECT_FALSE(recordEntry(registry_, entry));
    ASSERT_EQ(registeredEndpoints(registry_).size(), 1U);
    EXPECT_EQ(registeredEndpoints(registry_).front().leavesIn, milliseconds(2'000));
}

} // namespace mulberrywall::router
