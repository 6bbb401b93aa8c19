// Case 6: a caller whose prompts consist of very many short parts, and ordinary callers beside it.
#include "Kit.h"

using namespace review;

namespace
{

constexpr unsigned endpoints = 2;
/// Requests of the caller that misbehaves, and how many of them it sends at once.
constexpr unsigned manyPartRequests = 760;
constexpr unsigned senders = 4;
/// Parts that fit into a header of 16384 bytes.
constexpr unsigned partsPerPrompt = 1'500;
constexpr unsigned ordinaryParts = 3;
constexpr milliseconds fillLimit {60'000};
/// Ordinary requests after that: one every so often, for so long.
constexpr milliseconds ordinaryInterval {250};
constexpr milliseconds ordinaryTime {25'000};
constexpr unsigned routeTimeoutMs = 2'000;
constexpr milliseconds lateness {500};
constexpr milliseconds patience {8'000};

std::string makePrompt(unsigned request, unsigned parts, unsigned tokens)
{
    std::string text;
    for (unsigned part = 0; part < parts; ++part) {
        char entry[32];
        std::snprintf(entry, sizeof(entry), "%s%x:%u", part == 0 ? "" : ",", request * parts + part + 0x10000U, tokens);
        text += entry;
    }
    return text;
}

Request makeStreamRequest(const std::string &id, unsigned number, unsigned parts, unsigned tokens)
{
    Request request {.method = "POST", .target = "/chat/x", .headers = callerHeaders(id, 8'000), .body = "prompt"};
    request.headers.emplace_back("Mulberrywall-Model", "m");
    request.headers.emplace_back("Mulberrywall-Token-Count", std::to_string(parts * tokens) + ",5");
    request.headers.emplace_back("Mulberrywall-Prefix-Hash", makePrompt(number, parts, tokens));
    return request;
}

/// Sends the requests of one caller, until one gets no answer. Returns the number that was answered with 200.
unsigned sendPrompts(const Router &router, unsigned parts, unsigned tokens)
{
    std::atomic<unsigned> next {0};
    std::atomic<unsigned> served {0};
    std::atomic<bool> stopped {false};
    const auto end = Clock::now() + fillLimit;
    std::vector<std::thread> threads;
    for (unsigned sender = 0; sender < senders; ++sender) {
        threads.emplace_back([&] {
            for (unsigned number = next++; number < manyPartRequests && !stopped && Clock::now() < end; number = next++) {
                const std::string id = makeId();
                const Request request = makeStreamRequest(id, number, parts, tokens);
                const Answer answer = call(router.front(), request, patience);
                served += answer.end == End::Complete && answer.message.status == 200 ? 1 : 0;
                stopped = stopped || answer.end != End::Complete;
                if (number % 50 == 0 || answer.end != End::Complete) {
                    record().write("prompt " + std::to_string(number) + " of " + std::to_string(parts) + " parts, " + std::to_string(render(request).size())
                        + " bytes, request " + id + ": " + describe(answer));
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record().write(std::to_string(served) + " of " + std::to_string(next.load()) + " prompts answered with 200");
    return served;
}

struct OrdinaryResult
{
    unsigned sent = 0;
    unsigned unansweredAtTimeout = 0;
    unsigned unansweredLater = 0;
};

/// Sends ordinary requests, by turns a safe one and a stream, each on a connection and a thread of its own.
OrdinaryResult sendOrdinaryRequests(const Router &router)
{
    std::mutex mutex;
    OrdinaryResult result;
    std::vector<std::thread> threads;
    const auto end = Clock::now() + ordinaryTime;
    for (unsigned number = 0; Clock::now() < end; ++number) {
        threads.emplace_back([&, number] {
            const std::string id = makeId();
            const Request request = number % 2 == 0 ? Request {.target = "/balance/x", .headers = callerHeaders(id, 8'000)}
                                                    : makeStreamRequest(id, 1'000'000 + number, ordinaryParts, 400);
            const Answer answer = call(router.front(), request, patience);
            record().write("ordinary " + request.target + ", request " + id + ": " + describe(answer));
            const std::scoped_lock lock(mutex);
            ++result.sent;
            const bool isAnswered = answer.end != End::TimedOut;
            result.unansweredAtTimeout += !isAnswered || answer.time >= milliseconds(routeTimeoutMs) ? 1 : 0;
            result.unansweredLater += !isAnswered || answer.time >= milliseconds(routeTimeoutMs) + lateness ? 1 : 0;
        });
        std::this_thread::sleep_for(ordinaryInterval);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return result;
}

Verdict run(const std::string &folder)
{
    Store &store = keep<Store>();
    store.write("op",
        "config",
        json::serialize(makeDocument(7,
            {{.name = "chat", .type = "stream", .service = "engine", .timeoutMs = routeTimeoutMs, .sloMs = 800},
                {.name = "balance", .type = "safe", .service = "ledger", .timeoutMs = routeTimeoutMs, .attempts = 2}})));
    static std::atomic<unsigned> runs {0};
    for (unsigned number = 0; number < endpoints; ++number) {
        keep<Endpoint>(store, "i-engine" + std::to_string(number), "engine", 64U, [](Socket &socket, const Message &request) {
            ++runs;
            return answerStream(socket, request, 2, milliseconds(2));
        });
        keep<Endpoint>(store, "i-ledger" + std::to_string(number), "ledger", 6U, [](Socket &socket, const Message &request) {
            ++runs;
            return answerWhole(socket, request, "balance 812");
        });
    }
    Router router(store, {}, folder);
    router.start();
    if (!router.waitUntilReady(milliseconds(8'000))) {
        record().write("the router did not become ready");
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(milliseconds(2'000));
    // Without the disruption, the same caller sends as many prompts with as many tokens in few parts.
    const unsigned served = hasTrouble() ? sendPrompts(router, partsPerPrompt, 1) : sendPrompts(router, ordinaryParts, partsPerPrompt / ordinaryParts);
    if (served < senders) {
        record().write("hardly any prompt was served");
        return Verdict::NotRun;
    }
    const OrdinaryResult result = sendOrdinaryRequests(router);
    const bool isRunning = router.isRunning();
    record().write("runs at endpoints: " + std::to_string(runs.load()));
    record().write("ordinary requests: " + std::to_string(result.sent) + ", unanswered at the route's timeout: " + std::to_string(result.unansweredAtTimeout)
        + ", of these without an answer 500 ms later: " + std::to_string(result.unansweredLater));
    record().write(isRunning ? "the router's process still runs" : "the router's process has ended by itself");
    const bool isHung = result.unansweredAtTimeout >= 8 && 2 * result.unansweredLater > result.unansweredAtTimeout;
    return isHung || !isRunning ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
