#include "RawEndpoint.h"
#include "ScriptedEndpoint.h"

#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <thread>

namespace mulberrywall::platform
{

using std::chrono::milliseconds;

static std::string bodyOf(const std::string &target, const std::string &id)
{
    return target == "/stream/" ? "id: 1\ndata: for " + id + "\n\n" : "for " + id;
}

static std::string responseTo(const std::string &target, const std::string &id)
{
    const std::string body = bodyOf(target, id);
    return "HTTP/1.1 200 OK\r\nMulberrywall-Request-Id: " + id
        + "\r\nMulberrywall-Server-Seal: seal\r\nKeep-Alive: timeout=60\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// When the copy of the first response is sent.
enum class CopyTime : std::uint8_t {
    WithTheFirst,
    WhileIdle,
    WithTheNext,
    BeforeTheNext,
    BeforeAnInterimResponse,
};

struct RepeatedCase
{
    std::string target;
    CopyTime time = CopyTime::WithTheFirst;
};

static std::ostream &operator<<(std::ostream &stream, const RepeatedCase &repeated)
{
    return stream << repeated.target << " " << static_cast<int>(repeated.time);
}

static std::vector<Write> writesFor(const RepeatedCase &repeated, const std::string &id)
{
    const std::string first = responseTo(repeated.target, "r1");
    const std::string own = responseTo(repeated.target, id);
    const bool isFirst = id == "r1";
    switch (repeated.time) {
    case CopyTime::WithTheFirst:
        return {{.bytes = isFirst ? first + first : own}};
    case CopyTime::WhileIdle:
        return isFirst ? std::vector<Write> {{.bytes = first}, {.pause = milliseconds(10), .bytes = first}} : std::vector<Write> {{.bytes = own}};
    case CopyTime::WithTheNext:
        return {{.bytes = id == "r2" ? first + own : own}};
    case CopyTime::BeforeTheNext:
        return id == "r2" ? std::vector<Write> {{.bytes = first}, {.pause = milliseconds(30), .bytes = own}} : std::vector<Write> {{.bytes = own}};
    case CopyTime::BeforeAnInterimResponse:
        return {{.bytes = id == "r2" ? first + "HTTP/1.1 100 Continue\r\n\r\n" + own : own}};
    }
    return {};
}

class RepeatedResponseTest : public testing::TestWithParam<RepeatedCase>
{
protected:
    ~RepeatedResponseTest() override
    {
        workers_.stop();
        workers_.join();
    }

    configuration::SiteConfiguration makeSite()
    {
        configuration::SiteConfiguration site {.callerKeys = configuration::CallerKeys::NotUsed};
        site.classes.push_back({.id = support::ClassId("c"), .idempotency = configuration::Idempotency::NonIdempotent});
        site.routes.push_back({.host = "h",
            .prefix = GetParam().target,
            .requestClass = support::ClassId("c"),
            .targets = {{.pool = support::PoolId("p")}},
            .timeout = std::chrono::seconds(5),
            .maximumAttempts = 2,
            .streams = GetParam().target == "/stream/"});
        site.pools.push_back({.id = support::PoolId("p"), .kind = configuration::PoolKind::PlainService});
        site.endpoints.push_back(
            {.id = support::EndpointId("e"), .address = "127.0.0.1", .port = endpoint_.port(), .pools = {support::PoolId("p")}, .maximumConcurrency = 8});
        site.revision = 1;
        return site;
    }

    support::WorkerPool workers_ {2};
    RawEndpoint endpoint_ {workers_, [](const std::string &id) {
                               return writesFor(GetParam(), id);
                           }};
};

/// Guards against a caller that gets the answer of another one, because the endpoint sent a second copy of it on a connection that
/// was in use again.
TEST_P(RepeatedResponseTest, EachCallerGetsItsOwnAnswer)
{
    router::RouterService service(workers_.context(), makeRouterOptions("router"), policy::standardPolicy());
    service.configure(makeSite());
    service.start();
    for (const auto *id : {"r1", "r2", "r3"}) {
        const http::BufferedResponse response = sendRequest(workers_, service, GetParam().target, id);
        EXPECT_EQ(response.status, http::Status::ok) << id;
        EXPECT_EQ(response.header["Mulberrywall-Request-Id"], id);
        EXPECT_EQ(response.body, bodyOf(GetParam().target, id));
        // Lets a copy arrive that is sent while the connection is idle; nothing shows its arrival.
        std::this_thread::sleep_for(milliseconds(20));
    }
}

static std::string refusalWith(const std::string &idField)
{
    return "HTTP/1.1 503 Service Unavailable\r\nMulberrywall-Not-Run: 1\r\n" + idField + "Content-Length: 0\r\n\r\n";
}

/// A router with two endpoints that answer the first request on each connection, and repeat an earlier refusal before their
/// response to the second one.
class RepeatedRefusalTest : public testing::Test
{
protected:
    ~RepeatedRefusalTest() override
    {
        workers_.stop();
        workers_.join();
    }

    void start(const std::string &idField)
    {
        configuration::SiteConfiguration site {.callerKeys = configuration::CallerKeys::NotUsed};
        site.classes.push_back({.id = support::ClassId("c"), .idempotency = configuration::Idempotency::NonIdempotent, .retryBudgetPercent = 100});
        site.routes.push_back({.host = "h",
            .prefix = "/call/",
            .requestClass = support::ClassId("c"),
            .targets = {{.pool = support::PoolId("p")}},
            .timeout = std::chrono::seconds(5),
            .maximumAttempts = 2});
        site.pools.push_back({.id = support::PoolId("p"), .kind = configuration::PoolKind::PlainService});
        site.revision = 1;
        for (unsigned index = 0; index < 2; ++index) {
            endpoints_.push_back(std::make_unique<RawEndpoint>(workers_, [this, idField](const std::string &id) {
                ++runs_[id];
                const std::string own = responseTo("/call/", id);
                return std::vector<Write> {{.bytes = id == "r2" ? refusalWith(idField) + own : own}};
            }));
            site.endpoints.push_back({.id = support::EndpointId("e" + std::to_string(index)),
                .address = "127.0.0.1",
                .port = endpoints_.back()->port(),
                .pools = {support::PoolId("p")},
                .maximumConcurrency = 1});
        }
        service_ = std::make_unique<router::RouterService>(workers_.context(), makeRouterOptions("router"), policy::standardPolicy());
        service_->configure(site);
        service_->start();
    }

    http::BufferedResponse send(const std::string &id)
    {
        return sendRequest(workers_, *service_, "/call/", id);
    }

    /// One worker thread, so that the endpoints' scripts do not run at the same time.
    support::WorkerPool workers_ {1};
    std::map<std::string, unsigned> runs_;
    std::vector<std::unique_ptr<RawEndpoint>> endpoints_;
    std::unique_ptr<router::RouterService> service_;
};

/// Guards against a caller that is told "not run", and a request that runs twice, because of the refusal of another request.
TEST_F(RepeatedRefusalTest, RefusalOfAnotherRequestIsSkipped)
{
    start("Mulberrywall-Request-Id: r0\r\n");
    for (const std::string id : {"r1", "r1b", "r2"}) {
        const http::BufferedResponse response = send(id);
        EXPECT_EQ(response.status, http::Status::ok) << id;
        EXPECT_EQ(response.body, bodyOf("/call/", id));
    }
    EXPECT_EQ(runs_["r2"], 1U);
}

/// Guards against the same where the refusal does not say to which request it belongs.
TEST_F(RepeatedRefusalTest, RefusalWithoutIdOnAKeptConnectionProvesNothing)
{
    start("");
    send("r1");
    send("r1b");
    EXPECT_EQ(send("r2").status, http::Status::bad_gateway);
    EXPECT_EQ(runs_["r2"], 1U);
}

/// Guards against losing the proof where the connection is new, so that no other request can have been refused on it.
TEST_F(RepeatedRefusalTest, RefusalWithoutIdOnANewConnectionIsTheOwnOne)
{
    start("");
    EXPECT_EQ(send("r2").status, http::Status::service_unavailable);
    EXPECT_EQ(runs_["r2"], 2U);
}

static std::vector<RepeatedCase> repeatedCases()
{
    std::vector<RepeatedCase> cases;
    for (const auto *target : {"/call/", "/stream/"}) {
        for (const CopyTime time :
            {CopyTime::WithTheFirst, CopyTime::WhileIdle, CopyTime::WithTheNext, CopyTime::BeforeTheNext, CopyTime::BeforeAnInterimResponse}) {
            cases.push_back({.target = target, .time = time});
        }
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(Copies, RepeatedResponseTest, testing::ValuesIn(repeatedCases()));

} // namespace mulberrywall::platform
