#include "mulberrywall/Report/Burn.h"

#include <gtest/gtest.h>

namespace mulberrywall::report
{

static constexpr std::string_view status
    = R"({"serviceLevels":{"fast":[{"seconds":300,"requests":100,"withinTargets":90,"goodputTokens":900,"wastedTokens":7}]}})";

static bool add(BurnTable &table, std::string_view text)
{
    return static_cast<bool>(addStatus(table, text));
}

// Guards against averaging the burn rates of the routers instead of computing the rate from the sums.
TEST(BurnTest, SumsCountsOfAllRouters)
{
    BurnTable table;
    ASSERT_TRUE(add(table, status));
    ASSERT_TRUE(add(table, R"({"serviceLevels":{"fast":[{"seconds":300,"requests":300,"withinTargets":300,"goodputTokens":100,"wastedTokens":0}]}})"));
    const std::vector<BurnRow> rows = computeBurn(table, 0.95);
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].counts.requests, 400U);
    EXPECT_EQ(rows[0].counts.goodputTokens, 1000U);
    EXPECT_NEAR(rows[0].attainment, 0.975, 1e-9);
    EXPECT_NEAR(rows[0].burnRate, 0.5, 1e-9);
}

// Guards against a division by zero and a false alarm for a class without requests.
TEST(BurnTest, BurnRateIsZeroWithoutRequests)
{
    BurnTable table;
    ASSERT_TRUE(add(table, R"({"serviceLevels":{"idle":[{"seconds":300,"requests":0,"withinTargets":0}]}})"));
    EXPECT_EQ(computeBurn(table, 0.95).at(0).burnRate, 0.0);
}

// Guards against a report that silently omits a document that it cannot parse.
TEST(BurnTest, RejectsOtherDocuments)
{
    BurnTable table;
    EXPECT_FALSE(add(table, "{}"));
    EXPECT_FALSE(add(table, "not json"));
    EXPECT_FALSE(add(table, R"({"serviceLevels":{"fast":3}})"));
}

// Guards against a class name that makes the SVG invalid.
TEST(BurnTest, EscapesNamesInSvg)
{
    BurnTable table;
    table["a<b&c"][300] = {.requests = 10, .withinTargets = 0};
    const std::string svg = renderSvg(computeBurn(table, 0.95), 0.95);
    EXPECT_NE(svg.find("a&lt;b&amp;c"), std::string::npos);
    EXPECT_EQ(svg.find("a<b"), std::string::npos);
}

} // namespace mulberrywall::report
