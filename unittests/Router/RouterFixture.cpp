#include "RouterFixture.h"

#include "mulberrywall/Router/CallerRequest.h"

#include <boost/asio/strand.hpp>
#include <boost/json/parse.hpp>

#include <thread>

namespace mulberrywall::router
{

namespace asio = boost::asio;
namespace json = boost::json;

ScriptedEndpoint::ScriptedEndpoint(asio::io_context &context, Script script)
    : script_(std::move(script)),
      server_(http::Server::create(
          context, {.listen = {asio::ip::make_address("127.0.0.1"), 0}}, [this](const http::ServerExchangePtr &exchange) { handle(exchange); }))
{
    server_->start();
}

void ScriptedEndpoint::handle(const http::ServerExchangePtr &exchange)
{
    // The router polls load and state of engines; the scripts respond only to callers' requests.
    if (exchange->request().method() == http::Verb::get) {
        exchange->respond(http::makeJsonResponse(queryStatus_, "{}"));
        return;
    }
    if (exchange->request().method() == http::Verb::delete_) {
        ++cancellations_;
        exchange->respond(http::makeJsonResponse(http::Status::ok, "{}"));
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        last_ = exchange->request();
    }
    ++requests_;
    script_(exchange);
}

std::string ScriptedEndpoint::lastRequestField(std::string_view name) const
{
    const std::scoped_lock lock(mutex_);
    return std::string(http::fieldValue(last_, name));
}

void ScriptedEndpoint::hold(const http::ServerExchangePtr &exchange)
{
    const std::scoped_lock lock(mutex_);
    held_.push_back(exchange);
}

std::string tokenText(std::uint64_t last)
{
    std::string text;
    for (std::uint64_t index = 0; index < last; ++index) {
        text += "t" + std::to_string(index) + " ";
    }
    return text;
}

/// Sends the text every 20 ms until the router closes the connection.
static void repeatChunk(const http::ServerExchangePtr &exchange, const std::string &text)
{
    exchange->writeChunk(text, [exchange, text](const boost::system::error_code &error) {
        if (error) {
            exchange->abortStream();
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(exchange->executor(), std::chrono::milliseconds(20));
        timer->async_wait([exchange, text, timer](const boost::system::error_code &) { repeatChunk(exchange, text); });
    });
}

static void endStream(const http::ServerExchangePtr &exchange, StreamEnd streamEnd)
{
    switch (streamEnd) {
    case StreamEnd::Done:
    case StreamEnd::CleanWithoutDone:
        exchange->finishStream();
        return;
    case StreamEnd::Break:
    case StreamEnd::BreakInsideEvent:
        exchange->abortStream();
        return;
    case StreamEnd::Hang:
        // The handler keeps the exchange alive until the router closes the connection.
        exchange->onCallerGone([exchange] { exchange->abortStream(); });
        return;
    case StreamEnd::Trickle:
        repeatChunk(exchange, "x");
        return;
    case StreamEnd::Comments:
        repeatChunk(exchange, ":\n\n");
        return;
    }
}

void streamTokens(const http::ServerExchangePtr &exchange, std::uint64_t last, StreamEnd streamEnd, const std::string &idPrefix)
{
    const std::string id = idPrefix + std::string(http::fieldValue(exchange->request(), http::header::requestId));
    const std::string resumeFrom(http::fieldValue(exchange->request(), http::header::resumeFrom));
    std::string events = "data: {\"id\":\"" + id + R"(","choices":[{"delta":{"role":"assistant"}}]})" + "\n\n";
    for (std::uint64_t index = resumeFrom.empty() ? 0 : std::stoull(resumeFrom); index < last; ++index) {
        events += "data: {\"id\":\"" + id + R"(","choices":[{"delta":{"content":"t)" + std::to_string(index) + " \"}}]}\n\n";
    }
    events += streamEnd == StreamEnd::Done ? "data: [DONE]\n\n" : "";
    events += streamEnd == StreamEnd::BreakInsideEvent ? "data: {\"id\":\"" + id + "\",\"choices\":[{\"del" : "";
    http::ResponseHeader header;
    header.result(http::Status::ok);
    header.set(http::Field::content_type, "text/event-stream");
    exchange->startStream(std::move(header), [exchange, events, streamEnd](const boost::system::error_code &) {
        exchange->writeChunk(events, [exchange, streamEnd](const boost::system::error_code &) { endStream(exchange, streamEnd); });
    });
}

void respondWith(const http::ServerExchangePtr &exchange, http::Status status, const std::string &body, bool notRun)
{
    http::Response response = http::makeJsonResponse(status, body);
    if (notRun) {
        response.set(http::header::notRun, "1");
    }
    exchange->respond(std::move(response));
}

RouterTest::~RouterTest()
{
    workers_.stop();
    workers_.join();
}

configuration::SiteConfiguration RouterTest::makeConfiguration()
{
    using std::chrono_literals::operator""s;
    const auto modelClass = [](const std::string &id) {
        return configuration::RequestClass {
            .id = support::ClassId(id), .targets = {.timeToFirstToken = 10s, .interTokenLatency = 10s}, .retryBudgetPercent = 100};
    };
    const auto serviceClass = [](const std::string &id, configuration::Idempotency idempotency) {
        return configuration::RequestClass {.id = support::ClassId(id), .targets = {.completion = 10s}, .idempotency = idempotency, .retryBudgetPercent = 100};
    };
    configuration::SiteConfiguration site {.dataCentre = support::DataCentreId("dc-a")};
    site.classes = {modelClass("interactive"),
        serviceClass("payment", configuration::Idempotency::NonIdempotent),
        serviceClass("lookup", configuration::Idempotency::Idempotent)};
    configuration::Organisation organisation {.id = support::OrganisationId("acme"), .keyHashes = {hashKey(testKey)}};
    for (const configuration::RequestClass &each : site.classes) {
        organisation.allowedClasses.push_back(each.id);
    }
    site.organisations = {organisation};
    site.pools = {{.id = support::PoolId("m")}, {.id = support::PoolId("ledger"), .kind = configuration::PoolKind::PlainService}};
    return site;
}

ScriptedEndpoint &RouterTest::addEndpoint(const std::string &pool, ScriptedEndpoint::Script script)
{
    endpoints_.push_back(std::make_unique<ScriptedEndpoint>(workers_.context(), std::move(script)));
    configuration_.endpoints.push_back({.id = support::EndpointId("endpoint-" + std::to_string(endpoints_.size())),
        .address = "127.0.0.1",
        .port = endpoints_.back()->port(),
        .pools = {support::PoolId(pool)},
        .support = {.resume = true}});
    return *endpoints_.back();
}

ScriptedEndpoint &RouterTest::addEngine(ScriptedEndpoint::Script script)
{
    return addEndpoint("m", std::move(script));
}

ScriptedEndpoint &RouterTest::addService(ScriptedEndpoint::Script script)
{
    return addEndpoint("ledger", std::move(script));
}

configuration::RequestClass &RouterTest::requestClass(std::string_view id)
{
    for (configuration::RequestClass &each : configuration_.classes) {
        if (each.id.value() == id) {
            return each;
        }
    }
    throw std::out_of_range("no such class");
}

void RouterTest::startRouter(RouterOptions options, StartConfiguration start)
{
    serviceOptions_.instance = support::InstanceId("router");
    serviceOptions_.router = options;
    serviceOptions_.callerServer.listen = {asio::ip::make_address("127.0.0.1"), 0};
    serviceOptions_.adminServer.listen = {asio::ip::make_address("127.0.0.1"), 0};
    service_ = std::make_unique<RouterService>(workers_.context(), serviceOptions_, policy::standardPolicy());
    if (start == StartConfiguration::Local) {
        service_->configure(configuration_);
    }
    service_->start();
}

http::Request RouterTest::makeRequest(std::string_view target, std::string_view className, std::string body) const
{
    http::Request request(http::Verb::post, target, 11);
    request.set("Authorization", "Bearer " + std::string(testKey));
    request.set(http::header::requestClass, className);
    request.body() = std::move(body);
    return request;
}

static http::BufferedResponse fetchAndWait(asio::io_context &context, const asio::ip::tcp::endpoint &peer, http::Request request)
{
    const auto promise = std::make_shared<std::promise<http::BufferedResponse>>();
    const auto call = http::fetch(asio::make_strand(context), {.peer = peer}, std::move(request), [promise](http::BufferedResponse response) {
        promise->set_value(std::move(response));
    });
    return promise->get_future().get();
}

RouterTest::CallerResponse RouterTest::send(http::Request request)
{
    CallerResponse reply {.response = fetchAndWait(workers_.context(), service_->callerEndpoint(), std::move(request))};
    reply.outcome = http::fieldValue(reply.response.header, http::header::outcome);
    ServerSentEventParser parser;
    for (const ServerSentEvent &event : parser.feed(reply.response.body)) {
        reply.events.push_back(event.data);
        boost::system::error_code error;
        const json::value data = json::parse(event.data, error);
        if (error) {
            continue;
        }
        if (const json::value *outcome = data.as_object().if_contains("outcome")) {
            reply.outcome = outcome->as_string();
        }
        if (const json::value *content = data.find_pointer("/choices/0/delta/content", error)) {
            reply.text += content->as_string();
        }
    }
    return reply;
}

RouterTest::CallerResponse RouterTest::stream(std::string_view className)
{
    return send(makeRequest("/v1/chat/completions", className, R"({"model":"m","stream":true,"messages":[]})"));
}

RouterTest::CallerResponse RouterTest::call(std::string_view className, std::string_view body, const std::map<std::string, std::string> &fields)
{
    http::Request request = makeRequest("/services/ledger/entry", className, std::string(body));
    for (const auto &[name, value] : fields) {
        request.set(name, value);
    }
    return send(std::move(request));
}

std::string RouterTest::getAdmin(const std::string &target)
{
    return fetchAndWait(workers_.context(), service_->adminEndpoint(), http::Request(http::Verb::get, target, 11)).body;
}

http::Status RouterTest::drain(const std::string &body, const std::string &authorization, http::Verb method)
{
    http::Request request(method, "/v1/drain", 11);
    if (!authorization.empty()) {
        request.set("Authorization", authorization);
    }
    request.body() = body;
    return fetchAndWait(workers_.context(), service_->adminEndpoint(), std::move(request)).status;
}

void RouterTest::waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        ASSERT_LT(std::chrono::steady_clock::now(), end) << "deadline passed while waiting for: " << what;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

} // namespace mulberrywall::router
