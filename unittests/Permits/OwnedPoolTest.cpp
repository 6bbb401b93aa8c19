#include "mulberrywall/Permits/OwnedPool.h"
#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Support/CountedMap.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace mulberrywall::permits
{

using std::chrono::milliseconds;

/// A pool of one endpoint whose handlers run only in runReadyHandlers(), so that a test can pause it.
class OwnedPoolTest : public testing::Test
{
protected:
    static constexpr unsigned slots = 4;
    static constexpr milliseconds target {3'000};

    OwnedPoolTest()
    {
        pools_.configure(makeSite());
    }

    static configuration::SiteConfiguration makeSite()
    {
        configuration::SiteConfiguration site;
        site.classes = {{.id = support::ClassId("chat"), .targets = {.timeToFirstToken = target}, .maximumWait = milliseconds(1)}};
        site.pools = {{.id = support::PoolId("model")}};
        site.endpoints = {{.id = support::EndpointId("engine"), .pools = {support::PoolId("model")}, .maximumConcurrency = slots}};
        return site;
    }

    void acquire()
    {
        PermitRequest request {.request = support::RequestId("r"), .pool = support::PoolId("model")};
        request.submission.requestClass = support::ClassId("chat");
        tickets_.push_back(pools_.acquire(request, [this](PermitResult result) {
            if (auto *permit = std::get_if<std::shared_ptr<Permit>>(&result)) {
                permits_.push_back(std::move(*permit));
                return;
            }
            lastRejection_ = std::get<PermitRejection>(result);
            ++rejections_;
        }));
        runReadyHandlers();
    }

    void runReadyHandlers()
    {
        context_.restart();
        context_.poll();
    }

    boost::asio::io_context context_;
    PoolTable pools_ {context_, policy::standardPolicy()};
    std::vector<AcquireTicket> tickets_;
    std::vector<std::shared_ptr<Permit>> permits_;
    unsigned rejections_ = 0;
    PermitRejection lastRejection_;
};

/// Guards against callers that are rejected after a pause of the router, because the responses that arrived meanwhile are taken
/// for requests that held their slots for as long as the pause.
TEST_F(OwnedPoolTest, PauseOfTheProcessRejectsNoRequests)
{
    constexpr milliseconds pause {2'500};
    constexpr unsigned waiting = 3 * slots;
    for (unsigned request = 0; request < slots; ++request) {
        acquire();
    }
    ASSERT_EQ(permits_.size(), slots);
    std::this_thread::sleep_for(pause);
    const std::vector<std::shared_ptr<Permit>> completed = std::move(permits_);
    permits_.clear();
    for (const std::shared_ptr<Permit> &permit : completed) {
        permit->finish({.outcome = policy::AttemptOutcome::Completed});
    }
    for (unsigned request = 0; request < waiting; ++request) {
        acquire();
    }
    EXPECT_EQ(rejections_, 0U);
}

/// Guards against queued requests that are dropped without an answer when a configuration no longer has their pool: their callers'
/// connections were closed without a response.
TEST_F(OwnedPoolTest, RemovedPoolRejectsQueuedRequests)
{
    constexpr unsigned waiting = 3;
    for (unsigned request = 0; request < slots + waiting; ++request) {
        acquire();
    }
    ASSERT_EQ(permits_.size(), slots);
    configuration::SiteConfiguration site = makeSite();
    site.pools = {{.id = support::PoolId("other")}};
    pools_.configure(site);
    runReadyHandlers();
    EXPECT_EQ(rejections_, waiting);
    EXPECT_EQ(lastRejection_.reason, policy::RejectionReason::NoEndpoint);
    EXPECT_NE(lastRejection_.detail.find("model"), std::string::npos) << lastRejection_.detail;
    for (const std::shared_ptr<Permit> &permit : permits_) {
        permit->finish({.outcome = policy::AttemptOutcome::Completed});
    }
    runReadyHandlers();
    EXPECT_EQ(rejections_, waiting) << "a request was answered twice";
}

/// Guards against a request that found its pool before the pool was removed, and that waits in it without an answer.
TEST_F(OwnedPoolTest, RemovedPoolRejectsLaterRequests)
{
    const std::shared_ptr<OwnedPool> pool = pools_.find(support::PoolId("model"));
    configuration::SiteConfiguration site = makeSite();
    site.pools.clear();
    pools_.configure(site);
    std::optional<OwnerAnswer> result;
    PermitRequest request {.request = support::RequestId("r"), .pool = support::PoolId("model")};
    request.submission.requestClass = support::ClassId("chat");
    const AcquireTicket ticket = pool->acquire(request, [&result](OwnerAnswer answer) { result = std::move(answer); });
    runReadyHandlers();
    ASSERT_TRUE(result);
    EXPECT_TRUE(std::holds_alternative<PermitRejection>(*result));
}

/// Guards against queued requests without an answer when a configuration no longer has their class, but still has their pool.
TEST_F(OwnedPoolTest, RemovedClassAnswersQueuedRequests)
{
    constexpr unsigned waiting = 3;
    for (unsigned request = 0; request < slots + waiting; ++request) {
        acquire();
    }
    configuration::SiteConfiguration site = makeSite();
    site.classes = {{.id = support::ClassId("batch")}};
    pools_.configure(site);
    runReadyHandlers();
    const std::vector<std::shared_ptr<Permit>> running = std::move(permits_);
    permits_.clear();
    for (const std::shared_ptr<Permit> &permit : running) {
        permit->finish({.outcome = policy::AttemptOutcome::Completed});
    }
    runReadyHandlers();
    EXPECT_EQ(permits_.size() + rejections_, waiting);
}

/// Guards against a large configuration that takes the memory of the router and stops it for seconds, because each pool has all classes:
/// one for each route and tier of an organisation.
TEST_F(OwnedPoolTest, PoolsShareTheClassesOfTheConfiguration)
{
    const auto stepsWithPools = [this](unsigned pools) {
        configuration::SiteConfiguration site = makeSite();
        for (unsigned index = 0; index < 3'530; ++index) {
            site.classes.push_back({.id = support::ClassId("class-" + std::to_string(index))});
        }
        for (unsigned index = 1; index < pools; ++index) {
            site.pools.push_back({.id = support::PoolId("pool-" + std::to_string(index))});
        }
        const std::uint64_t before = support::stepCount();
        pools_.configure(site);
        pools_.configure(site);
        return support::stepCount() - before;
    };
    const std::uint64_t onePool = stepsWithPools(1);
    constexpr std::uint64_t maximumStepsOfAPool = 100;
    EXPECT_LE(stepsWithPools(51), onePool + 50 * maximumStepsOfAPool);
    acquire();
    EXPECT_EQ(permits_.size(), 1U);
}

} // namespace mulberrywall::permits
