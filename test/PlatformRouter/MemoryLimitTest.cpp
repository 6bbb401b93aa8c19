#include "PlatformRouterFixture.h"

#include "Adapter/EndlessEndpoint.h"
#include "Adapter/EndpointBytes.h"

#include <future>
#include <memory>
#include <vector>

namespace mulberrywall::platform
{

using MemoryLimitTest = PlatformRouterTest;

namespace
{

/// Returns the peak of the resident memory of a process in MB.
std::size_t peakMemoryMb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            constexpr std::size_t kilobytesPerMegabyte = 1000;
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / kilobytesPerMegabyte;
        }
    }
    ADD_FAILURE() << "no peak of the resident memory";
    return 0;
}

std::vector<EndlessBytes> endlessResponses()
{
    const std::string head = confirmedHead("{id}");
    return {{.name = "body", .target = "/other/x", .start = head, .repeated = "x"},
        {.name = "event", .target = "/other-stream/x", .start = head, .repeated = "data: x\n"},
        {.name = "header", .target = "/other/x", .start = "HTTP/1.1 200 OK\r\n", .repeated = "field: value\r\n"},
        {.name = "noise", .target = "/other/x", .start = "\x01", .repeated = "\x01\x02\x7f"}};
}

} // namespace

/// Guards against a faulty endpoint that sends without end to many requests at once: each of the responses stayed within its own
/// limit, and all together exceeded the memory of the instance, which ended the process and the requests of all other callers.
TEST_F(MemoryLimitTest, ManyEndlessResponsesStayWithinTheMemoryOfTheInstance)
{
    constexpr unsigned requests = 40;
    constexpr unsigned soundRequests = 8;
    // Workers of their own, so that the store and the sound endpoint answer in time.
    support::WorkerPool faultyWorkers(2);
    std::vector<std::unique_ptr<EndlessEndpoint>> faultyEndpoints;
    for (const EndlessBytes &bytes : endlessResponses()) {
        faultyEndpoints.push_back(std::make_unique<EndlessEndpoint>(faultyWorkers, bytes));
        const EndlessEndpoint &faulty = *faultyEndpoints.back();
        store_.write("servers", "faulty", endpointEntry(faulty.port(), otherService, requests));
        harness::waitUntil("the faulty endpoint is in use", [&] {
            send(makeCall(validKey, "first-" + std::to_string(++requests_), bytes.target));
            return faulty.sentBytes() > 0;
        });
        std::vector<std::future<Reply>> replies;
        for (unsigned number = 0; number < requests; ++number) {
            const Call call = makeCall(validKey, "faulty-" + std::to_string(++requests_), bytes.target);
            replies.push_back(std::async(std::launch::async, [call] { return send(call); }));
        }
        for (unsigned number = 0; number < soundRequests; ++number) {
            EXPECT_EQ(request(validKey).status, ok) << bytes.name;
        }
        for (std::future<Reply> &reply : replies) {
            EXPECT_NE(reply.get().status, ok) << bytes.name;
        }
        ASSERT_FALSE(router_->hasEnded()) << bytes.name << router_->output();
        EXPECT_LT(peakMemoryMb(router_->pid()), memoryLimitMb) << bytes.name;
        store_.remove("servers", "faulty");
    }
    faultyWorkers.stop();
    faultyWorkers.join();
}

} // namespace mulberrywall::platform
