#include "CallerBytes.h"
#include "RawEndpoint.h"
#include "RouterTestBase.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
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

static std::vector<BrokenHead> brokenHeads()
{
    return {withStatus("Status000", "000 Failed"),
        withStatus("Status001", "001 Failed"),
        withStatus("Status099", "099 Failed"),
        withStatus("Status600", "600 Failed"),
        withStatus("Status999", "999 Failed"),
        beforeAnAnswer("Status000BeforeAnAnswer", "000 Failed"),
        beforeAnAnswer("Status099BeforeAnAnswer", "099 Failed"),
        beforeAnAnswer("SwitchingProtocolsBeforeAnAnswer", "101 Switching Protocols")};
}

/// A router with two endpoints that use one list of answers together, of which the last one repeats.
class BrokenAnswerTest : public RouterTestBase
{
protected:
    void start(std::vector<Write> answers)
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

/// Guards against such a head, or a body behind it, that continues the stream of a caller or ends it as if it were complete.
TEST_P(BrokenHeadTest, DoesNotContinueAStream)
{
    start({{.bytes = confirmedHead("r1") + firstEvents, .then = AfterWrite::Reset}, broken()});
    EXPECT_EQ(sendAndReadBytes("/resumable/"), streamBytes());
    EXPECT_EQ(attempts_, 2U);
}

INSTANTIATE_TEST_SUITE_P(Heads, BrokenHeadTest, testing::ValuesIn(brokenHeads()), [](const auto &info) { return info.param.name; });

} // namespace mulberrywall::platform
