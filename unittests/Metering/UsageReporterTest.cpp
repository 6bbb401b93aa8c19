#include "mulberrywall/Metering/UsageReporter.h"

#include <gtest/gtest.h>

#include <functional>

namespace mulberrywall::metering
{

using std::chrono::milliseconds;

namespace
{

/// A reporter with a store and an API whose results the test determines.
class UsageReporterTest : public testing::Test
{
protected:
    static constexpr milliseconds window {50};

    UsageReporterTest()
    {
        UsageReporterOptions options {.interval = milliseconds(5), .loadRetryInterval = milliseconds(5)};
        options.queue.schedule.window = window;
        options.queue.initialBackoff = milliseconds(5);
        UsageReporterDependencies dependencies {.counter = counter_,
            .ledger = ledger_,
            .liveRouters = [] { return std::vector<support::InstanceId> {support::InstanceId("router")}; },
            .store = {.store =
                          [this](const StoreBatch &batch, const std::function<void(StoreOutcome)> &handler) {
                              stored_.insert(stored_.end(), batch.put.begin(), batch.put.end());
                              handler(storeOutcome_);
                          },
                .load =
                    [this](const std::function<void(std::optional<StoredReports>)> &handler) {
                        handler(++loads_ > failingLoads_ ? std::optional(inStore_) : std::nullopt);
                    }},
            .send =
                [this](const UsageReport &report, const std::function<void(SendOutcome)> &handler) {
                    sent_.push_back(report);
                    handler(sendOutcome_);
                },
            .metrics = &metrics_};
        reporter_ = std::make_shared<UsageReporter>(context_, std::move(dependencies), options);
    }

    /// Runs the reporter, with the counts of this router, until the condition holds, for 10 s at most.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            const auto now = support::BootClock::now();
            counter_->closeWindows(now);
            ledger_->record(counter_->message(now), counter_->openWindow(now), now);
            context_.run_one_for(milliseconds(20));
        }
        return condition();
    }

    boost::asio::io_context context_;
    std::shared_ptr<UsageCounter> counter_ = std::make_shared<UsageCounter>(UsageCounterOptions {
        .instance = support::InstanceId("router"), .window = window, .closeDelay = milliseconds(0), .clock = {.startLimit = milliseconds(0)}});
    std::shared_ptr<SharedUsageLedger> ledger_ = std::make_shared<SharedUsageLedger>();
    support::MetricsRegistry metrics_;
    StoredReports inStore_;
    unsigned loads_ = 0;
    unsigned failingLoads_ = 0;
    StoreOutcome storeOutcome_ = StoreOutcome::Stored;
    SendOutcome sendOutcome_ = SendOutcome::Accepted;
    std::vector<UsageReport> stored_;
    std::vector<UsageReport> sent_;
    std::shared_ptr<UsageReporter> reporter_;
};

} // namespace

// Guards against reports of a router that does not hold the lease, and against bytes that differ from the stored ones.
TEST_F(UsageReporterTest, ReportsWindowsOnlyWhileItHoldsTheLease)
{
    counter_->recordStart(support::OrganisationId("a"));
    reporter_->becomeHolder();
    EXPECT_TRUE(runUntil([this] { return sent_.size() >= 2; }));
    EXPECT_TRUE(std::equal(sent_.begin(), sent_.end(), stored_.begin()));
    EXPECT_GE(metrics_.counter("mulberrywall_usage_windows_total", {{"result", "reported"}}), 1U);
    reporter_->loseLease();
    context_.restart();
    context_.poll();
    const std::size_t before = sent_.size();
    const WindowNumber reached = counter_->openWindow(support::BootClock::now()) + 2;
    EXPECT_TRUE(runUntil([&] { return counter_->openWindow(support::BootClock::now()) > reached; }));
    EXPECT_EQ(sent_.size(), before);
}

// Guards against a holder that assembles windows although it could not read what is stored, and against changed bytes of a stored report.
TEST_F(UsageReporterTest, SendsStoredReportsAfterTheStoreHasAnswered)
{
    failingLoads_ = 2;
    const WindowNumber open = counter_->openWindow(support::BootClock::now());
    inStore_ = {.highestWindow = open + 1'000'000, .reports = {{.window = open - 1, .body = "stored"}}};
    reporter_->becomeHolder();
    EXPECT_TRUE(runUntil([this] { return !sent_.empty(); }));
    EXPECT_EQ(loads_, 3U);
    EXPECT_EQ(sent_.front().body, "stored");
    EXPECT_TRUE(stored_.empty());
}

// Guards against a report that is sent although the store has not confirmed it, and against other bytes at the repetition.
TEST_F(UsageReporterTest, RepeatsAnUnconfirmedWrite)
{
    storeOutcome_ = StoreOutcome::Unknown;
    reporter_->becomeHolder();
    EXPECT_TRUE(runUntil([this] { return stored_.size() >= 3; }));
    EXPECT_TRUE(sent_.empty());
    EXPECT_EQ(stored_[0], stored_[1]);
    storeOutcome_ = StoreOutcome::Stored;
    EXPECT_TRUE(runUntil([this] { return !sent_.empty(); }));
    EXPECT_EQ(sent_.front(), stored_.front());
}

} // namespace mulberrywall::metering
