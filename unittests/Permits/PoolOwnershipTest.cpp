#include "PermitsFixture.h"

#include <algorithm>
#include <iterator>
#include <thread>

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

// Guards against requests that waited at a lost owner and are rejected by the next one, because half of its slots and its
// observations of other times make their targets seem out of reach.
TEST_F(PoolOwnershipTest, NewOwnerQueuesRequestsOfTheLostOne)
{
    constexpr std::chrono::milliseconds holdingTime {30};
    constexpr std::size_t waitingRequests = 10;
    PoolTable pools(workers_.context(), policy::standardPolicy());
    configuration::SiteConfiguration site;
    site.classes = {{.id = support::ClassId("chat"), .targets = {.timeToFirstToken = holdingTime / 10}, .maximumWait = std::chrono::milliseconds(1)}};
    site.pools = {{.id = support::PoolId("model")}};
    site.endpoints = {{.id = support::EndpointId("runner"), .pools = {support::PoolId("model")}, .maximumConcurrency = 2}};
    pools.configure(site);
    const auto pool = pools.find(support::PoolId("model"));
    bool wasQueued = false;
    const auto acquire = [&] {
        PendingAcquire pending;
        auto promise = std::make_shared<std::promise<PermitResult>>();
        pending.answer = promise->get_future();
        PermitRequest request {.request = support::RequestId("r"), .pool = support::PoolId("model")};
        request.submission.requestClass = support::ClassId("chat");
        request.submission.wasQueued = wasQueued;
        pending.ticket = pools.acquire(request, [promise](PermitResult result) { promise->set_value(std::move(result)); });
        return pending;
    };
    PendingAcquire observed = acquire();
    const auto permit = observed.getPermit();
    std::this_thread::sleep_for(holdingTime);
    permit->finish({.outcome = policy::AttemptOutcome::Completed});
    pool->setOwnership(OwnershipState::Released, support::InstanceId("lost"));
    pool->setOwnership(OwnershipState::Recovering, support::InstanceId("self"));
    std::vector<PendingAcquire> waiting;
    wasQueued = true;
    std::generate_n(std::back_inserter(waiting), waitingRequests, acquire);
    const auto granted = waiting.front().getPermit();
    EXPECT_EQ(pool->summarize().waiting, waitingRequests - 1);
    // New requests wait as well until the owner knows what runs. Then those that cannot meet their target are rejected.
    wasQueued = false;
    waiting.push_back(acquire());
    EXPECT_EQ(pool->summarize().waiting, waitingRequests);
    pool->setOwnership(OwnershipState::Owned, support::InstanceId("self"));
    std::generate_n(std::back_inserter(waiting), 2, acquire);
    EXPECT_TRUE(std::holds_alternative<PermitRejection>(waiting.back().get()));
}

} // namespace mulberrywall::permits
