#include "mulberrywall/Metering/UsageExchange.h"

#include "UsageCodec.h"

#include "mulberrywall/Membership/Authenticator.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/json/parse.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <mutex>
#include <thread>

namespace mulberrywall::metering
{

using std::chrono::milliseconds;

namespace
{

/// Two routers on loopback, of which the first is the only candidate.
class UsageExchangeTest : public testing::Test
{
protected:
    struct Router
    {
        std::shared_ptr<UsageCounter> counter;
        std::shared_ptr<SharedUsageLedger> ledger = std::make_shared<SharedUsageLedger>();
        std::shared_ptr<UsageExchange> exchange;
    };

    ~UsageExchangeTest() override
    {
        candidate_.exchange->stop();
        other_.exchange->stop();
        workers_.stop();
        workers_.join();
    }

    Router start(const std::string &name, const std::string &secret)
    {
        Router router {.counter = std::make_shared<UsageCounter>(UsageCounterOptions {
                           .instance = support::InstanceId(name), .dataCentre = support::DataCentreId("a"), .window = milliseconds(1'000)})};
        router.exchange = UsageExchange::create(workers_.context(),
            router.counter,
            router.ledger,
            {.listen = {boost::asio::ip::make_address("127.0.0.1"), 0}, .secret = secret, .interval = milliseconds(20)},
            {.candidates = [this] {
                return candidates();
            }});
        return router;
    }

    void startRouters(const std::string &otherSecret)
    {
        candidate_ = start("candidate", "secret");
        other_ = start("other", otherSecret);
        {
            const std::scoped_lock lock(mutex_);
            candidates_ = {{.instance = support::InstanceId("candidate"), .address = candidate_.exchange->localEndpoint()}};
        }
        candidate_.exchange->start();
        other_.exchange->start();
    }

    std::vector<UsagePeer> candidates()
    {
        const std::scoped_lock lock(mutex_);
        return candidates_;
    }

    /// Returns the requests of an organisation in all reports that the candidate would make.
    std::int64_t reported(const std::string &organisation) const
    {
        std::int64_t sum = 0;
        const TrueTime later = candidate_.counter->now(support::BootClock::now()) + std::chrono::hours(1);
        for (const UsageReport &report : candidate_.ledger->assemble({}, std::nullopt, later, {.window = milliseconds(1'000), .maxWindows = 100}).reports) {
            const auto parsed = boost::json::parse(report.body);
            const auto *count = parsed.at("counts").as_object().if_contains(organisation);
            sum += count == nullptr ? 0 : count->to_number<std::int64_t>();
        }
        return sum;
    }

    /// Polls for 10 s at most.
    static bool becomesTrue(const std::function<bool()> &condition)
    {
        for (const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10); std::chrono::steady_clock::now() < end;) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        return false;
    }

    support::WorkerPool workers_ {2};
    std::mutex mutex_;
    std::vector<UsagePeer> candidates_;
    Router candidate_;
    Router other_;
};

} // namespace

// Guards against counts and demand that do not reach the candidate, and acknowledgements that do not return.
TEST_F(UsageExchangeTest, CountsOfBothRoutersReachTheCandidate)
{
    startRouters("secret");
    candidate_.counter->recordStart(support::OrganisationId("a"));
    other_.counter->recordStart(support::OrganisationId("b"));
    other_.counter->recordAccepted(support::PoolId("m"), 300);
    EXPECT_TRUE(becomesTrue([this] { return reported("a") == 1 && reported("b") == 1; }));
    EXPECT_TRUE(becomesTrue([this] {
        const auto demand = candidate_.ledger->demand(support::BootClock::now());
        return std::any_of(demand.begin(), demand.end(), [](const RouterDemand &router) {
            return router.instance == support::InstanceId("other") && !router.pools.empty() && router.pools.front().promptTokensAccepted == 300;
        });
    }));
}

// Guards against counts of a process that does not have the secret, and a receiver that stops after a malformed datagram.
TEST_F(UsageExchangeTest, DropsInvalidDatagrams)
{
    startRouters("another secret");
    other_.counter->recordStart(support::OrganisationId("b"));
    const auto sendTo = [this](std::vector<std::uint8_t> datagram) {
        boost::asio::io_context context;
        boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        membership::appendTag(datagram, "secret");
        socket.send_to(boost::asio::buffer(datagram), candidate_.exchange->localEndpoint());
    };
    sendTo({1, 1, 200});
    UsageMessage valid = candidate_.counter->message(support::BootClock::now());
    valid.instance = support::InstanceId("third");
    valid.windows.back().total = 1;
    valid.windows.back().counts = {{support::OrganisationId("c"), 1}};
    sendTo(encode(valid, 1'200).front());
    EXPECT_TRUE(becomesTrue([this] { return reported("c") == 1; }));
    EXPECT_EQ(reported("b"), 0);
}

} // namespace mulberrywall::metering
