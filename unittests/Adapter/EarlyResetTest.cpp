#include "CallerBytes.h"
#include "EarlyEndpoint.h"
#include "RouterTestBase.h"

#include <gtest/gtest.h>

#include <atomic>
#include <ostream>

namespace mulberrywall::platform
{

/// How the body of a response is framed of which an endpoint sends a part, and how the router's call of the endpoint ends.
struct Framing
{
    std::string name;
    std::string fields;
    std::string beforePart;
    std::string error;
};

static std::ostream &operator<<(std::ostream &stream, const Framing &framing)
{
    return stream << framing.name;
}

/// A router with two endpoints that answer while a long body is still being written to them, and reset the connection.
class EarlyResetTest : public RouterTestBase, public testing::WithParamInterface<Framing>
{
protected:
    static std::string part()
    {
        return confirmedHead("r1", GetParam().fields) + GetParam().beforePart + firstEvents;
    }

    void start(const EarlyEndpoint::Script &script)
    {
        site_ = {};
        for (const std::string name : {"first", "second"}) {
            endpoints_.push_back(std::make_unique<EarlyEndpoint>(workers_, [this, script](std::string_view head) {
                ++attempts_;
                return script(head);
            }));
            addEndpoint(name, endpoints_.back()->port());
        }
        addRoutes();
        attempts_ = 0;
        startRouter();
    }

    std::string send(const std::string &target)
    {
        constexpr std::size_t bodyBytes = std::size_t {4'000} * 1024;
        return sendAndReadBytes(target, "r1", std::string(bodyBytes, 'x'));
    }

    std::atomic<unsigned> attempts_ = 0;
    std::vector<std::unique_ptr<EarlyEndpoint>> endpoints_;
};

/// A router with one endpoint that ends its part of an answer in order and resets the connection then.
class EarlyCloseTest : public RouterTestBase
{
protected:
    void start()
    {
        site_ = {};
        endpoints_.push_back(std::make_unique<EarlyEndpoint>(
            workers_, [](std::string_view) { return confirmedHead("r1") + firstEvents; }, EarlyEnd::CloseThenReset));
        addEndpoint("only", endpoints_.back()->port());
        addRoutes();
        startRouter();
    }

    std::vector<std::unique_ptr<EarlyEndpoint>> endpoints_;
};

/// Guards against a part of an answer that reaches the caller as a complete one, and against a second run of such a request.
TEST_P(EarlyResetTest, PartIsNoCompleteAnswer)
{
    const auto script = [](std::string_view) {
        return part();
    };
    for (const auto &[target, attempts] : {std::pair("/call/", 1U), std::pair("/safe/", 2U)}) {
        start(script);
        EXPECT_EQ(send(target), failureBytes("the connection broke: " + GetParam().error)) << target;
        EXPECT_EQ(attempts_, attempts) << target;
    }
    start(script);
    EXPECT_EQ(send("/stream/"), streamBytes());
    EXPECT_EQ(attempts_, 1U);
}

/// Guards against a broken stream that is not resumed, and against a whole answer that is lost because its connection was reset.
TEST_P(EarlyResetTest, StreamIsResumedAndTheWholeAnswerKept)
{
    const std::string event = "id: 3\ndata: three\n\n";
    start([&event](std::string_view head) {
        const bool isResume = head.find("Last-Event-Id: 2\r\n") != std::string_view::npos;
        return isResume ? confirmedHead("r1", lengthField(event)) + event : part();
    });
    EXPECT_EQ(send("/resumable/"), streamBytes() + "13\r\n" + event + "\r\n" + std::string(lastChunk));
    EXPECT_EQ(attempts_, 2U);
    start([](std::string_view) { return wholeAnswer(); });
    EXPECT_EQ(send("/call/"), callBytes());
}

/// Guards against a part that counts as a complete answer because the endpoint's process ended, which closed the connection in order,
/// before its system reset it for the rest of the body.
TEST_F(EarlyCloseTest, AnswerWithoutLengthIsIncompleteBeforeTheRequestHasArrived)
{
    // Fits into the send buffer of the router, so that its write succeeds.
    const std::string body(std::size_t {300} * 1024, 'x');
    start();
    const std::string bytes = sendAndReadBytes("/call/", "r1", body);
    EXPECT_TRUE(bytes == failureBytes("the connection broke: Connection reset by peer") || bytes == failureBytes("the connection broke: Broken pipe")) << bytes;
    start();
    EXPECT_EQ(sendAndReadBytes("/stream/", "r1", body), streamBytes());
}

INSTANTIATE_TEST_SUITE_P(Framings,
    EarlyResetTest,
    testing::Values(Framing {.name = "UntilClose", .error = "Connection reset by peer"},
        Framing {.name = "Length", .fields = "Content-Length: 99\r\n", .error = "partial message"},
        Framing {.name = "Chunks", .fields = "Transfer-Encoding: chunked\r\n", .beforePart = "63\r\n", .error = "partial message"}),
    [](const auto &info) { return info.param.name; });

} // namespace mulberrywall::platform
