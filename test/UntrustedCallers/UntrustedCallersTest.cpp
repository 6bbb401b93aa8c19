// Callers that a router cannot trust, at every kind of path. Each test checks that the process lives and stays within its memory and
// its descriptors, and that it serves an ordinary request while these callers are connected and after they have left.

#include "CallerSwarm.h"
#include "RouterUnderTest.h"

#include "Harness/Wait.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace mulberrywall::untrusted
{

namespace
{

constexpr unsigned ok = 200;
constexpr std::size_t bytesPerMegabyte = 1'000'000;
/// Together they send twice the memory of the process.
constexpr std::size_t callersWithBodies = 30;
constexpr std::size_t callersWithFields = 250;
constexpr std::size_t callersInPipelines = 50;
constexpr std::size_t requestsInPipeline = 200;
/// More than the process has descriptors.
constexpr std::size_t slowCallers = 400;

std::string contentLength(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// Returns a body of the largest legal size that stops one byte short of its end.
CallerBehaviour makeBody(const Target &target)
{
    return {.start = target.head + contentLength(maxBodyBytes), .repeated = "x", .repeats = maxBodyBytes - 1};
}

CallerBehaviour makeChunks(const Target &target)
{
    constexpr std::size_t chunkBytes = 8192;
    const std::string chunk = "2000\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    return {.start = target.head + "Transfer-Encoding: chunked\r\n\r\n", .repeated = chunk, .repeats = maxBodyBytes / chunkBytes};
}

} // namespace

class UntrustedCallersTest : public testing::TestWithParam<Interface>
{
protected:
    /// Connects the callers, and checks the process while they are connected and after they have left.
    void expectWithstands(const std::string &name, std::uint16_t port, std::size_t callers, const CallerBehaviour &behaviour)
    {
        {
            const CallerSwarm swarm(port, callers, behaviour);
            swarm.waitUntilSettled([this] { peakDescriptors_ = std::max(peakDescriptors_, router_->openDescriptors()); });
            expectServes(name + ", callers are connected", "ordinary");
        }
        expectServes(name + ", callers have left", std::string(maxBodyBytes, 'x'));
        EXPECT_LT(router_->peakMemory(), memoryLimitMb * bytesPerMegabyte) << name;
        EXPECT_LT(peakDescriptors_, descriptorLimit) << name;
    }

    void expectAllTargetsWithstand(std::size_t callers, CallerBehaviour (*makeBehaviour)(const Target &))
    {
        for (const Target &target : router_->targets()) {
            expectWithstands(target.name, target.port, callers, makeBehaviour(target));
        }
    }

    std::unique_ptr<RouterUnderTest> router_ = RouterUnderTest::start(GetParam());

private:
    void expectServes(const std::string &name, const std::string &body)
    {
        ASSERT_FALSE(router_->hasEnded()) << name;
        harness::waitUntil("a request is served: " + name, [&] { return send(router_->ordinaryCall(body)).status == ok; });
    }

    std::size_t peakDescriptors_ = 0;
};

/// Guards against bodies of legal size that together exceed the memory of the process.
TEST_P(UntrustedCallersTest, BodiesInOnePiece)
{
    expectAllTargetsWithstand(callersWithBodies, makeBody);
}

TEST_P(UntrustedCallersTest, BodiesInSmallPieces)
{
    expectAllTargetsWithstand(callersWithBodies, [](const Target &target) {
        CallerBehaviour behaviour = makeBody(target);
        behaviour.pieceBytes = 1000;
        return behaviour;
    });
}

/// Guards against bodies whose size is not known before their end.
TEST_P(UntrustedCallersTest, BodiesInChunks)
{
    expectAllTargetsWithstand(callersWithBodies, makeChunks);
}

/// Guards against bodies that are buffered although they exceed the limit.
TEST_P(UntrustedCallersTest, BodiesFarOverTheLimit)
{
    expectAllTargetsWithstand(callersWithBodies, [](const Target &target) {
        CallerBehaviour behaviour = makeBody(target);
        behaviour.start = target.head + contentLength(100 * maxBodyBytes);
        behaviour.repeats = 4 * maxBodyBytes;
        return behaviour;
    });
    expectAllTargetsWithstand(callersWithBodies, [](const Target &target) {
        CallerBehaviour behaviour = makeChunks(target);
        behaviour.repeats *= 4;
        return behaviour;
    });
}

/// Guards against headers of legal size whose many fields take a multiple of their size while the body is awaited.
TEST_P(UntrustedCallersTest, ManyShortFields)
{
    expectAllTargetsWithstand(callersWithFields, [](const Target &target) {
        CallerBehaviour behaviour {.start = target.head};
        const std::string end = contentLength(1000);
        while (behaviour.start.size() + end.size() < maxHeaderBytes - 10) {
            behaviour.start += "a:b\r\n";
        }
        behaviour.start += end;
        return behaviour;
    });
}

/// Guards against requests and responses that accumulate because the responses are not read.
TEST_P(UntrustedCallersTest, PipelinedRequestsWithoutReading)
{
    expectAllTargetsWithstand(callersInPipelines, [](const Target &target) {
        const std::string request = target.head + contentLength(1) + "x";
        return CallerBehaviour {.start = request, .repeated = request, .repeats = requestsInPipeline, .reading = Reading::None};
    });
}

/// Guards against connections that use up the descriptors of the process.
TEST_P(UntrustedCallersTest, SlowSenders)
{
    expectAllTargetsWithstand(slowCallers, [](const Target &target) {
        return CallerBehaviour {.start = target.head + contentLength(1000), .pieceBytes = 10, .pause = std::chrono::milliseconds(50)};
    });
}

/// Guards against whole responses that stay in memory because the callers do not read them.
TEST_P(UntrustedCallersTest, StoppedReaders)
{
    const Target target = router_->largeResponse();
    expectWithstands(target.name, target.port, callersWithBodies, {.start = target.head, .reading = Reading::None});
}

INSTANTIATE_TEST_SUITE_P(Interfaces, UntrustedCallersTest, testing::Values(Interface::Platform, Interface::Product), [](const auto &info) {
    return std::string(info.param == Interface::Platform ? "Platform" : "Product");
});

} // namespace mulberrywall::untrusted
