#include "RawEndpoint.h"
#include "RouterTestBase.h"

#include <atomic>
#include <charconv>
#include <mutex>

namespace mulberrywall::platform
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A router with two endpoints. The first one adds what it states about itself to each of its responses.
class EndpointStatementTest : public RouterTestBase
{
protected:
    void addRoute(const std::string &prefix, configuration::Idempotency idempotency, bool streams)
    {
        configuration::Route &route = platform::addRoute(site_, prefix, idempotency);
        route.streams = streams;
        route.resumable = streams;
        site_.classes.back().targets = {.timeToFirstToken = milliseconds(300)};
        site_.classes.back().retryBudgetPercent = 100;
    }

    void addEndpoint(const std::string &id, const ScriptedEndpoint &endpoint, std::int64_t incarnation = 1)
    {
        RouterTestBase::addEndpoint(id, endpoint.port()).incarnation = incarnation;
    }

    void start()
    {
        addRoute("/safe/", configuration::Idempotency::Idempotent, false);
        addRoute("/unsafe/", configuration::Idempotency::NonIdempotent, false);
        addRoute("/stream/", configuration::Idempotency::Idempotent, true);
        startRouter();
    }

    http::BufferedResponse send(const std::string &target)
    {
        return sendRequest(workers_, *service_, target, "r" + std::to_string(++sent_));
    }

    void sendUntilFirstIsReached(const std::string &target)
    {
        for (unsigned count = 0; count < 20 && first_.requests().empty(); ++count) {
            send(target);
        }
        ASSERT_EQ(first_.requests().size(), 1U);
    }

    /// Answers with the status and the statement; 503 states that the request has not run.
    void respondWithStatement(const http::ServerExchangePtr &exchange, http::Status status)
    {
        http::Response response(status, 11);
        addConfirmation(response, exchange->request());
        if (status == http::Status::service_unavailable) {
            response.set("Mulberrywall-Not-Run", "1");
        }
        for (const auto &[name, value] : statement_) {
            response.insert(name, value);
        }
        exchange->respond(std::move(response));
    }

    /// Sends requests of each kind, none of which may reach the first endpoint.
    void expectFirstIsAvoided()
    {
        const std::size_t before = first_.requests().size();
        for (unsigned count = 0; count < 5; ++count) {
            for (const std::string target : {"/safe/", "/unsafe/", "/stream/"}) {
                EXPECT_EQ(send(target).status, http::Status::ok);
            }
        }
        EXPECT_EQ(first_.requests().size(), before);
    }

    std::vector<std::pair<std::string, std::string>> statement_;
    std::atomic<http::Status> firstStatus_ = http::Status::ok;
    http::ServerExchangePtr held_;
    ScriptedEndpoint first_ {workers_, [this](const http::ServerExchangePtr &exchange) {
                                 respondWithStatement(exchange, firstStatus_);
                             }};
    ScriptedEndpoint second_ {workers_, [](const http::ServerExchangePtr &exchange) {
                                  answer(exchange, http::Status::ok, "id: 1\ndata: token\n\n");
                              }};
    unsigned sent_ = 0;
};

/// Guards against requests to an endpoint that has said in any of its responses that it is leaving.
TEST_F(EndpointStatementTest, LeavingEndpointIsAvoided)
{
    for (const http::Status status : {http::Status::ok, http::Status::not_found, http::Status::internal_server_error, http::Status::service_unavailable}) {
        statement_ = {{"Server-Leaving", "1"}};
        firstStatus_ = status;
        site_ = {};
        const ScriptedEndpoint leaving(workers_, [this, status](const http::ServerExchangePtr &exchange) { respondWithStatement(exchange, status); });
        addEndpoint("leaving", leaving);
        addEndpoint("second", second_);
        start();
        for (unsigned count = 0; count < 20; ++count) {
            send("/safe/");
        }
        EXPECT_EQ(leaving.requests().size(), 1U) << static_cast<unsigned>(status);
    }
}

/// Guards against a statement that is overlooked in a response without a length, after an interim response, or in one that is broken off.
TEST_F(EndpointStatementTest, LeavingEndpointIsAvoidedWhateverTheFormOfItsResponse)
{
    static const std::string head = "HTTP/1.1 200 OK\r\nMulberrywall-Request-Id: r1\r\nMulberrywall-Server-Seal: seal\r\nServer-Leaving: 1\r\n";
    for (const std::string &response : {head + "\r\nwhole", "HTTP/1.1 102 Processing\r\n\r\n" + head + "\r\nwhole", head + "Content-Length: 9\r\n\r\npart"}) {
        site_ = {};
        sent_ = 0;
        std::atomic<unsigned> received = 0;
        const RawEndpoint leaving(workers_, [&received, response](const std::string &) {
            ++received;
            return std::vector<Write> {{.bytes = response, .then = AfterWrite::Close}};
        });
        RouterTestBase::addEndpoint("leaving", leaving.port());
        start();
        EXPECT_NE(send("/unsafe/").status, http::Status::service_unavailable) << response;
        EXPECT_EQ(send("/unsafe/").status, http::Status::service_unavailable) << response;
        EXPECT_EQ(received, 1U) << response;
    }
}

/// Guards against a leaving endpoint that is known only when its stream ends.
TEST_F(EndpointStatementTest, LeavingEndpointIsAvoidedWhileItsStreamRuns)
{
    const ScriptedEndpoint leaving(workers_, [this](const http::ServerExchangePtr &exchange) {
        held_ = exchange;
        http::ResponseHeader header;
        header.result(http::Status::ok);
        addConfirmation(header, exchange->request());
        header.set("Server-Leaving", "1");
        exchange->startStream(header,
            [exchange](const boost::system::error_code &) { exchange->writeChunk("id: 1\ndata: token\n\n", [](const boost::system::error_code &) {}); });
    });
    addEndpoint("leaving", leaving);
    start();
    std::promise<void> streaming;
    const auto strand = boost::asio::make_strand(workers_.context());
    const auto call
        = http::ClientCall::start(strand, {.peer = service_->callerEndpoint()}, makeCallerRequest("/stream/", "s"), {.onBody = [&streaming](std::string_view) {
              streaming.set_value();
          }});
    streaming.get_future().wait();
    EXPECT_EQ(send("/safe/").status, http::Status::service_unavailable) << "no other endpoint is there";
    EXPECT_EQ(leaving.requests().size(), 1U);
    std::promise<void> cancelled;
    boost::asio::post(strand, [&] {
        call->cancel();
        cancelled.set_value();
    });
    cancelled.get_future().wait();
}

/// Guards against an endpoint that stays unused after it has started again under its id.
TEST_F(EndpointStatementTest, EndpointThatStartsAgainIsUsed)
{
    statement_ = {{"Server-Leaving", "1"}};
    addEndpoint("first", first_);
    start();
    EXPECT_EQ(send("/safe/").status, http::Status::ok);
    EXPECT_EQ(send("/safe/").status, http::Status::service_unavailable);
    service_->setEndpoints(site_.endpoints);
    EXPECT_EQ(send("/safe/").status, http::Status::service_unavailable) << "the same start of the endpoint";
    site_.endpoints.clear();
    addEndpoint("first", first_, 2);
    service_->setEndpoints(site_.endpoints);
    EXPECT_EQ(send("/safe/").status, http::Status::ok);
}

/// Guards against requests to a leaving endpoint whose entry has lapsed in the store and come back.
TEST_F(EndpointStatementTest, LeavingEndpointIsAvoidedAfterItsEntryHasReturned)
{
    statement_ = {{"Server-Leaving", "1"}};
    addEndpoint("first", first_);
    start();
    EXPECT_EQ(send("/safe/").status, http::Status::ok);
    const std::vector<configuration::Endpoint> listed = site_.endpoints;
    service_->setEndpoints({});
    service_->setEndpoints(listed);
    EXPECT_EQ(send("/safe/").status, http::Status::service_unavailable);
    site_.endpoints.clear();
    addEndpoint("first", first_, 2);
    service_->setEndpoints({});
    service_->setEndpoints(site_.endpoints);
    EXPECT_EQ(send("/safe/").status, http::Status::ok) << "another start of the endpoint";
}

/// Guards against requests to an endpoint within the time for which it has said that it wants none.
TEST_F(EndpointStatementTest, EndpointIsAvoidedForTheTimeThatItStates)
{
    statement_ = {{"Retry-After", "0.6"}};
    firstStatus_ = http::Status::service_unavailable;
    addEndpoint("first", first_);
    addEndpoint("second", second_);
    start();
    sendUntilFirstIsReached("/safe/");
    const auto statedAt = steady_clock::now();
    expectFirstIsAvoided();
    firstStatus_ = http::Status::ok;
    while (first_.requests().size() == 1 && steady_clock::now() < statedAt + std::chrono::seconds(5)) {
        send("/safe/");
    }
    EXPECT_EQ(first_.requests().size(), 2U);
    EXPECT_GE(steady_clock::now() - statedAt, milliseconds(500));
}

/// Guards against callers who wait, or come back too early, while no endpoint of a service accepts requests.
TEST_F(EndpointStatementTest, CallersAreToldWhenThereWillBeRoom)
{
    statement_ = {{"Retry-After", "3"}};
    firstStatus_ = http::Status::service_unavailable;
    addEndpoint("first", first_);
    start();
    send("/safe/");
    const auto sentAt = steady_clock::now();
    for (const std::string target : {"/safe/", "/unsafe/", "/stream/"}) {
        const http::BufferedResponse response = send(target);
        EXPECT_EQ(response.status, http::Status::service_unavailable);
        const std::string_view text = http::fieldValue(response.header, "Retry-After");
        double seconds = 0.0;
        std::from_chars(text.data(), text.data() + text.size(), seconds);
        EXPECT_GT(seconds, 2.0);
        EXPECT_LE(seconds, 6.0);
    }
    EXPECT_LT(steady_clock::now() - sentAt, std::chrono::seconds(2));
    EXPECT_EQ(first_.requests().size(), 1U);
}

} // namespace mulberrywall::platform
