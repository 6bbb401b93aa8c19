#include "mulberrywall/Orders/Plan.h"

#include <gtest/gtest.h>

namespace mulberrywall::orders
{

namespace
{

using Names = std::set<std::string>;
using std::chrono::milliseconds;
using support::EndpointId;

constexpr TimePoint start {};

DesiredEngine desiredEngine(const std::string &id, Names models)
{
    return {.id = EndpointId(id), .models = std::move(models)};
}

ObservedEngine readyEngine(Names ready, Names loading = {})
{
    return {.reportedAt = start, .ready = std::move(ready), .loading = std::move(loading)};
}

std::vector<std::string> plan(const std::vector<DesiredEngine> &desired, const ObservedEngines &observed, std::size_t maxLoads, TimePoint now = start)
{
    std::vector<std::string> ids;
    for (const EndpointId &id : planOrders(desired, observed, {.maxLoads = maxLoads}, now)) {
        ids.push_back(id.value());
    }
    return ids;
}

using Ids = std::vector<std::string>;

// Guards against a load that leaves a model of the site without a ready replica.
TEST(PlanTest, KeepsTheLastReadyReplica)
{
    const std::vector<DesiredEngine> desired {desiredEngine("e1", {"atlas", "mini"}), desiredEngine("e2", {"atlas", "mini"})};
    EXPECT_EQ(plan(desired, {{EndpointId("e1"), readyEngine({"atlas"})}, {EndpointId("e2"), readyEngine({"atlas"})}}, 2), Ids {"e1"});
    EXPECT_EQ(plan(desired, {{EndpointId("e1"), readyEngine({"atlas"})}, {EndpointId("e2"), readyEngine({"mini"})}}, 2), Ids {});
    // A replica that does not respond does not count, so that the last one that responds must be kept.
    ObservedEngines observed {{EndpointId("e1"), readyEngine({"atlas"})}, {EndpointId("e2"), readyEngine({"atlas"})}};
    observed[EndpointId("e1")].reportedAt = start + milliseconds(9'000);
    EXPECT_EQ(plan(desired, observed, 2, start + milliseconds(9'000)), Ids {});
    // The last replica of a model that the site no longer needs may be removed.
    EXPECT_EQ(plan(desired, {{EndpointId("e1"), readyEngine({"old"})}}, 2), Ids {"e1"});
}

// Guards against more concurrent loads than the weight store can serve, and against a second order before the first one
// has an effect on the reports.
TEST(PlanTest, LimitsConcurrentLoads)
{
    const std::vector<DesiredEngine> desired {desiredEngine("e1", {"atlas"}), desiredEngine("e2", {"atlas"}), desiredEngine("e3", {"atlas"})};
    const ObservedEngines empty {{EndpointId("e1"), readyEngine({})}, {EndpointId("e2"), readyEngine({})}, {EndpointId("e3"), readyEngine({})}};
    EXPECT_EQ(plan(desired, empty, 2), (Ids {"e1", "e2"}));
    ObservedEngines loading = empty;
    loading[EndpointId("e1")] = readyEngine({}, {"atlas"});
    EXPECT_EQ(plan(desired, loading, 1), Ids {});
    ObservedEngines ordered = empty;
    ordered[EndpointId("e1")].orderedAt = start;
    ordered[EndpointId("e1")].attemptedAt = start;
    EXPECT_EQ(plan(desired, ordered, 1), Ids {});
}

// Guards against an engine that refuses its orders and thereby delays the orders of the others.
TEST(PlanTest, RefusingEngineDoesNotDelayOthers)
{
    const std::vector<DesiredEngine> desired {desiredEngine("e1", {"atlas"}), desiredEngine("e2", {"atlas"})};
    ObservedEngines observed {{EndpointId("e1"), readyEngine({})}, {EndpointId("e2"), readyEngine({})}};
    observed[EndpointId("e1")].attemptedAt = start;
    const TimePoint later = start + milliseconds(5'000);
    EXPECT_EQ(plan(desired, observed, 1, later), Ids {"e2"});
}

// Guards against a model without a ready replica that waits for additional replicas of other models.
TEST(PlanTest, ModelWithoutReplicaHasPriority)
{
    const std::vector<DesiredEngine> desired {
        desiredEngine("e1", {"atlas"}), desiredEngine("e2", {"atlas"}), desiredEngine("e3", {"atlas"}), desiredEngine("e4", {"mini"})};
    const ObservedEngines observed {{EndpointId("e1"), readyEngine({"atlas"})},
        {EndpointId("e2"), readyEngine({})},
        {EndpointId("e3"), readyEngine({})},
        {EndpointId("e4"), readyEngine({})}};
    EXPECT_EQ(plan(desired, observed, 1), Ids {"e4"});
}

// Guards against JSON members of orders and reports that do not match the engines' protocol.
TEST(PlanTest, RendersOrdersAndParsesStates)
{
    const auto time = std::chrono::system_clock::time_point(milliseconds(5));
    EXPECT_EQ(renderOrder(desiredEngine("e1", {"atlas"}), 3, time),
        R"({"fencing":3,"expiresAtMs":5,"desired":{"models":["atlas"],"adapters":[],"version":"","role":""}})");
    ObservedEngine observed;
    EXPECT_TRUE(parseEngineState(observed, R"({"models":["atlas"],"loading":["mini"],"role":"decode","leaving":false})", start));
    EXPECT_EQ(observed.ready, Names {"atlas"});
    EXPECT_EQ(observed.loading, Names {"mini"});
    EXPECT_FALSE(parseEngineState(observed, R"({"models":[1]})", start));
    EXPECT_FALSE(parseEngineState(observed, "[]", start));
    EXPECT_EQ(observed.role, "decode");
}

} // namespace

} // namespace mulberrywall::orders
