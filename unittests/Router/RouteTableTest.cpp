#include "mulberrywall/Router/RouteTable.h"

#include "mulberrywall/Router/ActiveConfiguration.h"
#include "mulberrywall/Router/OrganisationTiers.h"
#include "mulberrywall/Support/CountedMap.h"

#include <gtest/gtest.h>

namespace mulberrywall::router
{

class RouteTableTest : public testing::Test
{
protected:
    RouteTableTest()
    {
        site_.pools.push_back({.id = support::PoolId("p")});
        site_.classes.push_back({.id = support::ClassId("c"), .tier = 2});
        site_.classes.push_back({.id = support::ClassId("d"), .tier = 1});
        site_.organisations.push_back({.id = support::OrganisationId("plain"), .keyHashes = {hashKey("k")}});
        site_.organisations.push_back({.id = support::OrganisationId("urgent"), .tier = 0, .keyHashes = {hashKey("u")}});
        orderClassesByOrganisationTier(site_);
        addRoute("/a/");
        addRoute("/d/").requestClass = support::ClassId("d");
    }

    configuration::Route &addRoute(const std::string &prefix)
    {
        site_.routes.push_back({.host = "h", .prefix = prefix, .requestClass = support::ClassId("c"), .targets = {{.pool = support::PoolId("p")}}});
        return site_.routes.back();
    }

    [[nodiscard]] CallerRequest route(std::string_view key, std::string_view path = "/a/x") const
    {
        auto result = routeRequest({.id = support::RequestId("r"), .host = "h", .key = key}, path, site_, now_);
        EXPECT_TRUE(std::holds_alternative<CallerRequest>(result));
        return std::get<CallerRequest>(std::move(result));
    }

    /// Returns the status with which a request is rejected, or 200 if it is not.
    [[nodiscard]] http::Status rejectionOf(std::string_view key, std::string_view path = "/a/x") const
    {
        const auto result = routeRequest({.id = support::RequestId("r"), .host = "h", .key = key}, path, site_, now_);
        const auto *problem = std::get_if<http::Problem>(&result);
        return problem == nullptr ? http::Status::ok : problem->status;
    }

    configuration::SiteConfiguration site_;
    policy::TimePoint now_ {std::chrono::seconds(10)};
};

TEST_F(RouteTableTest, PrefersTheLongestPrefixOfTheHost)
{
    addRoute("/a/b/");
    EXPECT_EQ(findRoute(site_, "h", "/a/b/c")->prefix, "/a/b/");
    EXPECT_EQ(findRoute(site_, "h", "/a/c")->prefix, "/a/");
    EXPECT_EQ(findRoute(site_, "h", "/a"), nullptr);
    EXPECT_EQ(findRoute(site_, "other", "/a/b/c"), nullptr);
}

/// Guards against requests whose cost grows with the configuration: each of its lookups went through all routes, all classes, of which
/// there is one for each route and tier of an organisation, or all keys.
TEST_F(RouteTableTest, LooksUpInFewStepsInALargeConfiguration)
{
    constexpr unsigned routes = 350;
    constexpr support::Tier tiers = 10;
    constexpr unsigned organisations = 1'000;
    constexpr std::uint64_t maximumSteps = 100;
    for (unsigned index = 0; index < routes; ++index) {
        const support::ClassId id("class-" + std::to_string(index));
        site_.classes.push_back({.id = id, .tier = 1});
        addRoute("/more-" + std::to_string(index) + "/").requestClass = id;
    }
    for (unsigned index = 0; index < organisations; ++index) {
        site_.organisations.push_back({.id = support::OrganisationId("organisation-" + std::to_string(index)),
            .tier = static_cast<support::Tier>(index % tiers),
            .keyHashes = {hashKey("key-" + std::to_string(index))}});
    }
    orderClassesByOrganisationTier(site_);
    site_.revision = 1;
    ActiveConfiguration active;
    active.offer(site_);
    for (unsigned index = 0; index < organisations; ++index) {
        const std::string key = "key-" + std::to_string(index);
        const std::string path = "/more-" + std::to_string(index % routes) + "/x";
        const std::uint64_t before = support::stepCount();
        const auto result = routeRequest({.id = support::RequestId("r"), .host = "h", .key = key}, path, *active.current(), now_);
        ASSERT_TRUE(std::holds_alternative<CallerRequest>(result));
        ASSERT_LE(support::stepCount() - before, maximumSteps);
        ASSERT_TRUE(std::get<CallerRequest>(result).organisation.keyHashes.empty()) << "a copy of all keys for each request";
    }
}

TEST_F(RouteTableTest, SplitsRequestsByWeight)
{
    configuration::Route &split = addRoute("/s/");
    split.targets = {{.pool = support::PoolId("p"), .weight = 90}, {.pool = support::PoolId("q"), .weight = 10}, {.pool = support::PoolId("z"), .weight = 0}};
    unsigned first = 0;
    constexpr unsigned requests = 2'000;
    for (unsigned index = 0; index < requests; ++index) {
        const configuration::RouteTarget *target = chooseTarget(split, support::RequestId("id-" + std::to_string(index)));
        ASSERT_NE(target, nullptr);
        ASSERT_NE(target->pool.value(), "z");
        first += target->pool.value() == "p" ? 1 : 0;
    }
    EXPECT_NEAR(first, 0.9 * requests, 0.03 * requests);
    split.targets.clear();
    EXPECT_EQ(chooseTarget(split, support::RequestId("id")), nullptr);
}

/// Guards against an organisation's tier that is ignored, and against one that replaces the tiers of its classes.
TEST_F(RouteTableTest, OrganisationTierPrecedesRouteTier)
{
    EXPECT_EQ(route("u", "/d/x").requestClass.tier, 0);
    EXPECT_EQ(route("u").requestClass.tier, 1);
    EXPECT_EQ(route("k", "/d/x").requestClass.tier, 2);
    EXPECT_EQ(route("k").requestClass.tier, 3);
}

TEST_F(RouteTableTest, RequiresAKeyUnlessTheRouteIsPublic)
{
    EXPECT_EQ(rejectionOf("wrong"), http::Status::unauthorized);
    EXPECT_EQ(rejectionOf(""), http::Status::unauthorized);
    addRoute("/public/").isPublic = true;
    EXPECT_TRUE(route("", "/public/x").organisation.id.empty());
}

/// Guards against keys that were taken away, or never were, and run because their route needs none.
TEST_F(RouteTableTest, RejectsUnknownKeysAlsoOnPublicRoutes)
{
    addRoute("/public/").isPublic = true;
    EXPECT_EQ(rejectionOf("wrong", "/public/x"), http::Status::unauthorized);
    EXPECT_EQ(route("k", "/public/x").organisation.id, support::OrganisationId("plain"));
    site_.organisations.clear();
    EXPECT_EQ(rejectionOf("k", "/public/x"), http::Status::unauthorized);
    EXPECT_TRUE(route("", "/public/x").organisation.id.empty());
}

/// Guards against removed and unknown keys that run once the last organisation is removed.
TEST_F(RouteTableTest, RequiresAKeyAlsoWithoutOrganisations)
{
    site_.organisations.clear();
    for (const std::string_view key : {"k", "wrong", ""}) {
        EXPECT_EQ(rejectionOf(key), http::Status::unauthorized) << key;
    }
}

/// Guards against keys of a former configuration that run, because the configuration in force uses none.
TEST_F(RouteTableTest, RejectsUnknownKeysAlsoIfNoneAreUsed)
{
    site_.organisations.clear();
    site_.callerKeys = configuration::CallerKeys::NotUsed;
    EXPECT_TRUE(route("").organisation.id.empty());
    EXPECT_EQ(rejectionOf("k"), http::Status::unauthorized);
}

TEST_F(RouteTableTest, UsesTheEarlierOfBothDeadlines)
{
    site_.routes.front().timeout = std::chrono::milliseconds(5000);
    const RoutingFields fields {.id = support::RequestId("r"), .host = "h", .key = "k", .timeout = std::chrono::milliseconds(8000)};
    EXPECT_EQ(std::get<CallerRequest>(routeRequest(fields, "/a/x", site_, now_)).deadline, now_ + std::chrono::milliseconds(5000));
    site_.routes.front().timeout = std::chrono::milliseconds(9000);
    EXPECT_EQ(std::get<CallerRequest>(routeRequest(fields, "/a/x", site_, now_)).deadline, now_ + std::chrono::milliseconds(8000));
}

/// Guards against requests with a common prompt prefix that are routed to different engines because
/// their last segments differ.
TEST_F(RouteTableTest, PromptPrefixHashExcludesTheLastSegment)
{
    const std::vector<PromptSegment> first {{.id = "system"}, {.id = "subject"}, {.id = "own-1"}};
    const std::vector<PromptSegment> second {{.id = "system"}, {.id = "subject"}, {.id = "own-2"}};
    const std::vector<PromptSegment> other {{.id = "system"}, {.id = "elsewhere"}, {.id = "own-1"}};
    EXPECT_EQ(promptPrefixHash(first), promptPrefixHash(second));
    EXPECT_NE(promptPrefixHash(first), promptPrefixHash(other));
    EXPECT_EQ(promptPrefixHash(std::span(first).first(1)), 0U);
}

/// Guards against segments that are known only as one prefix, so that prompts which share the first of them seem to share none.
TEST_F(RouteTableTest, StatesEachSegmentOfThePrefix)
{
    const std::vector<PromptSegment> first {{.id = "system", .tokens = 800}, {.id = "subject", .tokens = 410}, {.id = "own-1", .tokens = 250}};
    const std::vector<PromptSegment> other {{.id = "system", .tokens = 800}, {.id = "elsewhere", .tokens = 300}, {.id = "own-1", .tokens = 250}};
    const std::vector<policy::PrefixSegment> prefix = promptPrefixSegments(first);
    ASSERT_EQ(prefix.size(), 2U);
    EXPECT_EQ(prefix.front(), promptPrefixSegments(other).front());
    EXPECT_NE(prefix.back().hash, promptPrefixSegments(other).back().hash);
    EXPECT_EQ(prefix.back().hash, promptPrefixHash(first));
    EXPECT_EQ(prefix.back().tokens, 410U);
}

} // namespace mulberrywall::router
