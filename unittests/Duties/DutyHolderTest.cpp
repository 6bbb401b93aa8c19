#include "mulberrywall/Duties/DutyHolder.h"
#include "mulberrywall/Duties/Succession.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace mulberrywall::duties
{

namespace
{

membership::Member member(const std::string &name, std::uint16_t processorPercent, membership::MemberState state = membership::MemberState::Alive)
{
    return {.instance = support::InstanceId(name), .state = state, .processorPercent = processorPercent};
}

// Guards against routers that choose different candidates from the same members.
TEST(Succession, TakesTheThreeWithTheMostProcessor)
{
    const std::vector<membership::Member> members {member("e", 9),
        member("d", 25),
        member("b", 25),
        member("a", 50, membership::MemberState::Dead),
        member("c", 25),
        member("f", 30, membership::MemberState::Suspect)};
    std::string names;
    for (const membership::Member &candidate : dutyCandidates(members)) {
        names += candidate.instance.value();
    }
    EXPECT_EQ(names, "fbc");
}

/// A store in memory that loses responses on request.
class MemoryStore
{
public:
    struct Write
    {
        LeaseRow lease;
        std::vector<DutyRow> rows;
    };

    explicit MemoryStore(boost::asio::io_context &context)
        : context_(context)
    {
    }

    DutyStore access()
    {
        return {.read =
                    [this](std::function<void(LeaseReadResult)> handler) {
                        const std::scoped_lock lock(mutex_);
                        ++reads_;
                        const LeaseReadResult result {
                            .status = lease_ ? LeaseReadStatus::Found : LeaseReadStatus::Absent, .stored = lease_.value_or(StoredLease())};
                        boost::asio::post(context_, [handler = std::move(handler), result] { handler(result); });
                    },
            .write =
                [this](std::string lease, std::uint64_t expectedVersion, std::vector<DutyRow> rows, std::function<void(LeaseWriteResult)> handler) {
                    const LeaseWriteResult result = apply(std::move(lease), expectedVersion, std::move(rows));
                    boost::asio::post(context_, [handler = std::move(handler), result] { handler(result); });
                }};
    }

    /// The next writes are applied, or not, without a response.
    void loseResponses(std::size_t applied, std::size_t notApplied)
    {
        const std::scoped_lock lock(mutex_);
        lostApplied_ = applied;
        lostNotApplied_ = notApplied;
    }

    /// Writes the row as another process.
    void replaceLease(const LeaseRow &row)
    {
        const std::scoped_lock lock(mutex_);
        lease_ = StoredLease {.version = ++version_, .text = encodeLease(row)};
    }

    std::vector<Write> writes()
    {
        const std::scoped_lock lock(mutex_);
        return writes_;
    }

    std::size_t reads()
    {
        const std::scoped_lock lock(mutex_);
        return reads_;
    }

private:
    LeaseWriteResult apply(std::string lease, std::uint64_t expectedVersion, std::vector<DutyRow> rows)
    {
        const std::scoped_lock lock(mutex_);
        writes_.push_back({.lease = *parseLease(lease), .rows = std::move(rows)});
        if (lostNotApplied_ > 0) {
            --lostNotApplied_;
            return {};
        }
        if (expectedVersion != (lease_ ? lease_->version : 0)) {
            return {.status = LeaseWriteStatus::Conflict, .current = lease_};
        }
        lease_ = StoredLease {.version = ++version_, .text = std::move(lease)};
        if (lostApplied_ > 0) {
            --lostApplied_;
            return {};
        }
        return {.status = LeaseWriteStatus::Applied, .version = version_};
    }

    boost::asio::io_context &context_;
    std::mutex mutex_;
    std::optional<StoredLease> lease_;
    std::uint64_t version_ = 0;
    std::vector<Write> writes_;
    std::size_t reads_ = 0;
    std::size_t lostApplied_ = 0;
    std::size_t lostNotApplied_ = 0;
};

class DutyHolderTest : public testing::Test
{
protected:
    DutyHolderTest()
        : store_(workers_.context())
    {
        LeaseOptions lease = makeLeaseOptions(std::chrono::seconds(30));
        lease.quietTime = std::chrono::milliseconds(0);
        lease.retryInterval = std::chrono::milliseconds(10);
        holder_ = std::make_shared<DutyHolder>(workers_.context(),
            DutyHolderOptions {.instance = support::InstanceId("b"),
                .lease = lease,
                .startDelay = std::chrono::milliseconds(0),
                .reachability = {.unansweredLimit = std::chrono::milliseconds(0)}},
            store_.access(),
            DutyHolderHandlers {.becameHolder = [this](std::uint64_t fence) { acquired_.set_value(fence); },
                .lostLease =
                    [this] {
                        lost_.set_value();
                    }},
            metrics_);
    }

    ~DutyHolderTest() override
    {
        holder_->stop();
        workers_.stop();
        workers_.join();
    }

    void acquire()
    {
        holder_->setMembers({member("a", 50), member("b", 25)});
        holder_->start();
        EXPECT_EQ(acquired_.get_future().get(), 1U);
    }

    DutyWriteOutcome store(DutyWrite write)
    {
        std::promise<DutyWriteOutcome> outcome;
        holder_->storeUnderLease(std::move(write), [&outcome](DutyWriteOutcome result) { outcome.set_value(result); });
        return outcome.get_future().get();
    }

    support::WorkerPool workers_ {2};
    support::MetricsRegistry metrics_;
    MemoryStore store_;
    std::promise<std::uint64_t> acquired_;
    std::promise<void> lost_;
    std::shared_ptr<DutyHolder> holder_;
};

// Guards against a report that is stored twice with different contents because a response was lost.
TEST_F(DutyHolderTest, RepeatsTheSameWriteUntilItIsConfirmed)
{
    acquire();
    store_.loseResponses(1, 2);
    EXPECT_EQ(store({.rows = {{.key = "usage-7", .value = "body"}}, .values = {{"usageWindow", 7}}}), DutyWriteOutcome::Stored);
    EXPECT_EQ(holder_->values().at("usageWindow"), 7U);
    EXPECT_TRUE(holder_->mayAct().has_value());
    const auto writes = store_.writes();
    ASSERT_EQ(writes.size(), 4U);
    for (std::size_t index = 2; index < writes.size(); ++index) {
        EXPECT_EQ(writes[index].lease, writes[1].lease);
        ASSERT_EQ(writes[index].rows.size(), 1U);
        EXPECT_EQ(writes[index].rows[0].value, "body");
    }
}

// Guards against a holder that takes rows for stored, or goes on acting, although another one has the lease.
TEST_F(DutyHolderTest, ReportsTheLossOfTheLease)
{
    acquire();
    store_.replaceLease({.holder = "a/1", .fencing = 9});
    EXPECT_EQ(store({.rows = {{.key = "usage-7", .value = "body"}}}), DutyWriteOutcome::LeaseLost);
    lost_.get_future().wait();
    EXPECT_FALSE(holder_->mayAct().has_value());
    EXPECT_EQ(store({}), DutyWriteOutcome::LeaseLost);
    EXPECT_EQ(metrics_.counter("mulberrywall_duty_leases_ended_total", {{"reason", "lost"}}), 1U);
}

// Guards against a stop after which the others wait for the end of the lease.
TEST_F(DutyHolderTest, ReleasesTheLease)
{
    acquire();
    store_.loseResponses(0, 1);
    std::promise<void> released;
    holder_->release([&released] { released.set_value(); });
    lost_.get_future().wait();
    EXPECT_FALSE(holder_->mayAct().has_value());
    released.get_future().wait();
    const auto writes = store_.writes();
    ASSERT_EQ(writes.size(), 3U);
    EXPECT_EQ(writes.back().lease.holder, "");
    EXPECT_EQ(writes.back().lease.fencing, 1U);
}

// Guards against duties that nobody performs while the holder reaches the store but not the control API, and against routers that hand over
// in turn, without an end to it, while the API is down.
TEST_F(DutyHolderTest, HandsOverWithoutResponses)
{
    const TimePoint start {};
    Reachability reachability;
    recordCall(reachability, CallOutcome::Unanswered, start);
    const ReachabilityOptions options;
    EXPECT_FALSE(shouldHandOver(reachability, options, 0, start + std::chrono::seconds(4))) << "a single call";
    recordCall(reachability, CallOutcome::Unanswered, start + std::chrono::seconds(3));
    EXPECT_TRUE(shouldHandOver(reachability, options, 0, start + std::chrono::seconds(3)));
    EXPECT_FALSE(shouldHandOver(reachability, options, 2, start + std::chrono::seconds(11)));
    EXPECT_TRUE(shouldHandOver(reachability, options, 2, start + std::chrono::seconds(12)));
    recordCall(reachability, CallOutcome::Answered, start + std::chrono::seconds(12));
    EXPECT_FALSE(shouldHandOver(reachability, options, 0, start + std::chrono::seconds(60)));

    acquire();
    holder_->recordCall(CallOutcome::Unanswered);
    holder_->recordCall(CallOutcome::Unanswered);
    lost_.get_future().wait();
    EXPECT_FALSE(holder_->mayAct().has_value());
    while (store_.writes().size() < 2) {
        std::this_thread::yield();
    }
    EXPECT_EQ(store_.writes()[1].lease.holder, "");
    EXPECT_EQ(store_.writes()[1].lease.values.at("handOvers"), 1U);
}

// Guards against calls to the store by routers that come later in the succession.
TEST_F(DutyHolderTest, OnlyCandidatesReadTheRow)
{
    holder_->setMembers({member("a", 50), member("b", 10), member("c", 25), member("d", 25)});
    holder_->start();
    std::promise<void> released;
    holder_->release([&released] { released.set_value(); });
    released.get_future().wait();
    EXPECT_EQ(store_.reads(), 0U);
}

} // namespace

} // namespace mulberrywall::duties
