// The body of a request holds the bytes of another request. Its transfer coding is not one that tells where the body ends.

#include "../standins/Endpoint.h"

#include <iostream>

namespace review
{

namespace
{

constexpr unsigned requests = 10;
constexpr unsigned deadlineMs = 8'000;
constexpr milliseconds clientTimeout {10'000};
/// Time within which a second answer on the connection would arrive.
constexpr milliseconds settleTime {500};

/// Renders the outer request. Its framing is a length, or with the disruption a transfer coding without chunks.
std::string renderOuter(const std::string &id, const std::string &body, Trouble trouble)
{
    Request request = makeRequest("POST", "/book/outer", id, deadlineMs);
    if (trouble == Trouble::Off) {
        request.body = body;
        return render(request);
    }
    request.headers.emplace_back("Transfer-Encoding", "gzip");
    request.method = "POST";
    std::string text = render(request);
    // render() adds a length, which this request does not have.
    const std::string length = "Content-Length: 0\r\n";
    text.erase(text.find(length), length.size());
    return text + body;
}

CaseResult run(const std::string &folder, Trouble trouble)
{
    Record record(folder + "/record.txt");
    const TemporaryFolder temporary;
    const std::string host = ownLoopbackHost();
    Store store(host);
    Endpoint endpoint(record, {.id = "endpoint-0", .host = host});
    store.write("op", "config", renderConfiguration(1, {{.name = "book", .prefix = "/book/", .type = "unsafe", .service = "office"}}, {"office"}));
    store.write("servers", "endpoint-0", renderEndpoint("office", endpoint.address(), 6));
    RouterProcess router({.command = deployedCommand("deploy/system.toml"), .host = host, .store = store.address(), .folder = temporary.path()});
    router.start();
    if (!router.waitUntilReady(milliseconds(20'000))) {
        record.add("the router did not become ready");
        return CaseResult::NotRun;
    }
    unsigned answered = 0;
    for (unsigned number = 0; number < requests; ++number) {
        const std::string id = "request-" + std::to_string(number);
        const std::string body = render(makeRequest("POST", "/book/inner", "inside-" + id, deadlineMs));
        const auto connection = Connection::open(router.front());
        if (!connection) {
            return CaseResult::NotRun;
        }
        record.add("client sends " + id + " with a body of " + std::to_string(body.size()) + " bytes, and no other request");
        const Reply reply = exchangeBytes(*connection, renderOuter(id, body, trouble), clientTimeout);
        answered += reply.complete && reply.status == 200 ? 1 : 0;
        const bool sendsMore = connection->receive(settleTime) > 0;
        record.add("client got status " + std::to_string(reply.status) + " for " + id
            + (sendsMore ? ", and then another response: " + connection->buffer().substr(0, connection->buffer().find('\r')) : ""));
    }
    unsigned smuggled = 0;
    unsigned changed = 0;
    for (const Endpoint::Run &run : endpoint.runs()) {
        smuggled += run.id.starts_with("inside-") ? 1 : 0;
        changed += run.id.starts_with("request-") && run.bodyBytes == 0 ? 1 : 0;
    }
    const std::string summary = std::to_string(requests) + " requests, " + std::to_string(answered) + " answered 200, " + std::to_string(changed)
        + " run without their body, " + std::to_string(smuggled) + " requests run that stood inside another";
    record.add(summary);
    std::cout << summary << '\n';
    if (smuggled + changed > 0) {
        return CaseResult::RuleBroken;
    }
    return trouble == Trouble::Off && answered < requests ? CaseResult::NotRun : CaseResult::RuleHeld;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::run);
}
