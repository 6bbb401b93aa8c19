#include "CallerBytes.h"
#include "RawEndpoint.h"
#include "RouterTestBase.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <ostream>
#include <set>

namespace mulberrywall::platform
{

/// A router with two endpoints of one resumable stream route, a stream route that must not be repeated, and a call route.
class BrokenStreamTest : public RouterTestBase
{
protected:
    void start()
    {
        addRoutes();
        startRouter();
    }

    http::BufferedResponse send(const std::string &target)
    {
        start();
        return sendRequest(workers_, *service_, target, "r1");
    }

    /// Sends a request to an endpoint that answers it with the given bytes.
    http::BufferedResponse sendToRawEndpoint(const std::string &target, const std::string &bytes, AfterWrite then)
    {
        rawEndpoint_
            = std::make_unique<RawEndpoint>(workers_, [bytes, then](const std::string &) { return std::vector<Write> {{.bytes = bytes, .then = then}}; });
        addEndpoint("raw", rawEndpoint_->port());
        return send(target);
    }

    std::unique_ptr<RawEndpoint> rawEndpoint_;
};

/// Header of a response with neither a length nor chunks.
static const std::string headWithoutLength = confirmedHead("r1");

/// Status and body with which the second endpoint answers.
struct ErrorResponse
{
    http::Status status = http::Status::ok;
    std::string body;
};

static std::ostream &operator<<(std::ostream &stream, const ErrorResponse &response)
{
    return stream << static_cast<unsigned>(response.status) << " " << response.body;
}

class ResumedStreamTest : public BrokenStreamTest, public testing::WithParamInterface<ErrorResponse>
{
};

/// Guards against the response of an endpoint that refuses to resume a stream, or its header, in the middle of the caller's
/// stream, and against such a stream that looks complete.
TEST_P(ResumedStreamTest, NeverContainsAnErrorResponse)
{
    std::atomic<unsigned> resumes = 0;
    const auto script = [&resumes](const http::ServerExchangePtr &exchange) {
        if (!http::fieldValue(exchange->request(), "Last-Event-Id").empty()) {
            ++resumes;
            answer(exchange, GetParam().status, GetParam().body);
            return;
        }
        http::ResponseHeader header;
        header.result(http::Status::ok);
        addConfirmation(header, exchange->request());
        exchange->startStream(header, [exchange](const boost::system::error_code &) {
            exchange->writeChunk(firstEvents, [exchange](const boost::system::error_code &) { exchange->abortStream(); });
        });
    };
    const ScriptedEndpoint first(workers_, script);
    const ScriptedEndpoint second(workers_, script);
    addEndpoint("first", first.port());
    addEndpoint("second", second.port());
    start();
    const std::string bytes = sendAndReadBytes("/resumable/");
    EXPECT_EQ(resumes, 1U);
    const std::size_t events = bytes.find(firstEvents);
    ASSERT_NE(events, std::string::npos);
    // Anything else would be an error's text, or the last chunk, which makes the stream look complete.
    EXPECT_EQ(bytes.substr(events + firstEvents.size()), "\r\n");
}

INSTANTIATE_TEST_SUITE_P(Statuses,
    ResumedStreamTest,
    testing::Values(ErrorResponse {http::Status::bad_request, "bad"},
        ErrorResponse {http::Status::not_found, "unknown"},
        ErrorResponse {http::Status::conflict, "id: 3\ndata: looks like an event\n\n"},
        ErrorResponse {http::Status::created, "created"},
        ErrorResponse {http::Status::internal_server_error, "failed"},
        ErrorResponse {http::Status::gateway_timeout, "late"},
        ErrorResponse {http::Status::ok, "not a stream"},
        ErrorResponse {http::Status::service_unavailable, "without a statement that it has not run"}));

/// Guards against answers with neither a length nor chunks that are taken for incomplete.
TEST_F(BrokenStreamTest, AnswersWithoutLengthEndWithTheConnection)
{
    EXPECT_EQ(sendToRawEndpoint("/call/", headWithoutLength + "whole", AfterWrite::Close).body, "whole");
}

TEST_F(BrokenStreamTest, StreamsWithoutLengthEndWithTheConnection)
{
    const http::BufferedResponse response = sendToRawEndpoint("/stream/", headWithoutLength + firstEvents, AfterWrite::Close);
    EXPECT_EQ(response.body, firstEvents);
    EXPECT_FALSE(response.result.error);
}

/// Guards against an answer without length that is passed on as complete although its connection was reset on the way.
TEST_F(BrokenStreamTest, AnswerWithoutLengthThatIsResetIsIncomplete)
{
    const http::BufferedResponse response = sendToRawEndpoint("/call/", headWithoutLength + "part", AfterWrite::Reset);
    EXPECT_EQ(response.status, http::Status::bad_gateway);
    EXPECT_EQ(response.body.find("part"), std::string::npos);
}

TEST_F(BrokenStreamTest, StreamWithoutLengthThatIsResetIsIncomplete)
{
    const http::BufferedResponse response = sendToRawEndpoint("/stream/", headWithoutLength + firstEvents, AfterWrite::Reset);
    EXPECT_TRUE(response.result.error || response.status == http::Status::bad_gateway);
}

/// Guards against a stream without length that is passed on as complete although it ends inside an event.
TEST_F(BrokenStreamTest, StreamWithoutLengthThatEndsInsideAnEventIsIncomplete)
{
    for (const std::string part : {"id: 3", "id: 3\ndata: th", "id: 3\ndata: three\n", ":", "id: 3\ndata: three\n\r"}) {
        site_ = {};
        const http::BufferedResponse response = sendToRawEndpoint("/stream/", headWithoutLength + firstEvents + part, AfterWrite::Close);
        EXPECT_EQ(response.body, firstEvents) << part;
        EXPECT_TRUE(response.result.error) << part;
    }
}

/// How a response with its body is framed, and how the endpoint ends the connection within the header.
struct CutHeader
{
    std::string name;
    std::string fields;
    AfterWrite then = AfterWrite::Close;
};

static std::ostream &operator<<(std::ostream &stream, const CutHeader &cut)
{
    return stream << cut.name;
}

class CutHeaderTest : public BrokenStreamTest, public testing::WithParamInterface<CutHeader>
{
protected:
    static std::string header(const std::string &id)
    {
        return confirmedHead(id, GetParam().fields);
    }

    /// Returns the number at the end of an id, after the last dash.
    static std::size_t numberIn(const std::string &id)
    {
        return std::stoul(id.substr(id.rfind('-') + 1));
    }

    /// Starts a router with two endpoints whose responses end after as many bytes of the header as the request's id says. Each request
    /// needs a new one: an endpoint that failed is avoided for a time.
    void startWithCutHeaders(const std::string &eventsBefore)
    {
        const auto script = [this, eventsBefore](const std::string &id) -> std::vector<Write> {
            if (!eventsBefore.empty() && isFirst(id)) {
                return {{.bytes = confirmedHead(id) + eventsBefore}, {.pause = std::chrono::milliseconds(5), .bytes = "id", .then = AfterWrite::Reset}};
            }
            return {{.bytes = header(id).substr(0, numberIn(id)), .then = GetParam().then}};
        };
        site_ = {};
        for (const std::string name : {"first", "second"}) {
            endpoints_.push_back(std::make_unique<RawEndpoint>(workers_, script));
            addEndpoint(name, endpoints_.back()->port());
        }
        start();
    }

    bool isFirst(const std::string &id)
    {
        const std::scoped_lock lock(mutex_);
        return seen_.insert(id).second;
    }

    std::vector<std::unique_ptr<RawEndpoint>> endpoints_;
    std::mutex mutex_;
    std::set<std::string> seen_;
};

/// Guards against an endpoint that ends its connection within the header of its response, and whose caller gets a success with an
/// empty or a short body.
TEST_P(CutHeaderTest, IsNoSuccess)
{
    for (const std::string target : {"/call/", "/stream/", "/resumable/"}) {
        for (std::size_t size = 0; size < header("r-0").size(); ++size) {
            startWithCutHeaders("");
            const std::string bytes = sendAndReadBytes(target, "r-" + std::to_string(size));
            EXPECT_TRUE(bytes.starts_with("HTTP/1.1 50")) << target << ' ' << size << ' ' << bytes.substr(0, 200);
        }
    }
}

/// Guards against a stream that is resumed at such an endpoint and ends as if it were complete.
TEST_P(CutHeaderTest, DoesNotEndAResumedStream)
{
    for (std::size_t size = 0; size < header("resumed-0").size(); ++size) {
        startWithCutHeaders(firstEvents);
        const std::string bytes = sendAndReadBytes("/resumable/", "resumed-" + std::to_string(size));
        const std::size_t events = bytes.find(firstEvents);
        ASSERT_NE(events, std::string::npos) << size << ' ' << bytes;
        // Anything else would be a part of a response, or the last chunk, which makes the stream look complete.
        EXPECT_EQ(bytes.substr(events + firstEvents.size()), "\r\n") << size;
    }
}

INSTANTIATE_TEST_SUITE_P(Framings,
    CutHeaderTest,
    testing::Values(CutHeader {"LengthClosed", "Content-Length: 5\r\n", AfterWrite::Close},
        CutHeader {"LengthReset", "Content-Length: 5\r\n", AfterWrite::Reset},
        CutHeader {"ChunksClosed", "Transfer-Encoding: chunked\r\n", AfterWrite::Close},
        CutHeader {"ChunksReset", "Transfer-Encoding: chunked\r\n", AfterWrite::Reset},
        CutHeader {"UntilCloseClosed", "", AfterWrite::Close},
        CutHeader {"UntilCloseReset", "", AfterWrite::Reset}),
    [](const auto &info) { return info.param.name; });

} // namespace mulberrywall::platform
