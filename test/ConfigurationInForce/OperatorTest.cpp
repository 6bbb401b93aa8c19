#include "Harness/ChildProcess.h"
#include "Harness/TestClient.h"
#include "Harness/Wait.h"

#include "mulberrywall/Configuration/Revision.h"
#include "mulberrywall/Configuration/RevisionStore.h"
#include "mulberrywall/Support/Ids.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/address.hpp>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <memory>
#include <vector>

/// ConfigurationInForce, operator's side: the result that `mulberrywall-ctl apply` reports matches the
/// revision stored in the platform.
namespace mulberrywall::harness
{

namespace
{

using support::ExitCode;

class OperatorTest : public testing::Test
{
protected:
    OperatorTest()
        : directory_(std::filesystem::temp_directory_path() / ("mulberrywall-operator-" + support::makeRandomId()))
    {
        std::filesystem::copy(EXAMPLES_DIR, directory_);
        port_ = platform_.waitForPort();
    }
    ~OperatorTest() override
    {
        std::filesystem::remove_all(directory_);
    }

    /// Writes a copy of the base file with another queue limit of pool "atlas-mini" and returns its path.
    std::string baseWithQueueLimit(unsigned limit)
    {
        std::ifstream source(directory_ / "base.toml");
        std::string text((std::istreambuf_iterator<char>(source)), std::istreambuf_iterator<char>());
        const std::string old = "queue-limit = 512";
        text.replace(text.find(old), old.size(), "queue-limit = " + std::to_string(limit));
        const std::filesystem::path path = directory_ / ("base-" + std::to_string(limit) + ".toml");
        std::ofstream(path) << text;
        return path.string();
    }

    std::unique_ptr<ChildProcess> startApply(const std::string &base, std::vector<std::string> arguments = {})
    {
        std::vector<std::string> all {"apply", "--base", base, "--platform", "127.0.0.1:" + std::to_string(port_)};
        for (const char *site : {"dc-a", "dc-b", "dc-c"}) {
            all.insert(all.end(), {"--overlay", (directory_ / (std::string(site) + ".toml")).string()});
        }
        all.insert(all.end(), std::make_move_iterator(arguments.begin()), std::make_move_iterator(arguments.end()));
        return std::make_unique<ChildProcess>(ChildOptions {.name = "mulberrywall-ctl", .binary = CTL_BINARY, .arguments = all});
    }

    /// Expects that the process exits with this code and has printed the text.
    static void expectExit(ChildProcess &process, ExitCode code, const std::string &text)
    {
        EXPECT_EQ(process.waitForEnd(), support::toInt(code)) << process.output();
        waitUntil("output \"" + text + "\"", [&] { return process.output().find(text) != std::string::npos; });
    }

    void apply(const std::string &base, ExitCode code, const std::string &text, std::vector<std::string> arguments = {})
    {
        expectExit(*startApply(base, std::move(arguments)), code, text);
    }

    boost::json::object controlPlatform(const boost::json::object &message)
    {
        return postJson(port_, "/control", message);
    }

    boost::json::array revisionRows()
    {
        return getJson(port_, "/v1/tables/configuration/rows?prefix=revisions/").at("rows").as_array();
    }

    std::string examplePath(const char *name)
    {
        return (directory_ / name).string();
    }

    std::filesystem::path directory_;
    ChildProcess platform_ {{.name = "platform-standin", .binary = PLATFORM_BINARY, .arguments = {"--writes-per-second", "0", "--reads-per-second", "0"}}};
    std::uint16_t port_ = 0;
};

// Guards against an applied revision that differs from the files, and against new revisions without a change.
TEST_F(OperatorTest, AppliedRevisionMatchesFiles)
{
    apply(examplePath("base.toml"), ExitCode::Success, "revision 1 applied");
    apply(examplePath("base.toml"), ExitCode::Success, "nothing applied");
    apply(baseWithQueueLimit(7), ExitCode::Success, "all: ~ pools.atlas-mini.queue-limit: 512 -> 7");
    const boost::json::array rows = revisionRows();
    ASSERT_EQ(rows.size(), 2U);
    const auto revision = configuration::revisionFromJson(std::string(rows.at(1).at("value").as_string()));
    ASSERT_TRUE(revision);
    EXPECT_EQ(revision->number, 2U);
    EXPECT_EQ(configuration::findPool(revision->sites.at(2), support::PoolId("atlas-mini"))->queueLimit, 7U);
}

// Guards against a delta that yields another configuration than the complete revision.
TEST_F(OperatorTest, DeltaYieldsSameRevision)
{
    apply(examplePath("base.toml"), ExitCode::Success, "revision 1 applied");
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied");
    support::WorkerPool pool(1);
    const configuration::RevisionStore store(pool.context().get_executor(), {.address = {boost::asio::ip::make_address("127.0.0.1"), port_}});
    const auto fetch = [&](std::uint64_t number, std::shared_ptr<const configuration::Revision> deltaBase) {
        std::promise<configuration::RevisionResult> result;
        store.fetchRevision(number, std::move(deltaBase), [&result](configuration::RevisionResult fetched) { result.set_value(std::move(fetched)); });
        return result.get_future().get().revision;
    };
    const auto first = fetch(1, nullptr);
    const std::uint64_t readsBefore = controlPlatform({}).at("reads").to_number<std::uint64_t>();
    const auto fromDelta = fetch(2, first);
    EXPECT_EQ(controlPlatform({}).at("reads").to_number<std::uint64_t>(), readsBefore + 1);
    const auto whole = fetch(2, nullptr);
    ASSERT_NE(fromDelta, nullptr);
    ASSERT_NE(whole, nullptr);
    EXPECT_EQ(*fromDelta, *whole);
}

// Guards against concurrent changes that are both reported as applied, and against a change that overwrites another.
TEST_F(OperatorTest, OneOfTwoConcurrentChangesIsApplied)
{
    apply(examplePath("base.toml"), ExitCode::Success, "revision 1 applied");
    // The latency makes the two commits overlap; --based-on makes the result independent of a late start of one process.
    controlPlatform({{"latencyMs", 200}});
    const std::unique_ptr<ChildProcess> first = startApply(baseWithQueueLimit(7), {"--based-on", "1"});
    const std::unique_ptr<ChildProcess> second = startApply(baseWithQueueLimit(9), {"--based-on", "1"});
    const int firstCode = first->waitForEnd();
    const int secondCode = second->waitForEnd();
    ChildProcess &rejected = firstCode == 0 ? *second : *first;
    EXPECT_EQ(std::min(firstCode, secondCode), support::toInt(ExitCode::Success));
    expectExit(rejected, ExitCode::Conflict, firstCode == 0 ? "7 -> 9" : "9 -> 7");
    EXPECT_EQ(revisionRows().size(), 2U);
    controlPlatform({{"latencyMs", 0}});
    apply(baseWithQueueLimit(11), ExitCode::Conflict, "--based-on 2", {"--based-on", "1"});
    apply(baseWithQueueLimit(11), ExitCode::Success, "revision 3 applied", {"--based-on", "2"});
}

// Guards against a lost commit response that is reported as a failure or leads to a second revision.
TEST_F(OperatorTest, PushIdResolvesLostResponse)
{
    controlPlatform({{"loseAnswers", 1}});
    apply(examplePath("base.toml"), ExitCode::Success, "revision 1 applied");
    EXPECT_EQ(controlPlatform({}).at("answersLost"), 1);
    EXPECT_EQ(revisionRows().size(), 1U);
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied", {"--push-id", "p2"});
    apply(baseWithQueueLimit(9), ExitCode::Success, "revision 3 applied");
    // The history contains this push, although a later revision is in force.
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied", {"--push-id", "p2", "--based-on", "1"});
    EXPECT_EQ(revisionRows().size(), 3U);
}

// Guards against an outage that is reported as success, or as a failed change although the change took effect.
TEST_F(OperatorTest, OutageLeavesResultUnknown)
{
    apply(examplePath("base.toml"), ExitCode::Success, "revision 1 applied");
    controlPlatform({{"outage", "refuse"}});
    apply(baseWithQueueLimit(7), ExitCode::Unreachable, "cannot read the head");
    controlPlatform({{"outage", "none"}});
    EXPECT_EQ(revisionRows().size(), 1U);

    // The commit takes effect but its response is lost, and all later calls fail.
    controlPlatform({{"loseAnswers", 1}, {"outageAfterLostAnswer", 1}});
    apply(baseWithQueueLimit(7), ExitCode::Failure, "--push-id p7", {"--push-id", "p7", "--timeout-ms", "500"});
    controlPlatform({{"outage", "none"}});
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied", {"--push-id", "p7"});
    EXPECT_EQ(revisionRows().size(), 2U);
}

// Guards against a site that is removed because the operator omitted its overlay.
TEST_F(OperatorTest, MissingOverlayIsRejected)
{
    apply(examplePath("base.toml"), ExitCode::Success, "revision 1 applied");
    const std::vector<std::string> arguments {
        "apply", "--base", examplePath("base.toml"), "--overlay", examplePath("dc-a.toml"), "--platform", "127.0.0.1:" + std::to_string(port_)};
    ChildProcess process({.name = "mulberrywall-ctl", .binary = CTL_BINARY, .arguments = arguments});
    expectExit(process, ExitCode::InvalidConfiguration, "lack data centre \"dc-b\"");
    EXPECT_EQ(revisionRows().size(), 1U);
}

} // namespace

} // namespace mulberrywall::harness
