#include "PolicyFixture.h"

#include <map>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class OrderingTest : public PolicyFixture
{
protected:
    /// Submits requests of one organisation to class "c", whose target and maximum wait are too long to have an effect.
    void submitMany(const std::string &organisation, PermitId first, PermitId last)
    {
        for (PermitId permit = first; permit <= last; ++permit) {
            Submission submission = submissionOf(permit, "c");
            submission.organisation = support::OrganisationId(organisation);
            submit(submission, time);
        }
    }

    static PoolOptions patientOptions()
    {
        return {.classes = {{.id = support::ClassId("c"), .firstTokenTarget = 1h, .maximumWait = 1h}}};
    }

    /// Runs the given number of requests of 100 ms each one after another in the only slot, starting with permit 1.
    /// Returns the order of grants. Permits from 100 on produce the second number of tokens.
    std::vector<PermitId> drain(std::size_t count, std::uint64_t tokens = 100, std::uint64_t tokensFrom100 = 100)
    {
        std::vector<PermitId> order;
        for (std::size_t i = 0; i < count; ++i) {
            time += 100ms;
            const Decisions decisions = complete(running, time, {.outputTokens = running < 100 ? tokens : tokensFrom100});
            if (decisions.grants.empty()) {
                break;
            }
            running = decisions.grants[0].permit;
            order.push_back(running);
        }
        return order;
    }

    std::chrono::milliseconds time {0};
    PermitId running = 1;
};

// Guards against scheduling classes with different targets in order of arrival.
TEST_F(OrderingTest, EarliestTargetFirstAcrossClassesOfATier)
{
    start({.classes = {{.id = support::ClassId("report"), .firstTokenTarget = 10s}, {.id = support::ClassId("chat"), .firstTokenTarget = 1s}}},
        {endpointSpec("a", 1)});
    submit(submissionOf(1, "chat"));
    submit(submissionOf(2, "report"));
    submit(submissionOf(3, "chat"), 1ms);
    submit(submissionOf(4, "chat"), 2ms);
    EXPECT_EQ(drain(3), (std::vector<PermitId> {3, 4, 2}));
}

// Guards against one organisation that monopolises a tier by sending first, and against ignoring weights.
TEST_F(OrderingTest, OrganisationsShareATierByWeight)
{
    PoolOptions options = patientOptions();
    options.organisations = {{.id = support::OrganisationId("large"), .weight = 3.0}, {.id = support::OrganisationId("small"), .weight = 1.0}};
    start(options, {endpointSpec("a", 1)});
    submitMany("large", 1, 100);
    submitMany("small", 101, 200);
    unsigned small = 0;
    for (const PermitId permit : drain(80)) {
        small += permit > 100 ? 1 : 0;
    }
    EXPECT_NEAR(small, 20, 5);
}

// Guards against an organisation that accumulates credit while idle and then monopolises the tier.
TEST_F(OrderingTest, IdleTimeGivesNoCredit)
{
    start(patientOptions(), {endpointSpec("a", 1)});
    submitMany("late", 1, 1);
    submitMany("steady", 100, 160);
    submitMany("other", 200, 260);
    drain(60);
    submitMany("late", 2, 60);
    unsigned late = 0;
    for (const PermitId permit : drain(30)) {
        late += permit < 100 ? 1 : 0;
    }
    EXPECT_NEAR(late, 10, 5);
}

// Guards against charging all requests the same when those of one organisation are several times longer than estimated.
TEST_F(OrderingTest, ChargesActualWork)
{
    start(patientOptions(), {endpointSpec("a", 1)});
    submitMany("brief", 1, 60);
    submitMany("verbose", 100, 160);
    unsigned verbose = 0;
    for (const PermitId permit : drain(18, 100, 1'000)) {
        verbose += permit >= 100 ? 1 : 0;
    }
    EXPECT_GE(verbose, 1U);
    EXPECT_LE(verbose, 5U);
}

// Guards against a resumed stream that waits behind new work of its tier.
TEST_F(OrderingTest, ResumePrecedesNewWorkOfItsTier)
{
    start({}, {endpointSpec("a", 1)});
    submit(submissionOf(1, "tier1"));
    submit(submissionOf(2, "tier1"));
    Submission resume = submissionOf(3, "tier1");
    resume.purpose = AttemptPurpose::Resume;
    submit(resume);
    submit(submissionOf(4, "tier0"));
    EXPECT_EQ(drain(3), (std::vector<PermitId> {4, 3, 2}));
}

// Guards against starving a lower tier, and against giving it more of the slots than its minimum share.
TEST_F(OrderingTest, OverdueRequestsGetTheirMinimumShare)
{
    std::vector<ClassSpec> classes {tierClass(0), tierClass(1)};
    classes[0].firstTokenTarget = 1h;
    classes[0].maximumWait = 1h;
    classes[1].firstTokenTarget = 1h;
    classes[1].maximumWait = 1s;
    classes[1].minimumShare = 0.1;
    start({.queueLimit = 1'000, .classes = classes}, {endpointSpec("a", 1)});
    for (PermitId permit = 1; permit <= 400; ++permit) {
        submit(submissionOf(permit, "tier0"));
    }
    for (PermitId permit = 401; permit <= 500; ++permit) {
        submit(submissionOf(permit, "tier1"));
    }
    const std::vector<PermitId> order = drain(300);
    std::vector<PermitId> low;
    for (const PermitId permit : order) {
        if (permit > 400) {
            low.push_back(permit);
        }
    }
    EXPECT_NEAR(static_cast<double>(low.size()), 30.0, 4.0);
    ASSERT_FALSE(low.empty());
    EXPECT_EQ(low.front(), 401U) << "the oldest one is granted first";
    EXPECT_EQ(functions.statistics(pool.get()).minimumShareGrants, low.size());
}

} // namespace mulberrywall::policy
