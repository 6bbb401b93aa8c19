#include "PolicyFixture.h"

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

/// Engines that crash together, in a pool that hundreds of routers share: each router sends few requests to each engine.
class LostEndpointsTest : public PolicyFixture
{
protected:
    static constexpr std::size_t endpoints = 8;

    void startPool()
    {
        std::vector<EndpointSpec> specs;
        for (std::size_t index = 0; index < endpoints; ++index) {
            specs.push_back(endpointSpec("i-" + std::to_string(index), 1));
            specs.back().incarnation = 7;
        }
        start({}, specs);
    }

    void recordLost(const std::vector<LostEndpoint> &lost, LossSource source = LossSource::Summary, std::chrono::milliseconds time = {})
    {
        functions.recordLostEndpoints(pool.get(), lost, source, at(time));
    }

    [[nodiscard]] std::vector<LostEndpoint> lost(LossSource farthest, std::chrono::milliseconds time = {}) const
    {
        return functions.lostEndpoints(pool.get(), farthest, at(time));
    }

    /// Returns the number of requests that get an endpoint at once.
    std::size_t granted(std::chrono::milliseconds time)
    {
        std::size_t grants = 0;
        for (std::size_t index = 0; index < endpoints; ++index) {
            grants += submit(submissionOf(++permit_, "tier0"), time).grants.size();
        }
        return grants;
    }

    const LostEndpoint first_ {.endpoint = support::EndpointId("i-1"), .incarnation = 7};

private:
    PermitId permit_ = 0;
};

// Guards against hundreds of routers that each send requests to an engine after one of them was refused there.
TEST_F(LostEndpointsTest, PeersAvoidAnEndpointThatOneRouterFoundLost)
{
    startPool();
    const support::EndpointId crashed = submit(submissionOf(100, "tier0")).grants.at(0).endpoint;
    complete(100, 10ms, {.outcome = AttemptOutcome::EndpointLost});
    const std::vector<LostEndpoint> found = lost(LossSource::Own, 40ms);
    const std::vector<LostEndpoint> expected {{.endpoint = crashed, .incarnation = 7, .age = 30ms}};
    EXPECT_EQ(found, expected);
    startPool();
    recordLost(found, LossSource::Summary, 100ms);
    EXPECT_EQ(granted(110ms), endpoints - 1);
}

// Guards against an endpoint that is never used again although it runs.
TEST_F(LostEndpointsTest, IsTriedAgainAfterItsLifetime)
{
    startPool();
    const std::chrono::milliseconds lifetime = SelectionTuning().lossLifetime;
    recordLost({first_});
    EXPECT_EQ(granted(lifetime - 1ms), endpoints - 1);
    EXPECT_EQ(functions.advance(pool.get(), at(lifetime + 1ms)).grants.size(), 1U);
    EXPECT_TRUE(lost(LossSource::Summary, lifetime + 1ms).empty());
}

// Guards against an endpoint that is avoided after it has started again.
TEST_F(LostEndpointsTest, AnotherStartIsNotLost)
{
    startPool();
    recordLost({{.endpoint = support::EndpointId("i-1"), .incarnation = 6}});
    EXPECT_TRUE(lost(LossSource::Summary).empty());
    recordLost({first_});
    std::vector<EndpointSpec> specs {endpointSpec("i-1", 1)};
    specs.front().incarnation = 8;
    functions.setEndpoints(pool.get(), specs, startTime);
    EXPECT_EQ(granted(1ms), 1U);
}

// Guards against a loss that routers tell each other forever.
TEST_F(LostEndpointsTest, DoesNotCirculate)
{
    startPool();
    recordLost({first_}, LossSource::Summary);
    EXPECT_TRUE(lost(LossSource::Report).empty());
    EXPECT_EQ(lost(LossSource::Summary).size(), 1U);
    // The same report, delayed: its age must not start again.
    recordLost({first_}, LossSource::Summary, 500ms);
    EXPECT_EQ(lost(LossSource::Summary, 500ms).at(0).age, 500ms);
}

// Guards against a pool without endpoints because of wrong reports.
TEST_F(LostEndpointsTest, KeepsHalfOfThePool)
{
    startPool();
    for (std::size_t index = 0; index < endpoints; ++index) {
        recordLost({{.endpoint = support::EndpointId("i-" + std::to_string(index)), .incarnation = 7}});
    }
    EXPECT_EQ(granted(1ms), endpoints / 2);
}

} // namespace mulberrywall::policy
