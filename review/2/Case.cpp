// The operator moves a route to another service and drops the old one, while requests wait for a slot of the old one.

#include "../standins/Endpoint.h"

#include <array>
#include <iostream>

namespace review
{

namespace
{

constexpr unsigned slots = 6;
constexpr unsigned requests = 18;
/// Time for which an endpoint works on each request.
constexpr milliseconds workTime {700};
/// The time of the change after the requests were sent.
constexpr milliseconds timeOfChange {400};
/// Calm time before the requests: longer than contactMs, 3,000.
constexpr milliseconds calmTime {4'000};
/// Requests of the calm time, which shows how often the router closes connections without an answer at other times.
constexpr unsigned calmRequests = 5;
/// Bound lossSlackMs: a request whose connection ends sooner after its last byte doesn't count.
constexpr milliseconds lossSlack {200};
constexpr unsigned deadlineMs = 8'000;
constexpr milliseconds clientTimeout {10'000};

bool isLost(const Reply &reply)
{
    return !reply.complete && reply.duration > lossSlack;
}

/// Sends one request after the other through the calm time. Returns the number that got no answer.
unsigned sendCalmRequests(Record &record, const Address &front)
{
    const Clock::time_point end = Clock::now() + calmTime;
    unsigned lost = 0;
    for (unsigned number = 0; number < calmRequests; ++number) {
        lost += exchange(front, makeRequest("POST", "/book/x", "calm-" + std::to_string(number), deadlineMs), clientTimeout).complete ? 0 : 1;
    }
    std::this_thread::sleep_until(end);
    record.add("calm time: " + std::to_string(calmRequests) + " requests, " + std::to_string(lost) + " without an answer");
    return lost;
}

CaseResult run(const std::string &folder, Trouble trouble)
{
    Record record(folder + "/record.txt");
    const TemporaryFolder temporary;
    const std::string host = ownLoopbackHost();
    Store store(host);
    RouteOptions route {.name = "book", .prefix = "/book/", .type = "unsafe", .service = "office", .targetMs = 6'000};
    store.write("op", "config", renderConfiguration(1, {route}, {"office", "desk"}));
    Endpoint office(record, {.id = "endpoint-of-office", .host = host, .workTime = workTime});
    Endpoint desk(record, {.id = "endpoint-of-desk", .host = host, .workTime = workTime});
    store.write("servers", "endpoint-of-office", renderEndpoint("office", office.address(), slots));
    store.write("servers", "endpoint-of-desk", renderEndpoint("desk", desk.address(), slots));
    RouterProcess router({.command = deployedCommand("deploy/system.toml"), .host = host, .store = store.address(), .folder = temporary.path()});
    router.start();
    if (!router.waitUntilReady(milliseconds(20'000))) {
        record.add("the router did not become ready");
        return CaseResult::NotRun;
    }
    const unsigned lostBefore = sendCalmRequests(record, router.front());
    std::array<Reply, requests> replies;
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < requests; ++number) {
        const std::string id = "request-" + std::to_string(number);
        record.add("client sends " + id);
        clients.emplace_back([&reply = replies.at(number), id, front = router.front()] {
            reply = exchange(front, makeRequest("POST", "/book/x", id, deadlineMs), clientTimeout);
        });
    }
    std::this_thread::sleep_for(timeOfChange);
    if (trouble == Trouble::On) {
        route.service = "desk";
        store.write("op", "config", renderConfiguration(2, {route}, {"desk"}));
        record.add("the store acknowledges version 2: the route goes to the service desk, the service office is gone");
    }
    for (std::thread &client : clients) {
        client.join();
    }
    unsigned answered = 0;
    unsigned lost = 0;
    for (unsigned number = 0; number < requests; ++number) {
        const Reply &reply = replies.at(number);
        answered += reply.complete ? 1 : 0;
        lost += isLost(reply) ? 1 : 0;
        record.add("client got for request-" + std::to_string(number) + " after " + std::to_string(reply.duration.count())
            + " ms: " + (reply.complete ? "status " + std::to_string(reply.status) : "no answer, " + reply.failure));
    }
    const std::string summary = std::to_string(requests) + " requests, " + std::to_string(answered) + " answered, " + std::to_string(lost)
        + " read whole and closed without an answer";
    record.add(summary);
    std::cout << summary << '\n';
    // Beside a configuration, cut requests count only if they are cut over three times as often as at other times.
    const bool isMoreOften = lost * calmRequests > 3 * lostBefore * requests;
    return isMoreOften ? CaseResult::RuleBroken : CaseResult::RuleHeld;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::run);
}
