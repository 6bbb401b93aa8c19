#include "Engine/Engine.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

namespace
{

namespace asio = boost::asio;
using namespace mulberrywall;

struct EngineSettings
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

int run(const EngineSettings &settings)
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
    EngineSettings settings;
    bool checkSettings = false;
    CLI::App app("model engine for tests", "engine-standin");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--port", settings.port, "port on the loopback address; 0 lets the system choose")->capture_default_str();
    app.add_option("--models", settings.engine.models, "names of the loaded models")->delimiter(',')->capture_default_str();
    app.add_option("--batch-limit", settings.engine.batchLimit, "maximum number of requests in a batch")->capture_default_str();
    app.add_option("--base-token-us", settings.baseTokenUs, "base of the inter-token latency in microseconds")->capture_default_str();
    app.add_option("--batch-slope", settings.engine.batchSlope, "relative increase of the inter-token latency per request in the batch")->capture_default_str();
    app.add_option("--prefill-token-us", settings.prefillTokenUs, "prefill time per prompt token that is not cached, in microseconds")->capture_default_str();
    app.add_option("--cache-blocks", settings.engine.cacheBlocks, "capacity of the prefix cache in blocks")->capture_default_str();
    app.add_option("--load-report-lag-ms", settings.loadReportLagMs, "minimum age of the reported load, in milliseconds")->capture_default_str();
    app.add_option("--cache-event-lag-ms", settings.cacheEventLagMs, "delay of cache events in milliseconds")->capture_default_str();
    app.add_option("--cache-event-gap", settings.engine.cacheEventGap, "drop every n-th cache event; 0 drops none")->capture_default_str();
    app.add_option("--model-load-ms", settings.modelLoadMs, "time to load a model that an order requests, in milliseconds")->capture_default_str();
    app.add_flag("--ignore-fencing", settings.ignoreFencing, "accept orders with an old fencing number");
    app.add_option("--order-key", settings.engine.orderKey, "bearer key that orders must carry; if empty, every sender is accepted");
    return support::parseAndRun(app, argc, argv, checkSettings, [&settings] { return run(settings); });
}
