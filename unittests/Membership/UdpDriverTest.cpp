#include "mulberrywall/Membership/UdpDriver.h"

#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

namespace mulberrywall::membership
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

class UdpDriverTest : public testing::Test
{
protected:
    std::shared_ptr<UdpDriver> start(const std::string &instance, std::vector<SocketAddress> seeds, const std::string &secret = "secret")
    {
        UdpDriverOptions options {.listen = {asio::ip::address_v4::loopback(), 0}, .secret = secret};
        options.protocol.self.instance = support::InstanceId(instance);
        options.protocol.self.incarnation = incarnationFromClock();
        options.protocol.seeds = std::move(seeds);
        options.protocol.differingExchangeInterval = std::chrono::milliseconds(50);
        auto driver = UdpDriver::create(pool_.context(), options);
        subscriptions_.push_back(driver->subscribe([this](const GossipItem &) {
            const std::scoped_lock lock(mutex_);
            changed_.notify_all();
        }));
        driver->start();
        drivers_.push_back(driver);
        return driver;
    }

    /// Waits until the condition holds, for at most 20 s. Evaluates it after each change and every 20 ms.
    bool eventually(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        std::unique_lock lock(mutex_);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                return false;
            }
            changed_.wait_for(lock, std::chrono::milliseconds(20));
        }
        return true;
    }

    void TearDown() override
    {
        for (const auto &driver : drivers_) {
            driver->stop();
        }
        pool_.stop();
        pool_.join();
    }

    support::WorkerPool pool_ {2};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::shared_ptr<void>> subscriptions_;
    std::vector<std::shared_ptr<UdpDriver>> drivers_;
};

} // namespace

// Guards against members that do not discover each other over real sockets, and against a leave that is not announced.
TEST_F(UdpDriverTest, JoinsGossipsAndLeaves)
{
    const auto first = start("a", {});
    const SocketAddress seed = toAddress(first->localEndpoint());
    const auto second = start("b", {seed});
    const auto third = start("c", {seed});
    EXPECT_TRUE(eventually([&] { return first->liveMembers().size() == 3 && second->liveMembers().size() == 3 && third->liveMembers().size() == 3; }));
    third->announce(ConfigurationRevision {5});
    EXPECT_TRUE(eventually([&] { return first->configurationRevision() == 5 && second->configurationRevision() == 5; }));
    second->leave([] {});
    EXPECT_TRUE(eventually([&] { return first->liveMembers().size() == 2 && third->liveMembers().size() == 2; }));
}

// Guards against a router with another secret that joins, and against an invalid datagram that stops the receiver.
TEST_F(UdpDriverTest, DropsUnauthenticatedDatagrams)
{
    const auto first = start("a", {});
    const SocketAddress seed = toAddress(first->localEndpoint());
    start("intruder", {seed}, "other secret");
    udp::socket socket(pool_.context(), udp::v4());
    socket.send_to(asio::buffer(std::string(1'500, 'x')), first->localEndpoint());
    EXPECT_TRUE(eventually([&] { return first->counters().unauthenticated >= 2; }));
    const auto second = start("b", {seed});
    EXPECT_TRUE(eventually([&] { return first->liveMembers().size() == 2 && second->liveMembers().size() == 2; }));
    EXPECT_EQ(first->liveMembers().back().instance.value(), "b");
}

} // namespace mulberrywall::membership
