#include "platform/OperatorDocument.h"

#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/RouteTable.h"

#include <gtest/gtest.h>

namespace mulberrywall::platform
{

using configuration::Idempotency;
using configuration::SiteConfiguration;

static constexpr std::string_view document = R"({"version": 7,
    "routes": [
        {"name": "long", "host": "h.example", "prefix": "/a/", "type": "stream", "timeoutMs": 8000, "sloMs": 2500, "priority": 2,
         "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}], "attempts": 1, "resumable": false, "itlTargetMs": 2000},
        {"name": "short", "host": "h.example", "prefix": "/b/", "type": "stream", "timeoutMs": 5000, "sloMs": 800, "priority": 1,
         "service": "s1", "attempts": 2, "resumable": true, "itlTargetMs": 800},
        {"name": "pay", "host": "h.example", "prefix": "/c/", "type": "unsafe", "timeoutMs": 4000, "sloMs": 300, "service": "s2", "public": true},
        {"name": "look", "host": "h.example", "prefix": "/d/", "type": "safe", "timeoutMs": 4000, "sloMs": 300, "service": "s2"}],
    "services": [{"name": "s1", "engine": {"slots": 64, "kvCapacity": 542153}}, {"name": "s2", "maxConns": 100}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": ["k1", "k2"], "priority": 0}, {"name": "t2", "apiKeys": []}]})";

static SiteConfiguration read()
{
    auto result = readOperatorDocument(document, {.dataCentre = support::DataCentreId("west"), .retryPercent = 20});
    EXPECT_TRUE(std::holds_alternative<SiteConfiguration>(result));
    return std::get<SiteConfiguration>(std::move(result));
}

static const configuration::RequestClass &classOf(const SiteConfiguration &site, const std::string &id)
{
    const auto *found = configuration::findClass(site, support::ClassId(id));
    EXPECT_NE(found, nullptr) << id;
    return *found;
}

TEST(OperatorDocument, ReadsRoutesWithTargets)
{
    const SiteConfiguration site = read();
    EXPECT_EQ(site.revision, 7U);
    ASSERT_EQ(site.routes.size(), 4U);
    EXPECT_EQ(site.routes[0].targets.size(), 2U);
    EXPECT_EQ(site.routes[0].targets[0].weight, 90U);
    EXPECT_EQ(site.routes[1].targets.front().pool.value(), "s1");
    EXPECT_TRUE(site.routes[1].resumable);
    EXPECT_EQ(site.routes[1].maximumAttempts, 2U);
    EXPECT_TRUE(site.routes[2].isPublic);
    EXPECT_FALSE(site.routes[2].streams);
    EXPECT_EQ(site.routes[0].timeout, std::chrono::milliseconds(8000));
}

TEST(OperatorDocument, ReadsTheMemoryOfEngines)
{
    const SiteConfiguration site = read();
    ASSERT_EQ(site.pools.size(), 2U);
    EXPECT_EQ(site.pools[0].engineMemoryTokens, 542'153U);
    EXPECT_EQ(site.pools[1].engineMemoryTokens, 0U);
}

/// Guards against a second run of a stream that is not resumable: the document has no type for unsafe streams.
TEST(OperatorDocument, OnlySafeRoutesAndResumableStreamsAreIdempotent)
{
    const SiteConfiguration site = read();
    EXPECT_EQ(classOf(site, "long").idempotency, Idempotency::NonIdempotent);
    EXPECT_EQ(classOf(site, "short").idempotency, Idempotency::Idempotent);
    EXPECT_EQ(classOf(site, "pay").idempotency, Idempotency::NonIdempotent);
    EXPECT_EQ(classOf(site, "look").idempotency, Idempotency::Idempotent);
}

/// Guards against tiers of an organisation's classes that do not keep the order of the organisations first and of the
/// routes second.
TEST(OperatorDocument, OrdersClassesByOrganisationAndThenByRoute)
{
    const SiteConfiguration site = read();
    EXPECT_EQ(classOf(site, "look").tier, 0);
    EXPECT_EQ(classOf(site, "short/tier-0").tier, 1);
    EXPECT_EQ(classOf(site, "long/tier-0").tier, 2);
    EXPECT_EQ(classOf(site, "short").tier, 3);
    EXPECT_EQ(classOf(site, "long").tier, 4);
    EXPECT_EQ(classOf(site, "long/tier-0").targets, classOf(site, "long").targets);
    EXPECT_EQ(configuration::findClass(site, support::ClassId("look/tier-0")), nullptr) << "the class itself has this tier";
}

TEST(OperatorDocument, DistinguishesEnginesFromPlainServices)
{
    const SiteConfiguration site = read();
    EXPECT_EQ(site.pools[0].kind, configuration::PoolKind::ModelEngine);
    EXPECT_EQ(site.pools[1].kind, configuration::PoolKind::PlainService);
    EXPECT_EQ(site.callerLimits->idleTimeout, std::chrono::seconds(15));
    EXPECT_NE(configuration::findOrganisationByKeyHash(site, router::hashKey("k2")), nullptr);
}

static configuration::CallerKeys callerKeysOf(const std::string &members)
{
    const auto result = readOperatorDocument(R"({"version": 9)" + members + "}", {});
    const auto *site = std::get_if<SiteConfiguration>(&result);
    EXPECT_NE(site, nullptr) << members;
    return site == nullptr ? configuration::CallerKeys::NotUsed : site->callerKeys;
}

/// Guards against a list of organisations that has become empty and is read as if no keys were used.
TEST(OperatorDocument, OnlyADocumentWithoutOrganisationsUsesNoKeys)
{
    using configuration::CallerKeys;
    EXPECT_EQ(callerKeysOf(""), CallerKeys::NotUsed);
    EXPECT_EQ(callerKeysOf(R"(, "tenants": [])"), CallerKeys::Required);
    EXPECT_EQ(callerKeysOf(R"(, "tenants": null)"), CallerKeys::Required);
    EXPECT_EQ(callerKeysOf(R"(, "tenants": [{"name": "t", "apiKeys": []}])"), CallerKeys::Required);
}

static std::optional<configuration::ScalingSpec> readScaling(const std::string &scaling)
{
    const auto result = readOperatorDocument(R"({"version": 1, "services": [{"name": "s1", "engine": {}, "scaling": )" + scaling + "}]}", {});
    const auto *site = std::get_if<SiteConfiguration>(&result);
    EXPECT_NE(site, nullptr) << "the service must be served without scaling";
    return site == nullptr || site->pools.size() != 1 ? std::nullopt : site->pools.front().scaling;
}

TEST(OperatorDocument, ReadsTheScalingOfAService)
{
    const auto scaling = readScaling(R"({"min":1,"max":40,"bootS":4.0,"spotPrice":0.22,"zonePrices":{"kochi-a":1.0,"kochi-b":0.8}})");
    ASSERT_TRUE(scaling.has_value());
    EXPECT_EQ(scaling->minimum, 1U);
    EXPECT_EQ(scaling->maximum, 40U);
    EXPECT_EQ(scaling->bootTime, std::chrono::seconds(4));
    EXPECT_EQ(scaling->spotPrice, 0.22);
    EXPECT_EQ(scaling->prices.at(support::DataCentreId("kochi-b")), 0.8);
    EXPECT_FALSE(read().pools.front().scaling.has_value());
}

/// Guards against orders by limits or prices that were not understood, and against services that are not served for that reason.
TEST(OperatorDocument, ServesServicesWhoseScalingCannotBeUsed)
{
    for (const char *scaling : {R"({})",
             R"({"min":5,"max":4,"bootS":4,"zonePrices":{"a":1}})",
             R"({"min":1,"max":-4,"bootS":4,"zonePrices":{"a":1}})",
             R"({"min":1,"max":1e9,"bootS":4,"zonePrices":{"a":1}})",
             R"({"min":1,"max":4,"bootS":0,"zonePrices":{"a":1}})",
             R"({"min":1,"max":4,"bootS":4,"zonePrices":{}})",
             R"({"min":1,"max":4,"bootS":4,"zonePrices":{"a":"1"}})",
             R"({"min":1,"max":4,"bootS":4,"spotPrice":-1,"zonePrices":{"a":1}})"}) {
        EXPECT_FALSE(readScaling(scaling).has_value()) << scaling;
    }
}

TEST(OperatorDocument, RejectsInvalidDocuments)
{
    const OperatorDocumentContext context;
    const auto isRejected = [&](std::string_view text) {
        return std::holds_alternative<OperatorDocumentError>(readOperatorDocument(text, context));
    };
    EXPECT_TRUE(isRejected("{"));
    EXPECT_TRUE(isRejected(R"({"routes": []})"));
    EXPECT_TRUE(isRejected(R"({"version": 1, "routes": [7]})"));
    EXPECT_TRUE(isRejected(R"({"version": 1, "routes": [{"name": "r", "host": "h", "prefix": "/a/"}]})"));
    EXPECT_TRUE(isRejected(R"({"version": 1, "tenants": [{"name": "t", "apiKeys": [1]}]})"));
    EXPECT_TRUE(isRejected(R"({"version": 1, "services": [{}]})"));
}

/// Guards against a list of another type that is read as an empty one, so that a damaged document takes all routes, services or
/// keys away.
TEST(OperatorDocument, RejectsListsOfAnotherType)
{
    const auto read = [](const std::string &members) {
        return readOperatorDocument(R"({"version": 1, )" + members + "}", {});
    };
    for (const std::string list : {"routes", "services", "tenants"}) {
        for (const std::string value : {"{}", "\"[]\"", "0", "false"}) {
            EXPECT_TRUE(std::holds_alternative<OperatorDocumentError>(read('"' + list + "\": " + value))) << list << value;
        }
        EXPECT_TRUE(std::holds_alternative<SiteConfiguration>(read('"' + list + "\": null"))) << "an empty list by some serializers";
    }
    for (const std::string limits : {"[]", "\"\"", "0"}) {
        EXPECT_TRUE(std::holds_alternative<OperatorDocumentError>(read("\"limits\": " + limits))) << "takes the limits away: " << limits;
    }
    EXPECT_TRUE(std::holds_alternative<OperatorDocumentError>(read(R"("tenants": [{"name": "t", "apiKeys": {}}])")));
    EXPECT_TRUE(std::holds_alternative<SiteConfiguration>(read(R"("tenants": [{"name": "t", "apiKeys": null}])"))) << "takes the keys away";
}

} // namespace mulberrywall::platform
