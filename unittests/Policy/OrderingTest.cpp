#include "PolicyFixture.h"

#include <map>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class OrderingTest : public PolicyFixture
{
protected:
    /// Runs the only slot's requests one after another for the given number of requests of 100 ms each, and returns
    /// the order of grants. Running starts with permit 1.
    std::vector<PermitId> drain(std::size_t count)
    {
        std::vector<PermitId> order;
        PermitId running = 1;
        for (std::size_t i = 0; i < count; ++i) {
            time += 100ms;
            const Decisions decisions = complete(running, time, {.outputTokens = 100});
            if (decisions.grants.empty()) {
                break;
            }
            running = decisions.grants[0].permit;
            order.push_back(running);
        }
        return order;
    }

    std::chrono::milliseconds time {0};
};

// Guards against first come, first served across classes with different targets.
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

// Guards against one organisation that takes a tier for itself by sending first, and against ignoring weights.
TEST_F(OrderingTest, OrganisationsShareATierByWeight)
{
    start({.classes = {{.id = support::ClassId("c"), .firstTokenTarget = 1h, .maximumWait = 1h}},
              .organisations = {{.id = support::OrganisationId("large"), .weight = 3.0}, {.id = support::OrganisationId("small"), .weight = 1.0}}},
        {endpointSpec("a", 1)});
    Submission submission = submissionOf(1, "c");
    for (PermitId permit = 1; permit <= 100; ++permit) {
        submission.permit = permit;
        submission.organisation = support::OrganisationId("large");
        submit(submission);
    }
    for (PermitId permit = 101; permit <= 200; ++permit) {
        submission.permit = permit;
        submission.organisation = support::OrganisationId("small");
        submit(submission);
    }
    unsigned small = 0;
    for (const PermitId permit : drain(80)) {
        small += permit > 100 ? 1 : 0;
    }
    EXPECT_NEAR(small, 20, 5);
}

// Guards against a resumed stream that waits behind new work of its tier.
TEST_F(OrderingTest, ResumeGoesBeforeNewWorkOfItsTier)
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
    EXPECT_EQ(low.front(), 401U) << "the oldest one goes first";
    EXPECT_EQ(functions.statistics(pool.get()).minimumShareGrants, low.size());
}

} // namespace mulberrywall::policy
