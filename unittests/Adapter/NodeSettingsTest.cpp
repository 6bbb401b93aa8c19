#include "platform/NodeSettings.h"

#include <gtest/gtest.h>

namespace mulberrywall::platform
{

static constexpr std::string_view completeSettings = R"({
    "nodeName": "edge-west-1", "zone": "west", "unknownField": {"a": [1, 2]},
    "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "bounds": {"graceS": 8, "configApplyMs": 4000, "drainMs": 3000, "strictRevoke": true, "revokeMs": 5000, "retryRatio": 0.25, "retrySlack": 54.0},
    "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100},
    "platform": {"address": "10.200.1.7:8223"}})";

static std::string errorOf(std::string_view text)
{
    const auto read = readNodeSettings(text);
    const auto *error = std::get_if<NodeSettingsError>(&read);
    return error == nullptr ? std::string() : error->text;
}

TEST(NodeSettings, ReadsAddressesAndLimitsAndIgnoresUnknownFields)
{
    const auto read = readNodeSettings(completeSettings);
    ASSERT_TRUE(std::holds_alternative<NodeSettings>(read));
    const NodeSettings &settings = std::get<NodeSettings>(read);
    EXPECT_EQ(settings.instance.value(), "edge-west-1");
    EXPECT_EQ(settings.dataCentre.value(), "west");
    EXPECT_EQ(settings.callerListen.port(), 8227);
    EXPECT_EQ(settings.readinessListen.port(), 8220);
    EXPECT_EQ(settings.store.port(), 8223);
    EXPECT_EQ(settings.terminationGrace, std::chrono::seconds(8));
    EXPECT_EQ(settings.keyRevocationLimit, std::chrono::seconds(5));
    EXPECT_EQ(settings.changeDelayLimit, std::chrono::seconds(3)) << "the shorter of both limits";
    EXPECT_DOUBLE_EQ(settings.processorCores, 0.25);
    EXPECT_EQ(settings.memoryLimit, 260'000'000U);
    EXPECT_EQ(settings.descriptorLimit, 4100U);
    EXPECT_DOUBLE_EQ(settings.retries.ratio, 0.25);
    EXPECT_DOUBLE_EQ(settings.retries.slack, 54.0);
}

/// Guards against a limited lifetime of the configuration although the users' platform sets no strict limit for revoked
/// keys.
TEST(NodeSettings, HasKeyRevocationLimitOnlyIfStrict)
{
    const auto read = readNodeSettings(R"({"nodeName": "a", "zone": "z", "listen": {"front": "10.1.0.1:1", "ready": "10.1.0.1:2"},
        "bounds": {"strictRevoke": false, "revokeMs": 5000}, "platform": {"address": "10.1.0.2:3"}})");
    ASSERT_TRUE(std::holds_alternative<NodeSettings>(read));
    EXPECT_EQ(std::get<NodeSettings>(read).keyRevocationLimit.count(), 0);
}

/// Guards against withdrawn keys that are accepted without limit, because the time until their withdrawal has to be in force cannot be read.
TEST(NodeSettings, RejectsAStrictLimitWithoutItsTime)
{
    const auto errorWith = [](const std::string &bounds) {
        return errorOf(R"({"nodeName": "a", "zone": "z", "listen": {"front": "10.1.0.1:1", "ready": "10.1.0.1:2"}, "bounds": {)" + bounds
            + R"(}, "platform": {"address": "10.1.0.2:3"}})");
    };
    EXPECT_EQ(errorWith(R"("strictRevoke": true, "revokeMs": 5000)"), "");
    EXPECT_EQ(errorWith(R"("revokeMs": "5000")"), "") << "not strict";
    for (const std::string time :
        {"", R"(, "revokeMs": null)", R"(, "revokeMs": "5000")", R"(, "revokeMs": 0)", R"(, "revokeMs": 0.4)", R"(, "revokeMs": -1)"}) {
        EXPECT_NE(errorWith(R"("strictRevoke": true)" + time).find("bounds.revokeMs"), std::string::npos) << time;
    }
    for (const std::string strict : {R"("true")", "1", "null", "[]"}) {
        EXPECT_NE(errorWith(R"("revokeMs": 5000, "strictRevoke": )" + strict).find("bounds.strictRevoke"), std::string::npos) << strict;
    }
}

/// Guards against a strict limit for withdrawn keys that is lost because what contains it has another type.
TEST(NodeSettings, RejectsBoundsOfAnotherType)
{
    for (const std::string bounds : {"[]", "null", R"("strict")", "5000"}) {
        EXPECT_NE(errorOf(R"({"nodeName": "a", "zone": "z", "listen": {"front": "10.1.0.1:1", "ready": "10.1.0.1:2"}, "bounds": )" + bounds
                      + R"(, "platform": {"address": "10.1.0.2:3"}})")
                      .find("'bounds'"),
            std::string::npos)
            << bounds;
    }
}

/// Guards against numbers that overflow the clocks' representation; found by the fuzz target PlatformDocument.
TEST(NodeSettings, LimitsDurationsAndCores)
{
    const auto read = readNodeSettings(R"({"nodeName": "a", "zone": "z", "listen": {"front": "10.1.0.1:1", "ready": "10.1.0.1:2"},
        "bounds": {"graceS": 3e71, "strictRevoke": true, "revokeMs": 3e71}, "limits": {"cpuShare": 3e71, "memoryMb": 3e71}, "platform": {"address": "10.1.0.2:3"}})");
    ASSERT_TRUE(std::holds_alternative<NodeSettings>(read));
    const auto &settings = std::get<NodeSettings>(read);
    EXPECT_EQ(settings.terminationGrace, std::chrono::years(1));
    EXPECT_EQ(settings.keyRevocationLimit, std::chrono::years(1));
    EXPECT_LE(settings.processorCores, 512.0);
    EXPECT_EQ(settings.memoryLimit, 1'000'000'000'000U);
}

TEST(NodeSettings, ReadsDutiesAndTheirBounds)
{
    const auto read = readNodeSettings(R"({"nodeName": "a", "zone": "z", "listen": {"front": "10.1.0.1:1", "ready": "10.1.0.1:2"},
        "bounds": {"fencing": false, "leaseMs": 2400, "thawMs": 250, "windowS": 4, "usageOff": 0.1, "usageLateS": 9},
        "cloud": {"address": "10.200.0.113:8424", "ratePerS": 50.0, "duties": ["metering", 7, "autoscale"], "dutyPerS": 40.0},
        "platform": {"address": "10.1.0.2:3"}})");
    ASSERT_TRUE(std::holds_alternative<NodeSettings>(read));
    const auto &settings = std::get<NodeSettings>(read);
    ASSERT_TRUE(settings.control.has_value());
    EXPECT_EQ(settings.control->address.port(), 8424);
    EXPECT_EQ(settings.control->duties, (std::vector<std::string> {"metering", "autoscale"}));
    EXPECT_DOUBLE_EQ(settings.control->callsPerSecond, 40.0);
    const DutyBounds expected {.leaseDuration = std::chrono::milliseconds(2'400),
        .thawTime = std::chrono::milliseconds(250),
        .usageWindow = std::chrono::seconds(4),
        .usageLateness = std::chrono::seconds(9),
        .usageTolerance = 0.1};
    EXPECT_EQ(settings.dutyBounds, expected);
}

/// Guards against duties in a deployment without a control API, and against a router that does not start because of its address.
TEST(NodeSettings, HasNoDutiesWithoutAUsableAddress)
{
    EXPECT_FALSE(std::get<NodeSettings>(readNodeSettings(completeSettings)).control.has_value());
    const auto read = readNodeSettings(R"({"nodeName": "a", "zone": "z", "listen": {"front": "10.1.0.1:1", "ready": "10.1.0.1:2"},
        "cloud": {"address": "nowhere", "duties": ["metering"]}, "platform": {"address": "10.1.0.2:3"}})");
    ASSERT_TRUE(std::holds_alternative<NodeSettings>(read));
    EXPECT_FALSE(std::get<NodeSettings>(read).control.has_value());
}

TEST(NodeSettings, ErrorNamesMissingOrInvalidField)
{
    EXPECT_NE(errorOf("{").find("not a JSON object"), std::string::npos);
    EXPECT_NE(errorOf(R"({"zone": "z"})").find("'nodeName'"), std::string::npos);
    EXPECT_NE(errorOf(R"({"nodeName": 7, "zone": "z"})").find("'nodeName'"), std::string::npos);
    EXPECT_NE(errorOf(R"({"nodeName": "a", "zone": "z", "listen": {"front": "nowhere"}})").find("'listen.front'"), std::string::npos);
    EXPECT_NE(
        errorOf(R"({"nodeName": "a", "zone": "z", "listen": {"front": "10.1.0.1:1", "ready": "10.1.0.1:2"}})").find("'platform.address'"), std::string::npos);
}

TEST(NodeSettings, ReportsFileThatCannotBeOpened)
{
    const auto read = readNodeFile("/nonexistent/settings.json");
    ASSERT_TRUE(std::holds_alternative<NodeSettingsError>(read));
}

} // namespace mulberrywall::platform
