#include "LoadDriver/Report.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mulberrywall::load
{

static Scenario readScenarioByName(const std::string &name)
{
    return readScenario(SCENARIO_FOLDER + name + ".toml");
}

// Guards against scenario files that cannot be read or lack a set of faults, and against requests that differ between two runs
// of a scenario, so that the product and the naive router would be measured with different requests.
TEST(LoadDriver, ReadsScenariosOfBothUsers)
{
    for (const std::string name : {"cosecha-digital", "hallbrook"}) {
        const Scenario scenario = readScenarioByName(name);
        EXPECT_EQ(scenario.organisations.size(), 10U) << name;
        for (const std::string faults : {"slow-engines", "engine-crash", "owner-kill"}) {
            Scenario selected = scenario;
            selectFaults(selected, faults);
            EXPECT_EQ(selected.faults.size(), 2U) << name << ' ' << faults;
        }
        const std::vector<Arrival> arrivals = makeArrivals(scenario);
        const std::vector<Arrival> again = makeArrivals(readScenarioByName(name));
        EXPECT_TRUE(std::equal(arrivals.begin(), arrivals.end(), again.begin(), again.end(), [](const Arrival &left, const Arrival &right) {
            return left.time == right.time && left.prompt == right.prompt && left.key == right.key && left.outputTokens == right.outputTokens;
        })) << name;
    }
}

// Guards against a change of the mean rate when bursts are replaced by steady traffic, which would give a wrong capacity.
TEST(LoadDriver, SteadyTrafficKeepsTheMeanRate)
{
    Scenario scenario = readScenarioByName("hallbrook");
    // A multiple of the periods of all traffic.
    scenario.duration = std::chrono::duration<double>(120);
    const auto before = static_cast<double>(makeArrivals(scenario).size());
    makeSteady(scenario);
    const auto after = static_cast<double>(makeArrivals(scenario).size());
    EXPECT_NEAR(after / before, 1.0, 0.03);
}

// Guards against a measurement of the top tier alone that includes other traffic.
TEST(LoadDriver, KeepsTopTierOfModelOnly)
{
    Scenario scenario = readScenarioByName("cosecha-digital");
    keepTopTier(scenario);
    ASSERT_EQ(scenario.traffic.size(), 1U);
    EXPECT_EQ(scenario.traffic.front().requestClass, "draft-terms");
}

// Guards against late, rejected or failed requests that are counted as goodput, and against wasted tokens that are not counted.
TEST(LoadDriver, CountsGoodputAndWaste)
{
    Scenario scenario;
    scenario.traffic = {{.requestClass = "chat", .shortWork = true, .firstTokenTarget = Milliseconds(100)},
        {.requestClass = "entry", .service = "ledger", .completionTarget = Milliseconds(50)}};
    const std::vector<Arrival> arrivals {{.traffic = 0, .outputTokens = 10},
        {.traffic = 0, .outputTokens = 20},
        {.traffic = 0, .outputTokens = 40},
        {.traffic = 0, .outputTokens = 80},
        {.traffic = 1},
        {.traffic = 1}};
    const std::vector<Outcome> outcomes {{.kind = OutcomeKind::Completed, .firstToken = Milliseconds(90), .tokens = 10},
        {.kind = OutcomeKind::Completed, .firstToken = Milliseconds(110), .tokens = 20},
        {.kind = OutcomeKind::Failed, .firstToken = Milliseconds(10), .tokens = 15},
        {.kind = OutcomeKind::Rejected},
        {.kind = OutcomeKind::Completed, .duration = Milliseconds(40)},
        {.kind = OutcomeKind::Completed, .duration = Milliseconds(60)}};
    const boost::json::object report = makeReport(scenario, arrivals, outcomes, 45, 0);
    const boost::json::object &total = report.at("total").as_object();
    EXPECT_EQ(total.at("goodputTokens").to_number<int>(), 10);
    EXPECT_EQ(total.at("attained").to_number<int>(), 2);
    EXPECT_EQ(report.at("wastedTokens").to_number<int>(), 15) << "the engines produced 45 tokens, of which 30 arrived in complete responses";
    EXPECT_EQ(report.at("offeredTokens").to_number<int>(), 150);
    EXPECT_EQ(report.at("models").at("requests").to_number<int>(), 4);
    EXPECT_EQ(report.at("shortWork").at("completed").to_number<int>(), 2);
}

} // namespace mulberrywall::load
