#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/RoutedPermits.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <future>
#include <mutex>

namespace mulberrywall::permits
{

inline constexpr std::chrono::seconds testLimit {20};

/// Membership controlled by the test and shared by all of its routers.
class FakeMembership
{
public:
    void set(const membership::Member &member)
    {
        const std::scoped_lock lock(mutex_);
        members_[member.instance] = member;
    }
    void remove(const std::string &instance)
    {
        const std::scoped_lock lock(mutex_);
        members_.erase(support::InstanceId(instance));
    }
    MembershipView view()
    {
        return {
            .liveMembers =
                [this] {
                    const std::scoped_lock lock(mutex_);
                    std::vector<membership::Member> live;
                    for (const auto &[instance, member] : members_) {
                        live.push_back(member);
                    }
                    return live;
                },
            .poolLoads =
                [this](const support::PoolId &pool) {
                    const std::scoped_lock lock(mutex_);
                    std::vector<membership::PoolLoad> loads;
                    for (const auto &[key, load] : loads_) {
                        if (load.pool == pool) {
                            loads.push_back(load);
                        }
                    }
                    return loads;
                },
            .announceLoad =
                [this](const membership::PoolLoad &load) {
                    const std::scoped_lock lock(mutex_);
                    loads_[load.dataCentre] = load;
                },
        };
    }

private:
    std::mutex mutex_;
    std::map<support::InstanceId, membership::Member> members_;
    std::map<support::DataCentreId, membership::PoolLoad> loads_;
};

/// A router without its HTTP interfaces: pools, peer RPC and permits.
struct TestRouter
{
    TestRouter(boost::asio::io_context &context,
        FakeMembership &group,
        const std::string &instance,
        const std::string &dataCentre,
        unsigned slots,
        unsigned endpoints = 1)
        : membership(group),
          name(instance),
          pools(context, policy::standardPolicy())
    {
        configuration::SiteConfiguration site;
        site.dataCentre = support::DataCentreId(dataCentre);
        site.classes = {{.id = support::ClassId("chat")}};
        site.organisations = {{.id = support::OrganisationId("org")}};
        site.pools = {{.id = support::PoolId("model"), .queueLimit = 2}};
        for (unsigned number = 0; slots > 0 && number < endpoints; ++number) {
            site.endpoints.push_back({.id = support::EndpointId("runner-" + dataCentre + std::string(number, '+')),
                .address = "127.0.0.1",
                .port = 1234,
                .pools = {support::PoolId("model")},
                .maximumConcurrency = slots,
                .support = {.resume = true}});
        }
        pools.configure(site);
        RoutedPermitOptions options;
        options.ownership = {.instance = support::InstanceId(instance), .dataCentre = support::DataCentreId(dataCentre)};
        options.peers = {.listen = {boost::asio::ip::address_v4::loopback(), 0}, .secret = "secret", .instance = support::InstanceId(instance)};
        permits = RoutedPermits::create(context, pools, membership.view(), options, [](std::uint64_t minimumRevision) {
            return minimumRevision <= 7 ? std::optional(ConfigurationDocument {.revision = 7, .json = "{}"}) : std::nullopt;
        });
        membership.set({.instance = support::InstanceId(instance),
            .dataCentre = support::DataCentreId(dataCentre),
            .peerAddress = membership::toAddress(permits->peers().localEndpoint())});
        permits->start();
    }

    [[nodiscard]] policy::PoolSummary summary() const
    {
        return pools.find(support::PoolId("model"))->summarize();
    }

    FakeMembership &membership;
    std::string name;
    PoolTable pools;
    std::shared_ptr<RoutedPermits> permits;
};

/// A permit request of a test with its future answer.
struct PendingAcquire
{
    AcquireTicket ticket;
    std::future<PermitResult> answer;

    bool isAnswered()
    {
        return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }
    PermitResult get()
    {
        if (answer.wait_for(testLimit) != std::future_status::ready) {
            ADD_FAILURE() << "the request was not answered";
            return PermitRejection {};
        }
        return answer.get();
    }
    std::shared_ptr<Permit> getPermit()
    {
        PermitResult result = get();
        if (auto *permit = std::get_if<std::shared_ptr<Permit>>(&result)) {
            return *permit;
        }
        const auto &rejection = std::get<PermitRejection>(result);
        ADD_FAILURE() << "rejected: " << policy::toString(rejection.reason) << ' ' << rejection.detail;
        return nullptr;
    }
};

class PermitsFixture : public testing::Test
{
protected:
    TestRouter &addRouter(const std::string &instance, const std::string &dataCentre = "a", unsigned slots = 2, unsigned endpoints = 1)
    {
        routers_.push_back(std::make_unique<TestRouter>(workers_.context(), membership_, instance, dataCentre, slots, endpoints));
        reconcileAll();
        return *routers_.back();
    }
    void reconcileAll()
    {
        for (const auto &router : routers_) {
            router->permits->membershipChanged();
        }
    }
    /// Waits until each router agrees with the membership on the owner of the pool, and the owner applies its full limits.
    void waitForSettledOwnership()
    {
        reconcileAll();
        EXPECT_TRUE(eventually([this] {
            for (const auto &router : routers_) {
                const bool owner = router->permits->ownership().currentOwner(support::PoolId("model")).value() == router->name;
                const OwnershipState expected = owner ? OwnershipState::Owned : OwnershipState::Released;
                if (router->pools.find(support::PoolId("model"))->ownership() != expected) {
                    return false;
                }
            }
            return true;
        }));
    }
    TestRouter &owner(const std::string &dataCentre = "a")
    {
        const auto live = membership_.view().liveMembers();
        return *find(ownerOf(live, support::DataCentreId(dataCentre), support::PoolId("model"))->instance.value());
    }
    TestRouter &nonOwner()
    {
        const TestRouter &owning = owner();
        for (const auto &router : routers_) {
            if (router.get() != &owning) {
                return *router;
            }
        }
        return *routers_.front();
    }
    TestRouter *find(const std::string &name)
    {
        for (const auto &router : routers_) {
            if (router->name == name) {
                return router.get();
            }
        }
        return nullptr;
    }
    static PermitRequest makeRequest(std::chrono::milliseconds deadline = testLimit)
    {
        PermitRequest request {.request = support::RequestId("request"), .pool = support::PoolId("model")};
        request.submission.requestClass = support::ClassId("chat");
        request.submission.organisation = support::OrganisationId("org");
        request.submission.deadline = std::chrono::steady_clock::now() + deadline;
        return request;
    }
    static PendingAcquire requestPermit(TestRouter &router, PermitRequest request = makeRequest())
    {
        auto promise = std::make_shared<std::promise<PermitResult>>();
        PendingAcquire pending {.ticket = nullptr, .answer = promise->get_future()};
        pending.ticket = router.permits->source().acquire(std::move(request), [promise](PermitResult result) { promise->set_value(std::move(result)); });
        return pending;
    }
    /// Polls the condition, which depends on other threads, and returns whether it held within the time limit.
    static bool eventually(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + testLimit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }
    /// Blocks the peer RPC thread until the returned promise is set or dropped.
    static std::shared_ptr<std::promise<void>> freezePeerThread(TestRouter &router)
    {
        auto thaw = std::make_shared<std::promise<void>>();
        auto frozen = std::make_shared<std::promise<void>>();
        router.permits->peers().post([thawed = std::make_shared<std::future<void>>(thaw->get_future()), frozen] {
            frozen->set_value();
            thawed->wait();
        });
        frozen->get_future().wait();
        return thaw;
    }

    void TearDown() override
    {
        for (const auto &router : routers_) {
            router->permits->stop();
        }
        workers_.stop();
        workers_.join();
    }

    FakeMembership membership_;
    support::WorkerPool workers_ {3};
    std::vector<std::unique_ptr<TestRouter>> routers_;
};

} // namespace mulberrywall::permits
