#include "mulberrywall/Router/ConfigurationLease.h"

#include <gtest/gtest.h>

namespace mulberrywall::router
{

using std::chrono::milliseconds;
using support::BootClock;

/// Guards against a revoked key that is accepted for too long because a late response renews the lease
/// from its arrival.
TEST(ConfigurationLease, StartsAtTheTimeOfTheConfirmation)
{
    ConfigurationLease lease(milliseconds(5000));
    const BootClock::time_point start {milliseconds(1000)};
    EXPECT_FALSE(lease.isValid(start));
    lease.renew(start);
    EXPECT_TRUE(lease.isValid(start + milliseconds(5000)));
    EXPECT_FALSE(lease.isValid(start + milliseconds(5001)));
    lease.renew(start + milliseconds(3000));
    lease.renew(start + milliseconds(1000));
    EXPECT_TRUE(lease.isValid(start + milliseconds(8000)));
    EXPECT_EQ(lease.age(start + milliseconds(4000)), milliseconds(1000));
}

TEST(ConfigurationLease, NeverExpiresWithoutALifetime)
{
    const ConfigurationLease lease;
    EXPECT_TRUE(lease.isValid(BootClock::time_point::max()));
}

} // namespace mulberrywall::router
