#include "mulberrywall/Router/ResourceLimits.h"

#include <gtest/gtest.h>

namespace mulberrywall::router
{

/// Guards against bounds that leave no memory for the process itself, or too little for one body of the largest legal size.
TEST(ResourceLimits, LeaveMemoryForTheProcessAndForOneBody)
{
    constexpr std::size_t maxBodyBytes = 4'194'304;
    for (const std::size_t megabytes : {64U, 120U, 260U, 512U}) {
        const ResourceLimits limits = deriveResourceLimits(megabytes * 1'000'000, 0);
        EXPECT_LE(limits.heldBytes + 32'000'000, megabytes * 1'000'000) << megabytes;
        EXPECT_GT(limits.heldBytes / 2, maxBodyBytes) << megabytes;
        EXPECT_LT(limits.responseBytes, limits.heldBytes) << megabytes;
        EXPECT_EQ(limits.callerConnections, 0U);
    }
}

/// Guards against connections of callers that leave no descriptors for endpoints, peers and the store.
TEST(ResourceLimits, LeaveDescriptorsForEndpoints)
{
    for (const std::size_t descriptors : {300U, 1'024U, 4'100U}) {
        const ResourceLimits limits = deriveResourceLimits(0, descriptors);
        EXPECT_LE(2 * (limits.callerConnections + limits.excessConnections), descriptors);
        EXPECT_GT(limits.callerConnections, descriptors / 4);
        EXPECT_EQ(limits.heldBytes, 0U);
    }
}

} // namespace mulberrywall::router
