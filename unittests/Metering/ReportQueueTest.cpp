#include "mulberrywall/Metering/ReportQueue.h"
#include "mulberrywall/Metering/ReportRows.h"

#include <gtest/gtest.h>

namespace mulberrywall::metering
{

using std::chrono::milliseconds;

namespace
{

constexpr TrueTime now = endOf(100, milliseconds(5'000)) + milliseconds(300);

UsageReport report(WindowNumber window)
{
    return {.window = window, .body = "body " + std::to_string(window)};
}

/// Returns a queue whose reports of the given windows are stored.
ReportQueue makeStored(std::initializer_list<WindowNumber> windows, const ReportQueueOptions &options = {})
{
    ReportQueue queue(options);
    StoredReports stored;
    for (const WindowNumber window : windows) {
        stored.reports.push_back(report(window));
    }
    queue.begin(stored);
    return queue;
}

} // namespace

TEST(AssembleReport, HasTheBytesOfThePlatform)
{
    EXPECT_EQ(assembleReport(353'445'120, {{"hule930", 412}, {"fida11", 412}}).body, R"({"window":353445120,"counts":{"fida11":412,"hule930":412}})");
}

// Guards against other rows of the table that are taken for reports.
TEST(ReportRows, ReadsOnlyItsOwnKeys)
{
    EXPECT_EQ(windowOfReportRow(reportRowKey(353'445'120)), 353'445'120U);
    for (const char *key : {"duty-lease", "usage-", "usage-1x", "usage--1", "usage-99999999999999999999"}) {
        EXPECT_FALSE(windowOfReportRow(key).has_value()) << key;
    }
}

// Guards against a report that the API accepts although the store does not have it.
TEST(ReportQueue, SendsOnlyWhatIsStored)
{
    ReportQueue queue;
    queue.begin({});
    queue.add(report(100));
    EXPECT_FALSE(queue.takeCall(now).has_value());
    ASSERT_TRUE(queue.takeBatch(now).has_value());
    EXPECT_FALSE(queue.takeBatch(now).has_value()) << "a batch is in progress";
    EXPECT_FALSE(queue.takeCall(now).has_value());
    queue.onStored(StoreOutcome::Stored, now);
    EXPECT_EQ(queue.takeCall(now)->report, report(100));
}

// Guards against other bytes after a write of which it is not known whether it was executed.
TEST(ReportQueue, RepeatsAnUnconfirmedBatchUnchanged)
{
    ReportQueue queue;
    queue.begin({});
    queue.add(report(100));
    const auto batch = queue.takeBatch(now);
    queue.add(report(101));
    queue.onStored(StoreOutcome::Unknown, now);
    EXPECT_FALSE(queue.takeBatch(now + milliseconds(100)).has_value()) << "the store is given time";
    const auto repeated = queue.takeBatch(now + milliseconds(250));
    ASSERT_TRUE(batch && repeated);
    EXPECT_EQ(repeated->put, batch->put);
    EXPECT_EQ(repeated->highestWindow, 100U);
}

// Guards against a window that a new holder decides a second time, also if its row was deleted.
TEST(ReportQueue, StartsAboveTheHighestStoredWindow)
{
    ReportQueue queue;
    queue.begin({.highestWindow = 105, .reports = {report(104)}});
    EXPECT_EQ(queue.highestDecided(), 105U);
    const auto call = queue.takeCall(now);
    EXPECT_EQ(call->report, report(104));
    EXPECT_TRUE(call->inherited);
}

// Guards against rows that are deleted before they are accepted, or never.
TEST(ReportQueue, DeletesAcceptedRowsWithALaterReport)
{
    ReportQueue queue = makeStored({100, 101});
    EXPECT_EQ(queue.takeCall(now)->report.window, 100U);
    EXPECT_TRUE(queue.onSent(SendOutcome::Accepted, now).has_value());
    queue.add(report(102));
    EXPECT_EQ(queue.takeBatch(now)->remove, std::vector<WindowNumber> {100});
    queue.onStored(StoreOutcome::Stored, now);
    EXPECT_EQ(queue.unacceptedReports(), 2U);
}

// Guards against calls that follow each other without a pause while the API is silent or refuses them.
TEST(ReportQueue, BacksOffUpToAMaximum)
{
    for (const SendOutcome outcome : {SendOutcome::Unknown, SendOutcome::Rejected}) {
        ReportQueue queue = makeStored({100});
        unsigned calls = 0;
        for (milliseconds after {0}; after < milliseconds(10'000); after += milliseconds(50)) {
            if (const auto call = queue.takeCall(now + after)) {
                EXPECT_EQ(call->report, report(100));
                EXPECT_FALSE(queue.onSent(outcome, now + after).has_value());
                ++calls;
            }
        }
        // At 0, 0.25, 0.75, 1.75, 3.75, 5.75, 7.75 and 9.75 s.
        EXPECT_EQ(calls, 8U);
    }
}

// Guards against reports that become late behind others that are late already, or that the API always rejects.
TEST(ReportQueue, SendsReportsInTimeFirst)
{
    ReportQueue queue = makeStored({90, 91, 99, 100});
    EXPECT_EQ(queue.takeCall(now)->report.window, 99U);
    queue.onSent(SendOutcome::Rejected, now);
    const TrueTime later = now + milliseconds(250);
    EXPECT_EQ(queue.takeCall(later)->report.window, 100U);
    EXPECT_FALSE(queue.onSent(SendOutcome::Accepted, later)->late);
    EXPECT_EQ(queue.takeCall(later)->report.window, 99U);
    queue.onSent(SendOutcome::Accepted, later);
    EXPECT_EQ(queue.takeCall(later)->report.window, 91U);
    EXPECT_TRUE(queue.onSent(SendOutcome::Accepted, later)->late);
}

// Guards against reports that accumulate without a bound while the API is down.
TEST(ReportQueue, GivesUpTheOldestReports)
{
    ReportQueue queue = makeStored({97, 98, 99, 100}, {.maxReports = 2});
    EXPECT_EQ(queue.dropExcess(), (std::vector<WindowNumber> {97, 98}));
    EXPECT_TRUE(queue.dropExcess().empty());
    queue.add(report(101));
    EXPECT_EQ(queue.takeBatch(now)->remove, (std::vector<WindowNumber> {97, 98}));
}

// Guards against results of an earlier tenure that are taken for those of this one.
TEST(ReportQueue, EndDropsEverything)
{
    ReportQueue queue = makeStored({100});
    EXPECT_TRUE(queue.takeCall(now).has_value());
    queue.end();
    EXPECT_FALSE(queue.onSent(SendOutcome::Accepted, now).has_value());
    EXPECT_FALSE(queue.takeCall(now).has_value());
    EXPECT_FALSE(queue.highestDecided().has_value());
}

} // namespace mulberrywall::metering
