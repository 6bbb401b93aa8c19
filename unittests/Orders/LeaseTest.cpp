#include "mulberrywall/Orders/Lease.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace mulberrywall::orders
{

namespace
{

using std::chrono::milliseconds;

LeaseTime at(std::int64_t ms)
{
    return {.monotonic = std::chrono::steady_clock::time_point(milliseconds(ms)), .boot = support::BootClock::time_point(milliseconds(ms))};
}

/// Simulates a lease row, whose writes may be slow, lost or late, and processes that use it and pause at random. Uses a
/// simulated clock.
class Simulation
{
public:
    explicit Simulation(unsigned seed)
        : random_(seed)
    {
        for (int index = 0; index < 3; ++index) {
            LeaseState state;
            state.key = "orders/dc-a";
            state.self = "process-" + std::to_string(index);
            processes_.push_back({.state = state});
        }
    }

    void run(std::int64_t untilMs)
    {
        for (now_ = 0; now_ < untilMs; now_ += 10) {
            runEvents();
            for (Process &process : processes_) {
                if (now_ >= process.pausedUntil) {
                    runProcess(process);
                }
            }
        }
    }

    int orders = 0;
    std::uint64_t highestFencing = 0;
    int violations = 0;

private:
    struct Process
    {
        LeaseState state;
        bool isWaiting = false;
        std::int64_t pausedUntil = 0;
        std::int64_t lastOrder = -1;
        std::uint64_t lastOrderFencing = 0;
    };

    bool chance(int percent)
    {
        return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
    }
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }

    void schedule(std::int64_t time, std::function<void()> function)
    {
        events_.emplace_back(time, std::move(function));
    }

    void runEvents()
    {
        std::vector<std::pair<std::int64_t, std::function<void()>>> due;
        const auto later = std::stable_partition(events_.begin(), events_.end(), [this](const auto &event) { return event.first <= now_; });
        due.assign(std::make_move_iterator(events_.begin()), std::make_move_iterator(later));
        events_.erase(events_.begin(), later);
        for (const auto &[time, function] : due) {
            function();
        }
    }

    void runProcess(Process &process)
    {
        if (chance(1) && chance(10)) {
            process.pausedUntil = now_ + between(0, 20'000);
            return;
        }
        if (maySendOrder(process.state, options_, at(now_))) {
            sendOrder(process);
        }
        if (process.isWaiting) {
            return;
        }
        const LeaseStep step = nextStep(process.state, options_, at(now_));
        if (step.kind == LeaseStepKind::Wait) {
            return;
        }
        process.isWaiting = true;
        const std::int64_t sent = now_;
        const bool isLost = chance(10);
        // A lost response causes a timeout after 1 s. The write may be applied before or after the timeout, or not at all.
        const std::int64_t applied = sent + between(0, isLost ? 4'000 : 500);
        const std::int64_t answered = isLost ? sent + 1'000 : applied + between(0, 300);
        auto result = std::make_shared<backingservices::CommitResult>();
        auto read = std::make_shared<backingservices::ReadResult>();
        if (!isLost || chance(70)) {
            schedule(applied, [this, step, result, read] { execute(step, *result, *read); });
        }
        schedule(answered, [this, &process, step, result, read, isLost, sent] {
            answer(process, step, isLost ? backingservices::CommitResult() : *result, isLost ? backingservices::ReadResult() : *read, sent);
        });
    }

    void execute(const LeaseStep &step, backingservices::CommitResult &result, backingservices::ReadResult &read)
    {
        if (step.kind == LeaseStepKind::Read) {
            read = {.status = row_ ? backingservices::ReadStatus::Found : backingservices::ReadStatus::Absent, .row = row_.value_or(backingservices::Row())};
            return;
        }
        const bool isInsert = step.operation.kind == backingservices::WriteOperationKind::InsertIfAbsent;
        if (isInsert ? row_.has_value() : (!row_ || row_->version != step.operation.version)) {
            result = {.status = backingservices::CommitStatus::Conflict, .conflicts = {{.operation = 0, .current = row_}}};
            return;
        }
        row_ = backingservices::Row {.key = step.operation.key, .version = ++lastVersion_, .value = step.operation.value};
        result = {.status = backingservices::CommitStatus::Applied, .version = lastVersion_};
    }

    void answer(
        Process &process, const LeaseStep &step, const backingservices::CommitResult &result, const backingservices::ReadResult &read, std::int64_t sent)
    {
        if (now_ < process.pausedUntil) {
            schedule(process.pausedUntil, [this, &process, step, result, read, sent] { answer(process, step, result, read, sent); });
            return;
        }
        process.isWaiting = false;
        if (step.kind == LeaseStepKind::Read) {
            onRead(process.state, options_, read, at(now_));
        } else {
            onWrite(process.state, options_, step.row, result, at(sent), at(now_));
        }
    }

    void sendOrder(Process &process)
    {
        ++orders;
        const std::uint64_t fencing = process.state.fencing;
        violations += fencing < highestFencing ? 1 : 0;
        highestFencing = std::max(highestFencing, fencing);
        for (const Process &other : processes_) {
            const bool isOrderValid = other.lastOrder >= 0 && other.lastOrder + options_.orderTimeToLive.count() > now_;
            violations += &other != &process && isOrderValid ? 1 : 0;
        }
        process.lastOrder = now_;
        process.lastOrderFencing = fencing;
    }

    LeaseOptions options_;
    std::mt19937 random_;
    std::int64_t now_ = 0;
    std::vector<Process> processes_;
    std::vector<std::pair<std::int64_t, std::function<void()>>> events_;
    std::optional<backingservices::Row> row_;
    std::uint64_t lastVersion_ = 0;
};

// Guards against two holders whose orders are valid at the same time, and against a fencing number that decreases.
// Processes pause for longer than the lease, and writes are lost, late or without a response.
TEST(LeaseTest, OrdersOfTwoHoldersNeverOverlap)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        Simulation simulation(seed);
        simulation.run(600'000);
        EXPECT_EQ(simulation.violations, 0) << "seed " << seed;
        EXPECT_GT(simulation.orders, 1'000) << "seed " << seed;
        EXPECT_GT(simulation.highestFencing, 2U) << "seed " << seed;
    }
}

class LeaseHolderTest : public testing::Test
{
protected:
    LeaseHolderTest()
    {
        state_.key = "orders/dc-a";
        state_.self = "self";
        nextStep(state_, options_, at(0));
        onRead(state_, options_, {.status = backingservices::ReadStatus::Absent}, at(0));
        const LeaseStep step = nextStep(state_, options_, at(0));
        onWrite(state_, options_, step.row, {.status = backingservices::CommitStatus::Applied, .version = 1}, at(0), at(100));
    }

    LeaseOptions options_;
    LeaseState state_;
};

// Guards against orders before the previous holder's orders have expired, and within the margin before the lease expires.
TEST_F(LeaseHolderTest, SendsOrdersOnlyWhileTheLeaseIsSafe)
{
    EXPECT_FALSE(maySendOrder(state_, options_, at(2'099)));
    EXPECT_TRUE(maySendOrder(state_, options_, at(2'100)));
    EXPECT_TRUE(maySendOrder(state_, options_, at(8'000)));
    EXPECT_FALSE(maySendOrder(state_, options_, at(8'001)));
}

// Guards against a holder that extends its lease because of a renewal that was not applied.
TEST_F(LeaseHolderTest, UnappliedRenewalDoesNotExtendTheLease)
{
    const LeaseStep step = nextStep(state_, options_, at(3'000));
    ASSERT_EQ(step.kind, LeaseStepKind::Write);
    onWrite(state_, options_, step.row, {.status = backingservices::CommitStatus::Unknown}, at(3'000), at(4'000));
    ASSERT_EQ(nextStep(state_, options_, at(4'000)).kind, LeaseStepKind::Read);
    onRead(state_, options_, {.status = backingservices::ReadStatus::Found, .row = {"orders/dc-a", 1, encodeLease({"self", 1})}}, at(4'000));
    EXPECT_EQ(state_.validUntil, at(10'000));
    EXPECT_EQ(nextStep(state_, options_, at(4'000)).kind, LeaseStepKind::Write);
}

// Guards against a holder that continues to send orders, or stops forever, after an engine reported a higher fencing
// number.
TEST_F(LeaseHolderTest, HigherFencingIsConfirmedByAWrite)
{
    onHigherFencing(state_, 7, at(3'000));
    EXPECT_FALSE(maySendOrder(state_, options_, at(3'000)));
    const LeaseStep step = nextStep(state_, options_, at(3'000));
    EXPECT_EQ(step.row.fencing, 8U);
    onWrite(state_, options_, step.row, {.status = backingservices::CommitStatus::Applied, .version = 2}, at(3'000), at(3'100));
    EXPECT_TRUE(maySendOrder(state_, options_, at(3'100)));
}

} // namespace

} // namespace mulberrywall::orders
