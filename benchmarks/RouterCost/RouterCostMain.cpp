#include "Harness/Deployment.h"

#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <unistd.h>

namespace
{

using namespace mulberrywall;
using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

/// Command-line settings of the benchmark.
struct RouterCostSettings
{
    unsigned pairs = 2'000;
    unsigned tokens = 1;
    unsigned concurrency = 32;
    double seconds = 5;
    unsigned workers = 1;
};

harness::DeploymentOptions deploymentOptions(const RouterCostSettings &settings)
{
    const std::string concurrency = std::to_string(settings.concurrency);
    return {.engines = 1,
        .maximumConcurrency = settings.concurrency,
        // The engine takes little time itself, so that the cost of the router dominates.
        .engineArguments = {"--base-token-us", "100", "--batch-slope", "0", "--prefill-token-us", "0", "--batch-limit", concurrency},
        .routerArguments = {"--workers", std::to_string(settings.workers)}};
}

/// Returns the user and system time that the process has used so far.
double cpuSecondsOf(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    // The program name, in parentheses, may contain spaces, so fields are counted from the last parenthesis: the next one is
    // field 3. User and system time are fields 14 and 15.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// Sends the call and returns the time until the response is complete. Throws std::runtime_error if the call fails.
Microseconds timeCall(const harness::Call &call)
{
    const Clock::time_point start = Clock::now();
    const harness::Reply reply = harness::send(call);
    const Microseconds duration = Clock::now() - start;
    if (!reply.done()) {
        throw std::runtime_error("a call failed: " + reply.error + reply.body);
    }
    return duration;
}

double quantile(std::vector<Microseconds> samples, double fraction)
{
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), position, samples.end());
    return position->count();
}

/// Sends single calls alternately to the engine and through the router, so that changes in the load of the machine affect
/// both equally.
boost::json::object measureLatency(harness::Deployment &deployment, const RouterCostSettings &settings)
{
    constexpr unsigned warmUp = 100;
    std::vector<Microseconds> direct;
    std::vector<Microseconds> routed;
    for (unsigned index = 0; index < warmUp + settings.pairs; ++index) {
        const harness::Call viaRouter = deployment.completion(0, "interactive", "question " + std::to_string(index), settings.tokens);
        harness::Call toEngine = viaRouter;
        toEngine.port = deployment.engine(0).port;
        toEngine.headers = {{"X-Request-Id", "direct-" + std::to_string(index)}};
        const Microseconds withoutRouter = timeCall(toEngine);
        const Microseconds withRouter = timeCall(viaRouter);
        if (index >= warmUp) {
            direct.push_back(withoutRouter);
            routed.push_back(withRouter);
        }
    }
    const auto describe = [](double median, double high) {
        return boost::json::object {{"p50", median}, {"p99", high}};
    };
    return {{"directUs", describe(quantile(direct, 0.5), quantile(direct, 0.99))},
        {"routedUs", describe(quantile(routed, 0.5), quantile(routed, 0.99))},
        {"addedUs", describe(quantile(routed, 0.5) - quantile(direct, 0.5), quantile(routed, 0.99) - quantile(direct, 0.99))}};
}

/// Keeps a fixed number of calls in flight until the end time: each call that ends starts the next one.
class ClosedLoop
{
public:
    ClosedLoop(const harness::Call &call, Clock::time_point end)
        : call_(call),
          end_(end)
    {
    }

    void run(unsigned concurrency)
    {
        for (unsigned index = 0; index < concurrency; ++index) {
            startCall();
        }
        context_.run();
    }

    [[nodiscard]] std::uint64_t completed() const
    {
        return completed_;
    }
    [[nodiscard]] std::uint64_t failed() const
    {
        return failed_;
    }

private:
    struct CallState
    {
        std::shared_ptr<http::ClientCall> call;
        http::Status status = http::Status::unknown;
    };

    void startCall()
    {
        if (Clock::now() >= end_) {
            return;
        }
        http::Request request(http::Verb::post, call_.target, 11);
        request.set(http::Field::host, "127.0.0.1");
        for (const auto &[name, value] : call_.headers) {
            request.set(name, value);
        }
        request.body() = call_.body;
        auto state = std::make_shared<CallState>();
        const http::ClientCallHandlers handlers {.onHeader =
                                                     [state](const http::ResponseHeader &header) {
                                                         state->status = header.result();
                                                         state->call->readMore();
                                                     },
            .onBody = [state](std::string_view) { state->call->readMore(); },
            .onEnd =
                [this, state](const http::ClientCallResult &result) {
                    const bool complete = result.stage == http::ClientCallStage::ResponseComplete && state->status == http::Status::ok;
                    ++(complete ? completed_ : failed_);
                    state->call.reset();
                    startCall();
                }};
        state->call
            = http::ClientCall::start(context_.get_executor(), {.peer = {boost::asio::ip::address_v4::loopback(), call_.port}}, std::move(request), handlers);
    }

    boost::asio::io_context context_ {1};
    const harness::Call &call_;
    Clock::time_point end_;
    std::uint64_t completed_ = 0;
    std::uint64_t failed_ = 0;
};

boost::json::object measureThroughput(harness::Deployment &deployment, const RouterCostSettings &settings)
{
    const harness::Call call = deployment.completion(0, "interactive", "question", settings.tokens);
    const pid_t pid = deployment.router(0).process->pid();
    const Clock::time_point start = Clock::now();
    const double cpuBefore = cpuSecondsOf(pid);
    ClosedLoop loop(call, start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(settings.seconds)));
    loop.run(settings.concurrency);
    const double cpuUsed = cpuSecondsOf(pid) - cpuBefore;
    const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
    const auto completed = static_cast<double>(loop.completed());
    constexpr double microsecondsPerSecond = 1e6;
    return {{"completed", loop.completed()},
        {"failed", loop.failed()},
        {"requestsPerSecond", completed / elapsed},
        {"routerCores", cpuUsed / elapsed},
        {"requestsPerSecondPerCore", cpuUsed > 0 ? completed / cpuUsed : 0.0},
        {"processorUsPerRequest", completed > 0 ? microsecondsPerSecond * cpuUsed / completed : 0.0}};
}

int run(const RouterCostSettings &settings)
{
    try {
        harness::Deployment deployment(deploymentOptions(settings));
        boost::json::object report {{"tokens", settings.tokens}, {"workers", settings.workers}};
        report["latency"] = measureLatency(deployment, settings);
        report["throughput"] = measureThroughput(deployment, settings);
        std::cout << boost::json::serialize(report) << '\n';
    } catch (const std::exception &error) {
        std::cerr << "router-cost: " << error.what() << '\n';
        return support::toInt(support::ExitCode::Failure);
    }
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    RouterCostSettings settings;
    bool checkSettings = false;
    CLI::App app("Measures the cost of the router compared with a direct connection to an engine stand-in; prints JSON", "router-cost");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--pairs", settings.pairs, "number of calls sent each way: directly and through the router")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--tokens", settings.tokens, "tokens per call")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--concurrency", settings.concurrency, "concurrent calls during the throughput measurement")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--seconds", settings.seconds, "duration of the throughput measurement")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--workers", settings.workers, "worker threads of the router")->capture_default_str();
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return run(settings); });
}
