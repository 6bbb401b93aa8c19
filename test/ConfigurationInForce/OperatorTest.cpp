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

/// ConfigurationInForce, the operator's side: what apply reports is what the platform has.
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

    static void expectEnd(ChildProcess &process, ExitCode code, const std::string &text)
    {
        EXPECT_EQ(process.waitForEnd(), support::toInt(code)) << process.output();
        waitUntil("output \"" + text + "\"", [&] { return process.output().find(text) != std::string::npos; });
    }

    void apply(const std::string &base, ExitCode code, const std::string &text, std::vector<std::string> arguments = {})
    {
        expectEnd(*startApply(base, std::move(arguments)), code, text);
    }

    boost::json::object control(const boost::json::object &message)
    {
        return postJson(port_, "/control", message);
    }

    boost::json::array revisionRows()
    {
        return getJson(port_, "/v1/tables/configuration/rows?prefix=revisions/").at("rows").as_array();
    }

    std::string example(const char *name)
    {
        return (directory_ / name).string();
    }

    std::filesystem::path directory_;
    ChildProcess platform_ {{.name = "platform-standin", .binary = PLATFORM_BINARY, .arguments = {"--writes-per-second", "0", "--reads-per-second", "0"}}};
    std::uint16_t port_ = 0;
};

// Guards against an applied revision that differs from the files, and against empty revisions.
TEST_F(OperatorTest, AppliesWhatTheFilesSay)
{
    apply(example("base.toml"), ExitCode::Success, "revision 1 applied");
    apply(example("base.toml"), ExitCode::Success, "nothing applied");
    apply(baseWithQueueLimit(7), ExitCode::Success, "all: ~ pools.atlas-mini.queue-limit: 512 -> 7");
    const boost::json::array rows = revisionRows();
    ASSERT_EQ(rows.size(), 2U);
    const auto revision = configuration::revisionFromJson(std::string(rows.at(1).at("value").as_string()));
    ASSERT_TRUE(revision);
    EXPECT_EQ(revision->number, 2U);
    EXPECT_EQ(configuration::findPool(revision->sites.at(2), support::PoolId("atlas-mini"))->queueLimit, 7U);
}

// Guards against a router that gets another configuration by the delta than by the whole revision.
TEST_F(OperatorTest, DeltaLeadsToTheSameRevision)
{
    apply(example("base.toml"), ExitCode::Success, "revision 1 applied");
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied");
    support::WorkerPool pool(1);
    const configuration::RevisionStore store(pool.context().get_executor(), {.address = {boost::asio::ip::make_address("127.0.0.1"), port_}});
    const auto fetch = [&](std::uint64_t number, std::shared_ptr<const configuration::Revision> known) {
        std::promise<configuration::RevisionResult> result;
        store.fetchRevision(number, std::move(known), [&result](configuration::RevisionResult fetched) { result.set_value(std::move(fetched)); });
        return result.get_future().get().revision;
    };
    const auto first = fetch(1, nullptr);
    const std::uint64_t readsBefore = control({}).at("reads").to_number<std::uint64_t>();
    const auto byDelta = fetch(2, first);
    EXPECT_EQ(control({}).at("reads").to_number<std::uint64_t>(), readsBefore + 1);
    const auto whole = fetch(2, nullptr);
    ASSERT_NE(byDelta, nullptr);
    ASSERT_NE(whole, nullptr);
    EXPECT_EQ(*byDelta, *whole);
}

// Guards against two operators who both believe that their change is in force, or a change that overwrites another.
TEST_F(OperatorTest, OneOfTwoOperatorsWins)
{
    apply(example("base.toml"), ExitCode::Success, "revision 1 applied");
    // The latency lets the two commits meet; the basis is given so that a late start of one changes nothing.
    control({{"latencyMs", 200}});
    const std::unique_ptr<ChildProcess> first = startApply(baseWithQueueLimit(7), {"--based-on", "1"});
    const std::unique_ptr<ChildProcess> second = startApply(baseWithQueueLimit(9), {"--based-on", "1"});
    const int firstCode = first->waitForEnd();
    const int secondCode = second->waitForEnd();
    ChildProcess &loser = firstCode == 0 ? *second : *first;
    EXPECT_EQ(std::min(firstCode, secondCode), support::toInt(ExitCode::Success));
    expectEnd(loser, ExitCode::Conflict, firstCode == 0 ? "7 -> 9" : "9 -> 7");
    EXPECT_EQ(revisionRows().size(), 2U);
    control({{"latencyMs", 0}});
    apply(baseWithQueueLimit(11), ExitCode::Conflict, "--based-on 2", {"--based-on", "1"});
    apply(baseWithQueueLimit(11), ExitCode::Success, "revision 3 applied", {"--based-on", "2"});
}

// Guards against a lost answer that is reported as a failure, or leads to a second revision.
TEST_F(OperatorTest, LostAnswerIsSettledByPushId)
{
    control({{"loseAnswers", 1}});
    apply(example("base.toml"), ExitCode::Success, "revision 1 applied");
    EXPECT_EQ(control({}).at("answersLost"), 1);
    EXPECT_EQ(revisionRows().size(), 1U);
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied", {"--push-id", "p2"});
    apply(baseWithQueueLimit(9), ExitCode::Success, "revision 3 applied");
    // The push is in the history, although a later one is in force.
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied", {"--push-id", "p2", "--based-on", "1"});
    EXPECT_EQ(revisionRows().size(), 3U);
}

// Guards against an outage that is reported as success, or as a failure although the change took effect.
TEST_F(OperatorTest, OutageIsReportedAsWhatIsKnown)
{
    apply(example("base.toml"), ExitCode::Success, "revision 1 applied");
    control({{"outage", "refuse"}});
    apply(baseWithQueueLimit(7), ExitCode::Unreachable, "cannot read the head");
    control({{"outage", "none"}});
    EXPECT_EQ(revisionRows().size(), 1U);

    // The commit is applied without an answer while all later calls fail.
    control({{"loseAnswers", 1}, {"outageAfterLostAnswer", 1}});
    apply(baseWithQueueLimit(7), ExitCode::Failure, "--push-id p7", {"--push-id", "p7", "--timeout-ms", "500"});
    control({{"outage", "none"}});
    apply(baseWithQueueLimit(7), ExitCode::Success, "revision 2 applied", {"--push-id", "p7"});
    EXPECT_EQ(revisionRows().size(), 2U);
}

// Guards against a site that goes out of service because its overlay was forgotten.
TEST_F(OperatorTest, ForgottenOverlayIsRefused)
{
    apply(example("base.toml"), ExitCode::Success, "revision 1 applied");
    const std::vector<std::string> arguments {
        "apply", "--base", example("base.toml"), "--overlay", example("dc-a.toml"), "--platform", "127.0.0.1:" + std::to_string(port_)};
    ChildProcess process({.name = "mulberrywall-ctl", .binary = CTL_BINARY, .arguments = arguments});
    expectEnd(process, ExitCode::InvalidConfiguration, "lack data centre \"dc-b\"");
    EXPECT_EQ(revisionRows().size(), 1U);
}

} // namespace

} // namespace mulberrywall::harness
