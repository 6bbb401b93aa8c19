#include "EndlessEndpoint.h"
#include "EndpointBytes.h"
#include "ScriptedEndpoint.h"

#include "mulberrywall/Router/EndpointProbe.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace mulberrywall::platform
{

static std::vector<EndlessBytes> endlessResponses()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return {{.name = "HeadOfNoise", .target = "/unsafe/", .start = "\x01", .repeated = "\x01\x02\x7f"},
        {.name = "HeadOfOneLine", .target = "/unsafe/", .start = "HTTP/1.1 200 OK\r\nx: ", .repeated = "x"},
        {.name = "HeadOfManyFields", .target = "/unsafe/", .start = "HTTP/1.1 200 OK\r\n", .repeated = "field: value\r\n"},
        {.name = "InterimResponses", .target = "/unsafe/", .start = "HTTP/1.1 100 Continue\r\n\r\n", .repeated = "HTTP/1.1 100 Continue\r\n\r\n"},
        {.name = "ResponsesOfEarlierRequests",
            .target = "/unsafe/",
            .start = confirmedHead("earlier", "Content-Length: 0\r\n"),
            .repeated = confirmedHead("earlier", "Content-Length: 0\r\n")},
        {.name = "EarlierResponseWithoutEnd", .target = "/unsafe/", .start = confirmedHead("earlier"), .repeated = "x"},
        {.name = "BodyUntilClose", .target = "/unsafe/", .start = confirmedHead("r1"), .repeated = "x"},
        {.name = "ChunkedBody", .target = "/unsafe/", .start = confirmedHead("r1", chunked), .repeated = "400\r\n" + std::string(1024, 'x') + "\r\n"},
        {.name = "ChunkOfNoise", .target = "/unsafe/", .start = confirmedHead("r1", chunked), .repeated = "\x01\x02\x7f"},
        {.name = "ChunkExtension", .target = "/unsafe/", .start = confirmedHead("r1", chunked) + "10;x=", .repeated = "x"},
        {.name = "ErrorBodyOfStream", .target = "/stream/", .start = confirmedHead("r1", "", "500 Failed"), .repeated = "x"},
        {.name = "EventWithoutEnd", .target = "/stream/", .start = confirmedHead("r1"), .repeated = "data: x\n"},
        {.name = "EventOfNoise", .target = "/stream/", .start = confirmedHead("r1", chunked) + "10\r\n0123456789abcdef\r\n", .repeated = "\x01\x02\x7f"}};
}

/// Names the case in the output of a failed test.
static std::ostream &operator<<(std::ostream &stream, const EndlessBytes &bytes)
{
    return stream << bytes.name;
}

class EndlessResponseTest : public testing::TestWithParam<EndlessBytes>
{
protected:
    EndlessResponseTest()
    {
        for (const std::string prefix : {"/unsafe/", "/stream/"}) {
            site_.classes.push_back({.id = support::ClassId(prefix), .idempotency = configuration::Idempotency::NonIdempotent});
            site_.routes.push_back({.host = "h",
                .prefix = prefix,
                .requestClass = support::ClassId(prefix),
                .targets = {{.pool = support::PoolId("p")}},
                .streams = prefix == "/stream/"});
        }
        site_.pools.push_back({.id = support::PoolId("p"), .kind = configuration::PoolKind::PlainService});
        site_.endpoints.push_back(
            {.id = support::EndpointId("e"), .address = "127.0.0.1", .port = endpoint_.port(), .pools = {support::PoolId("p")}, .maximumConcurrency = 8});
        site_.revision = 1;
        router::RouterServiceOptions options = makeRouterOptions("router");
        options.router.maxResponseBytes = std::size_t {8} * 1024 * 1024;
        service_ = std::make_unique<router::RouterService>(workers_.context(), options, policy::standardPolicy());
        service_->configure(site_);
        service_->start();
    }

    ~EndlessResponseTest() override
    {
        workers_.stop();
        workers_.join();
    }

    support::WorkerPool workers_ {2};
    EndlessEndpoint endpoint_ {workers_, GetParam()};
    configuration::SiteConfiguration site_ {.callerKeys = configuration::CallerKeys::NotUsed};
    std::unique_ptr<router::RouterService> service_;
};

/// Guards against an endpoint in trouble that keeps a connection and makes the router buffer bytes without end: an instance
/// has 160 MB for all its requests, and callers of such an endpoint wait until their deadline.
TEST_P(EndlessResponseTest, EndsTheAttemptAndClosesTheConnection)
{
    constexpr std::chrono::seconds deadlineOfCaller {4};
    constexpr std::size_t mostBytes = std::size_t {16} * 1024 * 1024;
    const auto start = std::chrono::steady_clock::now();
    const http::BufferedResponse response = sendRequest(workers_, *service_, GetParam().target, "r1");
    EXPECT_LT(std::chrono::steady_clock::now() - start, deadlineOfCaller / 2);
    const bool isComplete = response.status == http::Status::ok && response.result.stage == http::ClientCallStage::ResponseComplete;
    EXPECT_FALSE(isComplete) << "bytes that are no answer were passed on as a complete answer";
    while (!endpoint_.isClosed() && std::chrono::steady_clock::now() - start < deadlineOfCaller) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_TRUE(endpoint_.isClosed());
    EXPECT_LT(endpoint_.sentBytes(), mostBytes);
}

/// Guards against an endpoint that answers a probe without end: each probe buffered up to 64 MiB.
TEST(EndlessProbeResponseTest, EndsTheProbe)
{
    constexpr std::size_t mostBytes = std::size_t {8} * 1024 * 1024;
    support::WorkerPool workers(2);
    const EndlessEndpoint endpoint(workers, {.name = "Probe", .start = "HTTP/1.1 200 OK\r\n\r\n", .repeated = "x"});
    std::promise<router::ProbeResult> promise;
    router::probeEndpoint(workers.context().get_executor(),
        {boost::asio::ip::address_v4::loopback(), endpoint.port()},
        configuration::PoolKind::ModelEngine,
        [&promise](router::ProbeResult result) { promise.set_value(result); });
    promise.get_future().wait();
    while (!endpoint.isClosed()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_LT(endpoint.sentBytes(), mostBytes);
    workers.stop();
    workers.join();
}

INSTANTIATE_TEST_SUITE_P(Responses, EndlessResponseTest, testing::ValuesIn(endlessResponses()), [](const auto &info) { return info.param.name; });

} // namespace mulberrywall::platform
