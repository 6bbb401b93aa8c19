#include "PermitsFixture.h"

namespace mulberrywall::permits
{

namespace
{

std::vector<membership::Member> makeMembers(int count)
{
    std::vector<membership::Member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        members.push_back({.instance = support::InstanceId("router-" + std::to_string(index)), .dataCentre = support::DataCentreId("a")});
    }
    return members;
}

support::InstanceId ownerOfPool(const std::vector<membership::Member> &members, int pool)
{
    return ownerOf(members, support::DataCentreId("a"), support::PoolId("model-" + std::to_string(pool)))->instance;
}

} // namespace

// Guards against pools that move to another owner although theirs is still live, and against an uneven distribution of
// pools over the owners.
TEST(OwnershipTest, LossOfMemberMovesOnlyItsPools)
{
    const std::vector<membership::Member> before = makeMembers(10);
    std::vector<membership::Member> after = before;
    after.erase(after.begin() + 4);
    std::map<support::InstanceId, int> counts;
    for (int pool = 0; pool < 1'000; ++pool) {
        const support::InstanceId owner = ownerOfPool(before, pool);
        ++counts[owner];
        if (owner != before[4].instance) {
            EXPECT_EQ(ownerOfPool(after, pool), owner);
        }
    }
    for (const auto &[instance, count] : counts) {
        EXPECT_GT(count, 60) << instance;
        EXPECT_LT(count, 140) << instance;
    }
    EXPECT_EQ(ownerOf(before, support::DataCentreId("b"), support::PoolId("model")), nullptr);
}

class PoolOwnershipTest : public PermitsFixture
{
};

// Guards against a new owner that grants all slots before the requests running on them have been re-registered.
TEST_F(PoolOwnershipTest, NewOwnerStartsWithReducedLimit)
{
    PoolTable pools(workers_.context(), policy::standardPolicy());
    configuration::SiteConfiguration site;
    site.pools = {{.id = support::PoolId("model")}};
    site.endpoints = {{.id = support::EndpointId("runner"), .pools = {support::PoolId("model")}, .maximumConcurrency = 4}};
    pools.configure(site);
    const auto pool = pools.find(support::PoolId("model"));
    membership_.set({.instance = support::InstanceId("other"), .dataCentre = support::DataCentreId("a")});
    PoolOwnership ownership(workers_.context(),
        pools,
        membership_.view(),
        {.instance = support::InstanceId("self"), .dataCentre = support::DataCentreId("a"), .recoveryTimeout = std::chrono::hours(1)});
    ownership.reconcile();
    EXPECT_EQ(pool->ownership(), OwnershipState::Released);
    membership_.set({.instance = support::InstanceId("self"), .dataCentre = support::DataCentreId("a")});
    membership_.set({.instance = support::InstanceId("third"), .dataCentre = support::DataCentreId("b")});
    membership_.remove("other");
    ownership.reconcile();
    EXPECT_EQ(pool->ownership(), OwnershipState::Recovering);
    EXPECT_EQ(pool->summarize().freeSlots, 2U);
    policy::RunningRequest running {.endpoint = support::EndpointId("runner")};
    const auto reregistered = ownership.reregister(support::PoolId("model"), support::InstanceId("self"), {running});
    ASSERT_TRUE(reregistered);
    EXPECT_EQ(pool->ownership(), OwnershipState::Recovering) << "the former owner may still run requests";
    EXPECT_TRUE(ownership.reregister(support::PoolId("model"), support::InstanceId("other"), {}));
    EXPECT_EQ(pool->ownership(), OwnershipState::Owned) << "all routers of the data centre have re-registered their requests";
    EXPECT_EQ(pool->summarize().freeSlots, 3U) << "the re-registered request takes a slot";
}

} // namespace mulberrywall::permits
