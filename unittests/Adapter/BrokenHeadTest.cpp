#include "CallerBytes.h"
#include "RawEndpoint.h"
#include "RouterTestBase.h"

#include "mulberrywall/Router/EndpointProbe.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <ostream>

namespace mulberrywall::platform
{

/// What an endpoint sends to request "r1" in place of an answer, and how the router's call of the endpoint ends.
struct BrokenHead
{
    std::string name;
    std::string bytes;
    std::string error;
};

static std::ostream &operator<<(std::ostream &stream, const BrokenHead &broken)
{
    return stream << broken.name;
}

/// Returns an answer that is whole except for its status.
static BrokenHead withStatus(const std::string &name, const std::string &status)
{
    return {.name = name, .bytes = confirmedHead("r1", lengthField(firstEvents), status) + firstEvents, .error = "bad status"};
}

/// Returns a head whose body, or what comes behind it, reads like a whole answer.
static BrokenHead beforeAnAnswer(const std::string &name, const std::string &status)
{
    return {.name = name, .bytes = "HTTP/1.1 " + status + "\r\n" + lengthField(wholeAnswer()) + "\r\n" + wholeAnswer(), .error = "bad status"};
}

/// Returns an answer that is whole except for one more line in its head.
static BrokenHead withLine(const std::string &name, const std::string &line)
{
    return {.name = name, .bytes = confirmedHead("r1", line + "\r\n" + lengthField(firstEvents)) + firstEvents, .error = "bad field"};
}

/// Returns an answer whose body ends elsewhere if the line that frames it is not read as a field.
static BrokenHead framedBy(const std::string &name, const std::string &line, const std::string &body)
{
    return {.name = name, .bytes = confirmedHead("r1", line + "\r\n") + body, .error = "bad field"};
}

static std::vector<BrokenHead> brokenHeads()
{
    const std::string chunks = "22\r\n" + firstEvents + "\r\n0\r\n\r\n";
    return {withStatus("Status000", "000 Failed"),
        withStatus("Status001", "001 Failed"),
        withStatus("Status099", "099 Failed"),
        withStatus("Status600", "600 Failed"),
        withStatus("Status999", "999 Failed"),
        beforeAnAnswer("Status000BeforeAnAnswer", "000 Failed"),
        beforeAnAnswer("Status099BeforeAnAnswer", "099 Failed"),
        beforeAnAnswer("SwitchingProtocolsBeforeAnAnswer", "101 Switching Protocols"),
        withLine("BlankInName", "X Broken: 1"),
        withLine("BlankBeforeColon", "X-Broken : 1"),
        withLine("BlankBeforeName", " X-Broken: 1"),
        withLine("TabBeforeName", "\tX-Broken: 1"),
        withLine("TabInName", "X-\tBroken: 1"),
        withLine("NulInName", std::string("X-\0Broken: 1", 12)),
        withLine("ControlByteInName", "X-\001Broken: 1"),
        withLine("DeleteByteInName", "X-Broken\x7f: 1"),
        withLine("LineBreakInName", "X-\nBroken: 1"),
        withLine("NoName", ": 1"),
        withLine("BlankBeforeNameAfterAnEmptyValue", "X-Empty:\r\n X-Broken: 1"),
        framedBy("BlankBeforeLength", " Content-Length: 34", firstEvents + "id: 3\ndata: of nobody\n\n"),
        framedBy("TabBeforeLength", "\tContent-Length: 34", firstEvents + "id: 3\ndata: of nobody\n\n"),
        framedBy("BlankBeforeCoding", " Transfer-Encoding: chunked", chunks),
        framedBy("BlankInCoding", "Transfer-Encoding : chunked", chunks),
        {.name = "BlankBeforeFirstName", .bytes = "HTTP/1.1 200 OK\r\n X-Broken: 1\r\n" + wholeAnswer().substr(17), .error = "bad field"},
        {.name = "BlankBeforeNameInInterimResponse",
            .bytes = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n X-Broken: 1\r\n\r\n" + wholeAnswer(),
            .error = "bad field"}};
}

/// A router with two endpoints that use one list of answers together, of which the last one repeats.
class BrokenAnswerTest : public RouterTestBase
{
protected:
    void start(std::vector<Write> answers, unsigned retryBudgetPercent = 20)
    {
        const auto script = [this, answers = std::move(answers)](const std::string &) {
            return std::vector<Write> {answers[std::min<std::size_t>(attempts_++, answers.size() - 1)]};
        };
        site_ = {};
        for (const std::string name : {"first", "second"}) {
            endpoints_.push_back(std::make_unique<RawEndpoint>(workers_, script));
            addEndpoint(name, endpoints_.back()->port());
        }
        addRoutes();
        for (configuration::RequestClass &each : site_.classes) {
            each.retryBudgetPercent = retryBudgetPercent;
        }
        attempts_ = 0;
        startRouter();
    }

    std::atomic<std::size_t> attempts_ = 0;
    std::vector<std::unique_ptr<RawEndpoint>> endpoints_;
};

class BrokenHeadTest : public BrokenAnswerTest, public testing::WithParamInterface<BrokenHead>
{
protected:
    static Write broken()
    {
        return {.bytes = GetParam().bytes, .then = AfterWrite::Close};
    }
};

class BrokenTrailerTest : public BrokenAnswerTest, public testing::WithParamInterface<std::string>
{
};

/// Guards against a head that is none and reaches the caller as an answer, or with a body that is not the endpoint's; and against a
/// request that runs again although it may have run.
TEST_P(BrokenHeadTest, IsNoAnswer)
{
    for (const auto &[target, attempts] : {std::pair("/call/", 1U), std::pair("/stream/", 1U), std::pair("/safe/", 2U), std::pair("/resumable/", 2U)}) {
        start({broken()});
        EXPECT_EQ(sendAndReadBytes(target), failureBytes("the connection broke: " + GetParam().error)) << target;
        EXPECT_EQ(attempts_, attempts) << target;
    }
}

/// Guards against a request that fails although it may run again and another endpoint answers it.
TEST_P(BrokenHeadTest, IsFollowedByTheAnswerOfAnotherEndpoint)
{
    const Write whole {.bytes = wholeAnswer()};
    start({broken(), whole});
    EXPECT_EQ(sendAndReadBytes("/safe/"), callBytes());
    EXPECT_EQ(attempts_, 2U);
    start({broken(), whole});
    EXPECT_EQ(sendAndReadBytes("/resumable/"), streamBytes() + std::string(lastChunk));
    EXPECT_EQ(attempts_, 2U);
}

/// Guards against a request that is repeated after a broken answer although there is no budget for retries.
TEST_P(BrokenHeadTest, IsNotRetriedWithoutABudget)
{
    for (const std::string target : {"/safe/", "/resumable/"}) {
        start({broken(), {.bytes = wholeAnswer()}}, 0);
        EXPECT_EQ(sendAndReadBytes(target), failureBytes("the connection broke: " + GetParam().error)) << target;
        EXPECT_EQ(attempts_, 1U) << target;
    }
}

/// Guards against such a head, or a body behind it, that continues the stream of a caller or ends it as if it were complete.
TEST_P(BrokenHeadTest, DoesNotContinueAStream)
{
    start({{.bytes = confirmedHead("r1") + firstEvents, .then = AfterWrite::Reset}, broken()});
    EXPECT_EQ(sendAndReadBytes("/resumable/"), streamBytes());
    EXPECT_EQ(attempts_, 2U);
}

/// Guards against an engine that counts as crashed because it answers its probe with such a head: its requests would be quarantined, and
/// their callers be told to change them.
TEST_P(BrokenHeadTest, IsNoCrash)
{
    start({broken()});
    std::promise<router::ProbeResult> promise;
    router::probeEndpoint(workers_.context().get_executor(),
        {boost::asio::ip::address_v4::loopback(), endpoints_.front()->port()},
        configuration::PoolKind::ModelEngine,
        [&promise](router::ProbeResult result) { promise.set_value(result); });
    EXPECT_EQ(promise.get_future().get(), router::ProbeResult::Alive);
}

/// Guards against a broken field behind the last chunk of an answer that is passed on as complete all the same.
TEST_P(BrokenTrailerTest, EndsNoAnswer)
{
    const std::string chunks = "22\r\n" + firstEvents + "\r\n0\r\n" + GetParam() + "\r\n\r\n";
    const Write answer {.bytes = confirmedHead("r1", "Transfer-Encoding: chunked\r\n") + chunks, .then = AfterWrite::Close};
    start({answer});
    EXPECT_EQ(sendAndReadBytes("/call/"), failureBytes("the connection broke: bad field"));
    start({answer});
    EXPECT_EQ(sendAndReadBytes("/stream/"), streamBytes());
    EXPECT_EQ(attempts_, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Lines, BrokenTrailerTest, testing::Values(" X-Broken: 1", "X Broken: 1", "X-Trailer: 1\r\n X-Broken: 1", "X-Trailer: 1\r\n\tX-Broken: 1"));

INSTANTIATE_TEST_SUITE_P(Heads, BrokenHeadTest, testing::ValuesIn(brokenHeads()), [](const auto &info) { return info.param.name; });

} // namespace mulberrywall::platform
