#include "mulberrywall/Router/LoadPeerGroup.h"

#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <mutex>
#include <thread>

namespace mulberrywall::router
{

using boost::asio::ip::udp;
using std::chrono::milliseconds;

/// Starts peer groups on a simulated store.
class LoadPeerGroupTest : public testing::Test
{
protected:
    static constexpr std::chrono::seconds patience {5};

    ~LoadPeerGroupTest() override
    {
        for (const auto &group : groups_) {
            group->stop();
        }
        workers_.stop();
        workers_.join();
    }

    SecretStore secretStore()
    {
        return {.read =
                    [this](const StoredSecretHandler &handler) {
                        const std::scoped_lock lock(mutex_);
                        ++reads_;
                        handler({.responded = true, .value = secret_});
                    },
            .insertIfAbsent =
                [this](const std::string &candidate, const StoredSecretHandler &handler) {
                    const std::scoped_lock lock(mutex_);
                    ++insertions_;
                    secret_ = secret_.value_or(candidate);
                    handler({.responded = true, .value = secret_});
                }};
    }

    /// Starts a router with the only seed seedAddress().
    void startRouter(const udp::endpoint &listen)
    {
        const std::string name = "router-" + std::to_string(groups_.size());
        auto group = std::make_shared<LoadPeerGroup>(workers_.context(),
            pools_,
            LoadPeerGroupOptions {.instance = support::InstanceId(name),
                .membershipListen = listen,
                .loadListen = {boost::asio::ip::address_v4::loopback(), 0},
                .seeds = {seedAddress()},
                .absentSecretInterval = milliseconds(2),
                .maximumAbsentSecrets = 10},
            secretStore(),
            LoadPeerGroupHandlers {.storeFreshness = [] { return permits::StoreFreshness(); },
                .changesAfter = [](const permits::StoreFreshness &, milliseconds) { return permits::StoreChanges(); },
                .recordPeerReport = [](const permits::StoreReport &, support::BootClock::time_point) {},
                .setWatchMode = [](WatchMode) {},
                .peakRouterCountChanged =
                    [this](std::size_t) {
                        const std::scoped_lock lock(mutex_);
                        ++joined_;
                    }});
        groups_.push_back(group);
        group->start();
    }

    [[nodiscard]] bool awaitJoined()
    {
        const auto deadline = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < deadline) {
            {
                const std::scoped_lock lock(mutex_);
                if (joined_ >= groups_.size()) {
                    return true;
                }
            }
            std::this_thread::yield();
        }
        return false;
    }

    /// An address of its own with a port that the system gives to no other socket.
    static udp::endpoint seedAddress()
    {
        return {boost::asio::ip::make_address("127.0.77.1"), 7'946};
    }

    static udp::endpoint anyPort()
    {
        return {boost::asio::ip::address_v4::loopback(), 0};
    }

    support::WorkerPool workers_ {1};
    permits::PoolTable pools_ {workers_.context(), policy::standardPolicy()};
    std::vector<std::shared_ptr<LoadPeerGroup>> groups_;
    std::mutex mutex_;
    std::optional<std::string> secret_;
    unsigned reads_ = 0;
    unsigned insertions_ = 0;
    std::size_t joined_ = 0;
};

/// Guards against routers that accept datagrams of anyone, because the row of their secret was emptied while they were down.
TEST_F(LoadPeerGroupTest, DoesNotJoinWithAnEmptySecret)
{
    constexpr unsigned rereads = 5;
    secret_ = "";
    startRouter(anyPort());
    const auto deadline = std::chrono::steady_clock::now() + patience;
    const auto isOver = [this] {
        const std::scoped_lock lock(mutex_);
        return reads_ >= rereads || joined_ > 0;
    };
    while (!isOver() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::yield();
    }
    {
        const std::scoped_lock lock(mutex_);
        EXPECT_GE(reads_, rereads);
        EXPECT_EQ(joined_, 0U);
        secret_ = "restored";
    }
    EXPECT_TRUE(awaitJoined());
}

/// Guards against hundreds of routers that start at the same time and exceed the number of writes that the store executes on one
/// row, so that many of them join their peers seconds later.
TEST_F(LoadPeerGroupTest, OnlySeedsInsertTheSecretAtTheStart)
{
    constexpr unsigned routers = 20;
    for (unsigned index = 1; index < routers; ++index) {
        startRouter(anyPort());
    }
    startRouter(seedAddress());
    EXPECT_TRUE(awaitJoined());
    const std::scoped_lock lock(mutex_);
    EXPECT_EQ(insertions_, 1U);
    EXPECT_GE(reads_, routers - 1);
}

/// Guards against routers that never join because the instances of all seeds are lost.
TEST_F(LoadPeerGroupTest, InsertsTheSecretItselfWithoutSeeds)
{
    startRouter(anyPort());
    EXPECT_TRUE(awaitJoined());
    const std::scoped_lock lock(mutex_);
    EXPECT_EQ(insertions_, 1U);
}

} // namespace mulberrywall::router
