#include "Engine/Engine.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

namespace
{

namespace asio = boost::asio;
using namespace mulberrywall;

struct Settings
{
    std::uint16_t port = 0;
    std::int64_t baseTokenUs = 2'000;
    std::int64_t prefillTokenUs = 20;
    std::int64_t loadReportLagMs = 500;
    std::int64_t cacheEventLagMs = 300;
    std::int64_t modelLoadMs = 200;
    bool ignoreFencing = false;
    standin::EngineOptions engine;
};

int run(const Settings &settings)
{
    support::initializeLog({.processName = "engine-standin"});
    standin::EngineOptions options = settings.engine;
    options.baseTokenTime = std::chrono::microseconds(settings.baseTokenUs);
    options.prefillTokenTime = std::chrono::microseconds(settings.prefillTokenUs);
    options.loadReportLag = std::chrono::milliseconds(settings.loadReportLagMs);
    options.cacheEventLag = std::chrono::milliseconds(settings.cacheEventLagMs);
    options.modelLoadTime = std::chrono::milliseconds(settings.modelLoadMs);
    options.checksFencing = !settings.ignoreFencing;
    asio::io_context context(1);
    standin::Engine engine(context, options);
    const auto server = http::Server::create(context,
        {.listen = {asio::ip::address_v4::loopback(), settings.port}, .limits = {.maxBodyBytes = 64 * 1024 * 1024}},
        [&engine](const http::ServerExchangePtr &exchange) { engine.handle(exchange); });
    server->start();
    support::log(support::Severity::Info, "listening", {{"port", server->localEndpoint().port()}});
    support::onTerminationSignal(context, [&] { engine.leave([&context] { context.stop(); }); });
    context.run();
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings;
    bool checkSettings = false;
    CLI::App app("model engine for tests", "engine-standin");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--port", settings.port, "port on the loopback address; 0 lets the system choose")->capture_default_str();
    app.add_option("--models", settings.engine.models, "names of the loaded models")->delimiter(',')->capture_default_str();
    app.add_option("--batch-limit", settings.engine.batchLimit, "requests that run at once")->capture_default_str();
    app.add_option("--base-token-us", settings.baseTokenUs, "interval between tokens of a batch of one")->capture_default_str();
    app.add_option("--batch-slope", settings.engine.batchSlope, "relative growth of the interval per request in the batch")->capture_default_str();
    app.add_option("--prefill-token-us", settings.prefillTokenUs, "time per prompt token that is not cached")->capture_default_str();
    app.add_option("--cache-blocks", settings.engine.cacheBlocks, "entries of the prefix cache")->capture_default_str();
    app.add_option("--load-report-lag-ms", settings.loadReportLagMs, "age of the load report")->capture_default_str();
    app.add_option("--cache-event-lag-ms", settings.cacheEventLagMs, "delay of cache events")->capture_default_str();
    app.add_option("--cache-event-gap", settings.engine.cacheEventGap, "every n-th cache event is lost; 0 loses none")->capture_default_str();
    app.add_option("--model-load-ms", settings.modelLoadMs, "time to load a model that an order names")->capture_default_str();
    app.add_flag("--ignore-fencing", settings.ignoreFencing, "accept orders with an old fencing number");
    app.add_option("--order-key", settings.engine.orderKey, "bearer key that orders need; empty accepts every sender");
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return run(settings); });
}
