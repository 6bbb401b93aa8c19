#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

class TakeoverTest : public PolicyFixture
{
protected:
    unsigned grantsOf(unsigned submissions, std::chrono::milliseconds time)
    {
        unsigned granted = 0;
        for (unsigned i = 0; i < submissions; ++i) {
            granted += submit(submissionOf(nextPermit, "tier0"), time).grants.size();
            ++nextPermit;
        }
        return granted;
    }

    PermitId nextPermit = 1;
};

// Guards against filling slots that requests of the former owner still hold.
TEST_F(TakeoverTest, LimitIsReducedUntilTheBound)
{
    // An odd bound, so that no other wake-up falls on it.
    start({.start = PoolStart::TakenOver, .tuning = {.takeover = {.bound = 1'999ms}}}, {endpointSpec("a", 4), endpointSpec("b", 4)});
    EXPECT_EQ(grantsOf(8, 10ms), 4U);
    EXPECT_TRUE(followWakeUps(1'998ms).grants.empty());
    EXPECT_EQ(followWakeUps(1'999ms).grants.size(), 4U);
}

// Guards against waiting for the bound when nothing is missing, and against counting adopted requests twice.
TEST_F(TakeoverTest, EndsWhenAllRequestsAreAdopted)
{
    start({.start = PoolStart::TakenOver}, {endpointSpec("a", 4), endpointSpec("b", 4)});
    for (PermitId permit = 101; permit <= 103; ++permit) {
        functions.adopt(pool.get(), {.submission = submissionOf(permit, "tier0"), .endpoint = support::EndpointId("a")}, at(5ms));
    }
    EXPECT_EQ(grantsOf(8, 10ms), 2U);
    // Endpoint a is full up to one slot, and b reports what this owner has granted there.
    EXPECT_EQ(functions.recordLoadReport(pool.get(), {.endpoint = support::EndpointId("b"), .running = 2, .measuredAt = at(20ms)}, at(21ms)).grants.size(), 2U);
    EXPECT_EQ(functions.finishTakeover(pool.get(), at(30ms)).grants.size(), 1U);
    EXPECT_EQ(functions.summarize(pool.get()).running, 8U);
}

} // namespace mulberrywall::policy
