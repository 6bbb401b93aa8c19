#include "CallerBytes.h"
#include "RawEndpoint.h"
#include "RouterTestBase.h"

#include <gtest/gtest.h>

#include <ostream>

namespace mulberrywall::platform
{

/// An answer to request "r1" that is legal although few endpoints send such a one, and what the caller of a call gets.
struct SoundAnswer
{
    std::string name;
    std::string bytes;
    std::string callBytes;
    std::size_t requestBytes = 0;
};

static std::ostream &operator<<(std::ostream &stream, const SoundAnswer &answer)
{
    return stream << answer.name;
}

static std::string chunksWith(const std::string &trailers)
{
    return confirmedHead("r1", "Transfer-Encoding: chunked\r\n") + "22\r\n" + firstEvents + "\r\n0\r\n" + trailers + "\r\n";
}

/// Returns an answer with a status and the bytes that its caller gets.
static SoundAnswer withStatus(const std::string &name, const std::string &status)
{
    return {.name = name,
        .bytes = confirmedHead("r1", lengthField(firstEvents), status) + firstEvents,
        .callBytes = confirmedHead("r1", "Connection: close\r\n" + lengthField(firstEvents), status) + firstEvents};
}

static std::vector<SoundAnswer> soundAnswers()
{
    constexpr std::size_t longRequestBytes = std::size_t {4'000} * 1024;
    constexpr std::size_t mediumRequestBytes = std::size_t {300} * 1024;
    const std::string names = "!#$%&'*+-.^_`|~09azAZ: 1\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 199 Other\r\n\r\n";
    return {{.name = "NoLength", .bytes = confirmedHead("r1") + firstEvents, .callBytes = callBytes()},
        {.name = "NoLengthBeforeAMediumRequestArrived",
            .bytes = confirmedHead("r1") + firstEvents,
            .callBytes = callBytes(),
            .requestBytes = mediumRequestBytes},
        {.name = "NoLengthBeforeALongRequestArrived", .bytes = confirmedHead("r1") + firstEvents, .callBytes = callBytes(), .requestBytes = longRequestBytes},
        {.name = "LengthBeforeALongRequestArrived", .bytes = wholeAnswer(), .callBytes = callBytes(), .requestBytes = longRequestBytes},
        {.name = "ChunksBeforeALongRequestArrived", .bytes = chunksWith(""), .callBytes = callBytes(), .requestBytes = longRequestBytes},
        {.name = "InterimResponses", .bytes = interim + wholeAnswer(), .callBytes = callBytes()},
        {.name = "Trailers", .bytes = chunksWith("X-Sum: 1\r\nX-Empty:\r\n"), .callBytes = callBytes()},
        {.name = "EveryByteOfFieldNames",
            .bytes = confirmedHead("r1", names + lengthField(firstEvents)) + firstEvents,
            .callBytes = confirmedHead("r1", names + "Connection: close\r\n" + lengthField(firstEvents)) + firstEvents},
        withStatus("Status299", "299 Other"),
        withStatus("Status399", "399 Other"),
        withStatus("Status451", "451 Unavailable For Legal Reasons"),
        withStatus("Status599", "599 Other")};
}

/// A router with one endpoint that reads all requests and ends its answers in order.
class SoundAnswerTest : public RouterTestBase, public testing::WithParamInterface<SoundAnswer>
{
protected:
    std::string send(const std::string &target)
    {
        site_ = {};
        endpoints_.push_back(std::make_unique<RawEndpoint>(
            workers_, [](const std::string &) { return std::vector<Write> {{.bytes = GetParam().bytes, .then = AfterWrite::Close}}; }));
        addEndpoint("only", endpoints_.back()->port());
        addRoutes();
        startRouter();
        return sendAndReadBytes(target, "r1", std::string(GetParam().requestBytes, 'x'));
    }

    std::vector<std::unique_ptr<RawEndpoint>> endpoints_;
};

/// Guards against a sound answer that is thrown away by a check for broken ones.
TEST_P(SoundAnswerTest, ReachesTheCaller)
{
    EXPECT_EQ(send("/call/"), GetParam().callBytes);
    if (GetParam().callBytes == callBytes()) {
        EXPECT_EQ(send("/stream/"), streamBytes() + std::string(lastChunk));
    }
}

INSTANTIATE_TEST_SUITE_P(Answers, SoundAnswerTest, testing::ValuesIn(soundAnswers()), [](const auto &info) { return info.param.name; });

} // namespace mulberrywall::platform
