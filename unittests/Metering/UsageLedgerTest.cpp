#include "mulberrywall/Metering/UsageLedger.h"

#include <gtest/gtest.h>

namespace mulberrywall::metering
{

namespace
{

const support::InstanceId instance("router-1");
constexpr BootTime boot {std::chrono::hours(1)};

UsageMessage message(std::uint64_t incarnation, WindowCounts window)
{
    return {.instance = instance, .incarnation = incarnation, .firstWindow = window.window, .windows = {std::move(window)}};
}

WindowCounts counted(WindowNumber window, std::uint32_t requests, bool closed = false)
{
    return {.window = window, .closed = closed, .total = requests, .counts = {{support::OrganisationId("a"), requests}}};
}

std::uint64_t countOf(const UsageLedger &ledger, WindowNumber window)
{
    const auto counts = ledger.counts(window);
    return counts.contains("a") ? counts.at("a") : 0;
}

class UsageLedgerTest : public testing::Test
{
protected:
    UsageLedgerTest()
    {
        ledger_.advance(20);
    }

    UsageLedger ledger_;
};

} // namespace

// Guards against counts that decrease or double by datagrams that arrive late or twice.
TEST_F(UsageLedgerTest, RepeatedAndReorderedMessagesDoNotChangeCounts)
{
    ledger_.record(message(1, counted(20, 5)), boot);
    ledger_.record(message(1, counted(20, 3)), boot);
    ledger_.record(message(1, counted(20, 5)), boot);
    EXPECT_EQ(countOf(ledger_, 20), 5U);
}

// Guards against counts of a killed process that are lost when its successor has the same name.
TEST_F(UsageLedgerTest, IncarnationsAddUp)
{
    ledger_.record(message(1, counted(20, 5)), boot);
    ledger_.record(message(2, counted(20, 2)), boot);
    EXPECT_EQ(countOf(ledger_, 20), 7U);
}

// Guards against a window that counts as complete while a part of its counts is missing.
TEST_F(UsageLedgerTest, ClosedOnlyWithAllCounts)
{
    const std::vector routers {instance};
    EXPECT_EQ(ledger_.routersNotClosed(20, routers), routers) << "nothing was heard of the router";
    ledger_.record(message(1, {.window = 20, .closed = true, .total = 8, .counts = {{support::OrganisationId("a"), 5}}}), boot);
    EXPECT_EQ(ledger_.routersNotClosed(20, routers), routers);
    ledger_.record(message(1, {.window = 20, .closed = true, .total = 8, .counts = {{support::OrganisationId("b"), 3}}}), boot);
    EXPECT_TRUE(ledger_.routersNotClosed(20, routers).empty());
    EXPECT_TRUE(ledger_.routersNotClosed(19, routers).empty()) << "the process started after the window";
    ledger_.record(message(2, counted(20, 1)), boot);
    EXPECT_EQ(ledger_.routersNotClosed(20, routers), routers) << "a new process of the router still counts";
}

// Guards against a report without the counts of a router that was cut off for a moment, which the membership has removed.
TEST_F(UsageLedgerTest, RoutersThatCountedInTheWindowAreMissing)
{
    ledger_.record(message(1, counted(20, 5)), boot);
    EXPECT_EQ(ledger_.routersNotClosed(20, {}), std::vector {instance});
    EXPECT_TRUE(ledger_.routersNotClosed(21, {}).empty());
    ledger_.record(message(1, counted(20, 6, true)), boot);
    EXPECT_TRUE(ledger_.routersNotClosed(20, {}).empty());
}

// Guards against memory that grows with time or with what other routers send.
TEST_F(UsageLedgerTest, DropsWindowsOutsideItsRange)
{
    ledger_.record(message(1, counted(8, 5)), boot);
    ledger_.record(message(1, counted(23, 5)), boot);
    EXPECT_FALSE(ledger_.firstCovered().has_value());
    ledger_.record(message(1, counted(9, 5)), boot);
    EXPECT_EQ(ledger_.firstCovered(), 9U);
    ledger_.advance(21);
    EXPECT_FALSE(ledger_.firstCovered().has_value());
    EXPECT_TRUE(ledger_.progress(instance, 1).empty());
}

TEST_F(UsageLedgerTest, BoundsProcessesAndCounts)
{
    UsageLedger ledger({.maxProcesses = 1, .maxCounts = 1});
    ledger.advance(20);
    ledger.record(message(1, counted(20, 5)), boot);
    ledger.record(message(2, counted(20, 5)), boot);
    ledger.record(message(1, {.window = 20, .total = 1, .counts = {{support::OrganisationId("b"), 1}}}), boot);
    EXPECT_EQ(ledger.counts(20), (std::map<std::string, std::uint64_t> {{"a", 5}}));
}

// Guards against organisations that are ignored because of the names of earlier ones, and counts that move between organisations.
TEST_F(UsageLedgerTest, ForgetsOrganisationsWithoutCounts)
{
    UsageLedger ledger({.maxWindows = 2, .maxOrganisations = 3});
    for (WindowNumber window = 20; window < 40; ++window) {
        ledger.advance(window);
        const support::OrganisationId organisation("organisation-" + std::to_string(window));
        const support::OrganisationId last("z");
        ledger.record(message(1, {.window = window, .total = 3, .counts = {{organisation, 1}, {last, 2}}}), boot);
        EXPECT_EQ(ledger.counts(window), (std::map<std::string, std::uint64_t> {{organisation.value(), 1}, {"z", 2}}));
    }
}

// Guards against demand that goes back to an earlier datagram or stays after its router has gone.
TEST_F(UsageLedgerTest, DemandIsTheLatestOfEachRouter)
{
    UsageMessage later = message(1, counted(20, 1));
    later.sequence = 2;
    later.demand = {{.pool = support::PoolId("p"), .outputTokens = 20, .waiting = 1}};
    UsageMessage earlier = later;
    earlier.sequence = 1;
    earlier.demand.front() = {.pool = support::PoolId("p"), .outputTokens = 10, .waiting = 9};
    ledger_.record(later, boot);
    ledger_.record(earlier, boot);
    const auto demand = ledger_.demand(boot);
    ASSERT_EQ(demand.size(), 1U);
    EXPECT_EQ(demand.front().pools, later.demand);
    EXPECT_TRUE(ledger_.demand(boot + std::chrono::seconds(15)).empty());
}

} // namespace mulberrywall::metering
