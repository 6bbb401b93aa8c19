#include "RawEndpoint.h"
#include "ScriptedEndpoint.h"

#include <gtest/gtest.h>

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
        configuration::SiteConfiguration site;
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
