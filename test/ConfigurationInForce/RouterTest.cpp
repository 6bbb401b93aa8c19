#include "Harness/ChildProcess.h"
#include "Harness/TestClient.h"
#include "Harness/Wait.h"

#include "mulberrywall/Support/Ids.h"
#include "mulberrywall/Support/Settings.h"

#include <gtest/gtest.h>

#include <boost/json/serialize.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

/// ConfigurationInForce, routers' side: an accepted revision is in force within 8 s and never reverts.
namespace mulberrywall::harness
{

namespace
{

/// Documented bound for a change to take effect at all routers.
constexpr std::chrono::seconds inForceBound {8};

class RouterRevisionTest : public testing::Test
{
protected:
    struct RouterNode
    {
        std::unique_ptr<ChildProcess> process;
        std::uint16_t adminPort = 0;
    };

    RouterRevisionTest()
    {
        startPlatform(0);
    }

    void startPlatform(std::uint16_t port)
    {
        platform_ = std::make_unique<ChildProcess>(ChildOptions {.name = "platform-standin",
            .binary = PLATFORM_BINARY,
            .arguments = {"--writes-per-second", "0", "--reads-per-second", "0", "--listen-port", std::to_string(port)}});
        platformPort_ = platform_->waitForPort();
    }

    /// Applies the example files with this queue limit. Calls with different limits create different revisions.
    void apply(unsigned queueLimit) const
    {
        std::ifstream source(std::string(EXAMPLES_DIR) + "/base.toml");
        std::string text((std::istreambuf_iterator<char>(source)), std::istreambuf_iterator<char>());
        const std::string old = "queue-limit = 512";
        text.replace(text.find(old), old.size(), "queue-limit = " + std::to_string(queueLimit));
        const std::filesystem::path base = std::filesystem::temp_directory_path() / ("mulberrywall-base-" + support::makeRandomId() + ".toml");
        std::ofstream(base) << text;
        std::vector<std::string> arguments {"apply", "--base", base.string(), "--platform", "127.0.0.1:" + std::to_string(platformPort_)};
        for (const char *site : {"dc-a", "dc-b", "dc-c"}) {
            arguments.insert(arguments.end(), {"--overlay", std::string(EXAMPLES_DIR) + "/" + site + ".toml"});
        }
        ChildProcess process({.name = "mulberrywall-ctl", .binary = CTL_BINARY, .arguments = arguments});
        ASSERT_EQ(process.waitForEnd(), support::toInt(support::ExitCode::Success)) << process.output();
        std::filesystem::remove(base);
    }

    /// Starts a router. The first one is the seed of the others.
    RouterNode &startRouter(const std::string &dataCentre, std::uint16_t platformPort)
    {
        std::vector<std::string> arguments {"--instance", "router-" + std::to_string(routers_.size()), "--data-centre", dataCentre};
        for (const char *listener : {"--caller-listen", "--admin-listen", "--peer-listen", "--membership-listen"}) {
            arguments.insert(arguments.end(), {listener, "127.0.0.1:0"});
        }
        arguments.insert(arguments.end(), {"--platform", "127.0.0.1:" + std::to_string(platformPort)});
        if (!routers_.empty()) {
            const std::uint16_t seed = routers_.front().process->waitForPort("membership");
            arguments.insert(arguments.end(), {"--seeds", "127.0.0.1:" + std::to_string(seed)});
        }
        RouterNode node;
        node.process = std::make_unique<ChildProcess>(
            ChildOptions {.name = arguments[1], .binary = ROUTER_BINARY, .arguments = arguments, .environment = {{"MULBERRYWALL_PEER_SECRET", "test-secret"}}});
        node.adminPort = node.process->waitForPort("admin");
        routers_.push_back(std::move(node));
        return routers_.back();
    }

    /// Returns the number of the revision in force at the router, or 0 while it has no configuration.
    static std::int64_t revisionOf(const RouterNode &router)
    {
        const boost::json::object status = getJson(router.adminPort, "/v1/status");
        const boost::json::value *revision = status.if_contains("revision");
        return revision == nullptr ? 0 : revision->to_number<std::int64_t>();
    }

    /// Expects that all routers apply the revision within the bound.
    void expectInForceEverywhere(std::int64_t revision)
    {
        const auto start = std::chrono::steady_clock::now();
        for (const RouterNode &router : routers_) {
            waitUntil("revision " + std::to_string(revision), [&] { return revisionOf(router) == revision; });
        }
        EXPECT_LT(std::chrono::steady_clock::now() - start, inForceBound);
    }

    /// Port 9 of the loopback address refuses connections at once.
    static constexpr std::uint16_t unreachablePlatformPort = 9;

    std::unique_ptr<ChildProcess> platform_;
    std::uint16_t platformPort_ = 0;
    std::vector<RouterNode> routers_;
};

} // namespace

// Guards against data centres that miss a change because they cannot reach the platform themselves.
TEST_F(RouterRevisionTest, PeersDistributeRevision)
{
    startRouter("dc-a", platformPort_);
    startRouter("dc-b", unreachablePlatformPort);
    startRouter("dc-c", unreachablePlatformPort);
    apply(100);
    expectInForceEverywhere(1);
    apply(101);
    expectInForceEverywhere(2);
}

// Guards against a replacement router that cannot serve because it starts during an outage of the platform.
TEST_F(RouterRevisionTest, RouterStartsDuringPlatformOutage)
{
    startRouter("dc-a", platformPort_);
    startRouter("dc-b", platformPort_);
    apply(100);
    apply(101);
    expectInForceEverywhere(2);
    postJson(platformPort_, "/control", {{"outage", "refuse"}});
    startRouter("dc-c", platformPort_);
    expectInForceEverywhere(2);
}

// Guards against a revision that is lost, or late at most routers, because the platform fails when only one
// router has read it.
TEST_F(RouterRevisionTest, PlatformFailsAfterFirstRead)
{
    for (const char *dataCentre : {"dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c"}) {
        startRouter(dataCentre, platformPort_);
    }
    apply(100);
    expectInForceEverywhere(1);
    for (std::size_t index = 1; index < routers_.size(); ++index) {
        routers_[index].process->sendSignal(SIGSTOP);
    }
    apply(101);
    waitUntil("the first router reads the revision", [&] { return revisionOf(routers_.front()) == 2; });
    platform_.reset();
    for (std::size_t index = 1; index < routers_.size(); ++index) {
        routers_[index].process->sendSignal(SIGCONT);
    }
    expectInForceEverywhere(2);
}

// Guards against a data centre that misses changes while it cannot reach the platform, or that reverts to an
// older revision when it can reach it again.
TEST_F(RouterRevisionTest, DataCentreIsolatedFromPlatform)
{
    ChildProcess proxy({.name = "fault-proxy", .binary = PROXY_BINARY, .arguments = {"--seed", "1"}});
    const std::uint16_t control = proxy.waitForPort();
    const Reply route = send(
        {.port = control, .method = "PUT", .target = "/routes/platform", .body = boost::json::serialize(boost::json::object {{"target", platformPort_}})});
    const auto proxiedPort = route.json().at("port").to_number<std::uint16_t>();
    startRouter("dc-a", platformPort_);
    startRouter("dc-b", platformPort_);
    startRouter("dc-c", proxiedPort);
    startRouter("dc-c", proxiedPort);
    apply(100);
    expectInForceEverywhere(1);
    // In the first round the proxy refuses connections at once, in the second round they hang.
    std::int64_t revision = 1;
    for (const boost::json::object &faults : {boost::json::object {{"cut", true}}, boost::json::object {{"pauseAccept", true}, {"swallowToTarget", true}}}) {
        postJson(control, "/routes/platform/faults", faults);
        apply(100 + static_cast<unsigned>(revision));
        expectInForceEverywhere(++revision);
        apply(100 + static_cast<unsigned>(revision));
        expectInForceEverywhere(++revision);
        postJson(control, "/routes/platform/faults", {});
        apply(100 + static_cast<unsigned>(revision));
        expectInForceEverywhere(++revision);
    }
}

// Guards against a stale response of the store that makes a router revert to an older revision.
TEST_F(RouterRevisionTest, NeverRevertsToOlderRevision)
{
    startRouter("dc-a", platformPort_);
    startRouter("dc-b", platformPort_);
    apply(100);
    apply(101);
    expectInForceEverywhere(2);
    const std::uint16_t port = platformPort_;
    platform_.reset();
    startPlatform(port);
    apply(300);
    // After more than six reads both routers have read the older head.
    const auto headReads = [&] {
        return getJson(platformPort_, "/control").at("reads").to_number<std::int64_t>();
    };
    const std::int64_t before = headReads();
    waitUntil("reads of the older head", [&] { return headReads() > before + 6; });
    expectInForceEverywhere(2);
}

} // namespace mulberrywall::harness
