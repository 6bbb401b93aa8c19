#include "Harness/ChildProcess.h"
#include "Harness/TestClient.h"
#include "Harness/Wait.h"

#include "mulberrywall/Support/Ids.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

/// OrdersFenced: a controller that was paused until its lease expired changes no engine afterwards.
namespace mulberrywall::harness
{

namespace
{

class OrdersFencedTest : public testing::Test
{
protected:
    OrdersFencedTest()
        : directory_(std::filesystem::temp_directory_path() / ("mulberrywall-orders-" + support::makeRandomId()))
    {
        std::filesystem::create_directories(directory_);
        platformPort_ = platform_.waitForPort();
        checkingPort_ = checkingEngine_.waitForPort();
        ignoringPort_ = ignoringEngine_.waitForPort();
    }
    ~OrdersFencedTest() override
    {
        std::filesystem::remove_all(directory_);
    }

    /// Applies a revision in which both engines are to load these models.
    void apply(const std::vector<std::string> &models)
    {
        std::ofstream base(directory_ / "base.toml");
        base << "[classes.fast]\ntier = 0\nfirst-token = \"1s\"\n";
        std::string pools;
        for (const std::string &model : models) {
            base << "[pools." << model << "]\nkind = \"model-engine\"\n";
            pools += (pools.empty() ? "\"" : ", \"") + model + "\"";
        }
        base.close();
        std::ofstream overlay(directory_ / "dc-a.toml");
        overlay << "data-centre = \"dc-a\"\n";
        for (const auto &[name, port] : {std::pair("checking", checkingPort_), std::pair("ignoring", ignoringPort_)}) {
            overlay << "[endpoints." << name << "]\naddress = \"127.0.0.1\"\nport = " << port << "\npools = [" << pools << "]\n"
                    << (name == std::string("checking") ? "supports = [\"checks-fencing\"]\n" : "");
        }
        overlay.close();
        ChildProcess process({.name = "mulberrywall-ctl",
            .binary = CTL_BINARY,
            .arguments = {"apply",
                "--base",
                (directory_ / "base.toml").string(),
                "--overlay",
                (directory_ / "dc-a.toml").string(),
                "--platform",
                "127.0.0.1:" + std::to_string(platformPort_)}});
        ASSERT_EQ(process.waitForEnd(), 0) << process.output();
    }

    [[nodiscard]] std::unique_ptr<ChildProcess> startController(const std::string &instance) const
    {
        return std::make_unique<ChildProcess>(ChildOptions {.name = instance,
            .binary = CONTROLLER_BINARY,
            .arguments = {"--platform",
                "127.0.0.1:" + std::to_string(platformPort_),
                "--data-centre",
                "dc-a",
                "--instance",
                instance,
                "--lease-ms",
                "1500",
                "--renew-ms",
                "300",
                "--margin-ms",
                "300",
                "--engine-timeout-ms",
                "150",
                "--order-ttl-ms",
                "300",
                "--lease-poll-ms",
                "100",
                "--engine-interval-ms",
                "100",
                "--head-interval-ms",
                "100"}});
    }

    static std::size_t modelCount(std::uint16_t port)
    {
        return getJson(port, "/v1/state").at("models").as_array().size();
    }

    void waitForModels(std::size_t count) const
    {
        for (const std::uint16_t port : {checkingPort_, ignoringPort_}) {
            waitUntil(std::to_string(count) + " models", [&] { return modelCount(port) == count; });
        }
    }

    /// Expects that the last order which the engine carried out has the highest fencing number that it received.
    static void expectLastOrderIsNewest(std::uint16_t port)
    {
        const boost::json::object state = getJson(port, "/v1/state");
        EXPECT_EQ(state.at("lastOrderFencing").to_number<std::uint64_t>(), state.at("fencing").to_number<std::uint64_t>());
    }

    std::filesystem::path directory_;
    ChildProcess platform_ {{.name = "platform-standin", .binary = PLATFORM_BINARY, .arguments = {"--writes-per-second", "0", "--reads-per-second", "0"}}};
    ChildProcess checkingEngine_ {{.name = "engine-standin", .binary = ENGINE_BINARY, .arguments = {"--models", "a", "--model-load-ms", "10"}}};
    ChildProcess ignoringEngine_ {
        {.name = "engine-standin", .binary = ENGINE_BINARY, .arguments = {"--models", "a", "--model-load-ms", "10", "--ignore-fencing"}}};
    std::uint16_t platformPort_ = 0;
    std::uint16_t checkingPort_ = 0;
    std::uint16_t ignoringPort_ = 0;
};

} // namespace

// Guards against a lease holder that continues after a pause, still acts as the holder and resets engines to
// an old state.
TEST_F(OrdersFencedTest, PausedHolderChangesNoEngine)
{
    apply({"a", "b"});
    const auto first = startController("controller-1");
    waitForModels(2);
    first->sendSignal(SIGSTOP);

    const auto second = startController("controller-2");
    second->waitForLine("lease acquired", [](const ChildProcess::Line &line) { return line.at("message") == "lease acquired"; });
    apply({"a", "b", "c"});
    waitForModels(3);

    first->sendSignal(SIGCONT);
    first->waitForLine("lease lost", [](const ChildProcess::Line &line) { return std::string_view(line.at("message").as_string()).starts_with("lease lost"); });
    apply({"a", "b", "c", "d"});
    waitForModels(4);
    for (const std::uint16_t port : {checkingPort_, ignoringPort_}) {
        expectLastOrderIsNewest(port);
    }
}

// Guards against a data centre whose engines receive no orders after its controller was killed.
TEST_F(OrdersFencedTest, KilledHolderIsReplaced)
{
    apply({"a", "b"});
    const auto first = startController("controller-1");
    waitForModels(2);
    const auto second = startController("controller-2");
    first->sendSignal(SIGKILL);
    apply({"a", "b", "c"});
    waitForModels(3);
}

} // namespace mulberrywall::harness
