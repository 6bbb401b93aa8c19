#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <map>
#include <string>

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace mulberrywall;
using http::ServerExchangePtr;
using http::Status;

constexpr int crashExitCode = 70;

/// Behaviour of the service, set with POST /control and the JSON body {"delayMs", "refuse",
/// "leaving", "fault"}.
struct Behaviour
{
    /// Time between the run of a request and its response.
    std::chrono::milliseconds delay {0};
    /// Requests are refused without a run.
    bool refuse = false;
    /// As refuse; in addition, /healthz reports the service as unavailable.
    bool leaving = false;
    /// Fault injected into each request: "" (none), "crash-before-run" and "crash-after-run" (the
    /// process exits) or "drop-after-run" (the connection is closed without a response).
    std::string fault;
};

/// Simulates a plain service that counts its runs by request ID and by body. Not thread-safe: all
/// calls must come from one thread.
class Service
{
public:
    explicit Service(asio::io_context &context)
        : context_(context)
    {
    }

    void handle(const ServerExchangePtr &exchange)
    {
        const std::string target(exchange->request().target());
        const std::string_view path = http::pathOf(target);
        if (path == "/control") {
            handleControl(exchange);
            return;
        }
        if (path == "/counts") {
            reportCounts(exchange);
            return;
        }
        if (path == "/healthz") {
            exchange->respond(http::makeJsonResponse(behaviour_.leaving ? Status::service_unavailable : Status::ok, "{}"));
            return;
        }
        run(exchange, target);
    }

    /// Refuses new requests and calls the handler once all active requests have ended.
    void leave(std::function<void()> handler)
    {
        behaviour_.leaving = true;
        onIdle_ = std::move(handler);
        notifyIfIdle();
    }

private:
    void run(const ServerExchangePtr &exchange, const std::string &target)
    {
        if (behaviour_.refuse || behaviour_.leaving) {
            ++refused_;
            http::Response response = http::makeProblemResponse(
                {.status = Status::service_unavailable, .title = "refused", .detail = behaviour_.leaving ? "the service is leaving" : "the service refuses"});
            response.set(http::header::notRun, "1");
            exchange->respond(std::move(response));
            return;
        }
        if (behaviour_.fault == "crash-before-run") {
            std::_Exit(crashExitCode);
        }
        const std::string id(http::fieldValue(exchange->request(), http::header::requestId));
        const std::string &body = exchange->request().body();
        ++runsByRequest_[id];
        const std::uint64_t runNumber = ++runsByBody_[body];
        ++runs_;
        // The counters are lost when the process crashes, so the log also records each run.
        support::log(support::Severity::Info, "run started", {{"request", id}, {"body", body}});
        if (behaviour_.fault == "crash-after-run") {
            std::_Exit(crashExitCode);
        }
        if (behaviour_.fault == "drop-after-run") {
            exchange->abortStream();
            return;
        }
        const json::object result {{"path", target}, {"body", body}, {"run", runNumber}};
        ++active_;
        auto timer = std::make_shared<asio::steady_timer>(context_, behaviour_.delay);
        timer->async_wait([this, timer, exchange, text = json::serialize(result)](const boost::system::error_code &) {
            exchange->respond(http::makeJsonResponse(Status::ok, text));
            --active_;
            notifyIfIdle();
        });
    }

    void handleControl(const ServerExchangePtr &exchange)
    {
        boost::system::error_code error;
        const json::value body = json::parse(exchange->request().body(), error);
        if (error || !body.is_object()) {
            exchange->respond(http::makeProblemResponse({.status = Status::bad_request, .title = "bad control", .detail = "the body is not a JSON object"}));
            return;
        }
        for (const auto &[name, value] : body.get_object()) {
            if (name == "delayMs") {
                behaviour_.delay = std::chrono::milliseconds(value.to_number<std::int64_t>());
            } else if (name == "refuse") {
                behaviour_.refuse = value.as_bool();
            } else if (name == "leaving") {
                behaviour_.leaving = value.as_bool();
            } else if (name == "fault") {
                behaviour_.fault = std::string(value.as_string());
            }
        }
        exchange->respond(http::makeJsonResponse(Status::ok, "{}"));
    }

    void reportCounts(const ServerExchangePtr &exchange)
    {
        json::object requests(runsByRequest_.begin(), runsByRequest_.end());
        json::object bodies(runsByBody_.begin(), runsByBody_.end());
        const json::object counts {{"runs", runs_}, {"refused", refused_}, {"active", active_}, {"requests", requests}, {"bodies", bodies}};
        exchange->respond(http::makeJsonResponse(Status::ok, json::serialize(counts)));
    }

    void notifyIfIdle()
    {
        if (!onIdle_ || active_ > 0) {
            return;
        }
        // Delays the handler because the last response is still being written.
        auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(50));
        timer->async_wait([timer, handler = std::exchange(onIdle_, nullptr)](const boost::system::error_code &) { handler(); });
    }

    asio::io_context &context_;
    Behaviour behaviour_;
    std::uint64_t runs_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t active_ = 0;
    std::map<std::string, std::uint64_t> runsByRequest_;
    std::map<std::string, std::uint64_t> runsByBody_;
    std::function<void()> onIdle_;
};

int run(std::uint16_t port)
{
    support::initializeLog({.processName = "service-standin"});
    asio::io_context context(1);
    Service service(context);
    const auto server = http::Server::create(
        context, {.listen = {asio::ip::address_v4::loopback(), port}}, [&service](const ServerExchangePtr &exchange) { service.handle(exchange); });
    server->start();
    support::log(support::Severity::Info, "listening", {{"port", server->localEndpoint().port()}});
    support::onTerminationSignal(context, [&] { service.leave([&context] { context.stop(); }); });
    context.run();
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    std::uint16_t port = 0;
    bool checkSettings = false;
    CLI::App app("plain service for tests", "service-standin");
    support::addCommonFlags(app, checkSettings);
    app.add_option("--port", port, "port on the loopback address; 0 lets the system choose")->capture_default_str();
    return support::parseAndRun(app, argc, argv, checkSettings, [&port] { return run(port); });
}
