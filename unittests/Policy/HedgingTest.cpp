#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class HedgingTest : public PolicyFixture
{
protected:
    void startPool(unsigned slots)
    {
        ClassSpec lookup = tierClass(0);
        lookup.hedgeBudgetPercent = 10;
        start({.classes = {lookup, tierClass(1)}}, {endpointSpec("a", slots), endpointSpec("b", slots)});
    }

    Decisions hedge(PermitId permit, const Grant &first, std::chrono::milliseconds time, const std::string &requestClass = "tier0")
    {
        Submission submission = submissionOf(permit, requestClass);
        submission.purpose = AttemptPurpose::Hedge;
        submission.excludedEndpoints = {first.endpoint};
        return submit(submission, time);
    }
};

// Guards against hedged attempts beyond the budget and against a budget that is never granted.
TEST_F(HedgingTest, StaysWithinTheBudget)
{
    startPool(8);
    unsigned granted = 0;
    for (PermitId permit = 1; permit <= 100; ++permit) {
        const std::chrono::milliseconds time = permit * 10ms;
        const Grant first = submit(submissionOf(permit, "tier0"), time).grants.at(0);
        const Decisions second = hedge(1'000 + permit, first, time);
        if (!second.grants.empty()) {
            ++granted;
            EXPECT_NE(second.grants[0].endpoint, first.endpoint);
            complete(1'000 + permit, time, {.outcome = AttemptOutcome::Cancelled, .outputTokens = 5});
        } else {
            EXPECT_EQ(second.rejections.at(0).reason, RejectionReason::HedgeDenied);
        }
        complete(permit, time + 5ms, {.outputTokens = 10});
    }
    EXPECT_GE(granted, 10U);
    EXPECT_LE(granted, 11U);
    const PoolStatistics statistics = functions.statistics(pool.get());
    EXPECT_EQ(statistics.hedgesGranted, granted);
    EXPECT_EQ(statistics.hedgesDenied, 100U - granted);
    EXPECT_EQ(statistics.wastedTokens, 5U * granted);
}

// Guards against hedged attempts that take capacity from waiting requests, or that belong to classes without a budget.
TEST_F(HedgingTest, NeedsSpareCapacityAndABudget)
{
    startPool(1);
    const Grant first = submit(submissionOf(1, "tier0"), 0ms).grants.at(0);
    EXPECT_TRUE(hedge(2, first, 1ms, "tier1").grants.empty()) << "no budget";
    submit(submissionOf(3, "tier0"), 2ms);
    EXPECT_TRUE(hedge(4, first, 3ms).grants.empty()) << "no free slot";
    EXPECT_EQ(functions.summarize(pool.get()).waiting, 0U) << "a hedged attempt never waits";
}

// Guards against hedged attempts that occupy the last free slots, which the next burst needs.
TEST_F(HedgingTest, LeavesSomeSlotsFree)
{
    startPool(10);
    const Grant first = submit(submissionOf(1, "tier0"), 0ms).grants.at(0);
    for (PermitId permit = 2; permit <= 18; ++permit) {
        submit(submissionOf(permit, "tier0"), 1ms);
    }
    EXPECT_TRUE(hedge(100, first, 2ms).grants.empty());
    complete(18, 3ms, {.outputTokens = 10});
    EXPECT_EQ(hedge(101, first, 4ms).grants.size(), 1U);
}

// Guards against a recommended delay that is far from the high quantile of the class's time to first token.
TEST_F(HedgingTest, DelayFollowsLateFirstTokens)
{
    startPool(8);
    EXPECT_FALSE(functions.hedgeDelay(pool.get(), support::ClassId("tier0")).has_value());
    for (PermitId permit = 1; permit <= 400; ++permit) {
        const std::chrono::milliseconds time = permit * 1s;
        submit(submissionOf(permit, "tier0"), time);
        const std::chrono::milliseconds firstToken = permit % 25 == 0 ? 400ms : 50ms;
        progress(permit, 1, time + firstToken);
        complete(permit, time + firstToken + 100ms, {.outputTokens = 10});
    }
    const auto delay = functions.hedgeDelay(pool.get(), support::ClassId("tier0"));
    ASSERT_TRUE(delay.has_value());
    EXPECT_GE(*delay, 50ms);
    EXPECT_LE(*delay, 400ms);
    EXPECT_FALSE(functions.hedgeDelay(pool.get(), support::ClassId("tier1")).has_value());
}

// Guards against an estimated time to first token that includes the wait for the next progress report.
TEST_F(HedgingTest, DelayIgnoresTheReportInterval)
{
    startPool(8);
    for (PermitId permit = 1; permit <= 100; ++permit) {
        const std::chrono::milliseconds time = permit * 2s;
        submit(submissionOf(permit, "tier0"), time);
        if (permit % 2 == 0) {
            functions.recordProgress(pool.get(), permit, {.outputTokens = 10, .sinceLatestToken = 20ms, .sinceFirstToken = 950ms}, at(time + 1s));
        }
        complete(permit, time + 1s, {.outputTokens = 10, .sinceLatestToken = 20ms, .sinceFirstToken = 950ms});
    }
    const auto delay = functions.hedgeDelay(pool.get(), support::ClassId("tier0"));
    ASSERT_TRUE(delay.has_value());
    EXPECT_LE(*delay, 100ms);
}

} // namespace mulberrywall::policy
