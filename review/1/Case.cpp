// One of four endpoints crashes while it sends its answers. It has begun them before it has read the long bodies of the requests, and
// they have no length: they end with their connections. An answer whose connection is reset must not be passed on as a whole one.

#include "../standins/Case.h"

#include <array>
#include <atomic>
#include <iostream>
#include <memory>
#include <span>

namespace review
{

namespace
{

/// Within the limit maxBodyBytes of the operator's document, 4,194,304.
constexpr std::size_t bodyBytes = 4'190'000;
constexpr std::size_t answerBytes = 60'000;
/// What the endpoint has sent of each answer when it crashes.
constexpr std::size_t sentBeforeCrash = 20'000;
constexpr std::size_t endpoints = 4;
constexpr unsigned slots = 6;
constexpr unsigned requests = 8;
constexpr unsigned deadlineMs = 8'000;
constexpr milliseconds clientTimeout {10'000};
/// Time within which all requests have to begin to run.
constexpr milliseconds startTimeout {8'000};
/// Time from then to the crash, and from the crash until the sound endpoints read the bodies and send the rest of their answers.
constexpr milliseconds pauseInAnswers {300};
constexpr int receiveBufferBytes = 16 * 1024;
constexpr std::string_view headerEnd = "\r\n\r\n";

std::string answerFor(const std::string &id)
{
    std::string answer;
    while (answer.size() < answerBytes) {
        answer += id + ":" + std::to_string(answer.size()) + ";";
    }
    answer.resize(answerBytes);
    return answer;
}

std::string requestIdIn(const std::string &head)
{
    constexpr std::string_view name = "Mulberrywall-Request-Id: ";
    const std::size_t start = head.find(name) + name.size();
    return head.substr(start, head.find("\r\n", start) - start);
}

/// An endpoint that begins its answer as soon as it has read the header, and reads the body later.
class EarlyEndpoint
{
public:
    EarlyEndpoint(Record &record, std::string id, const std::string &host)
        : record_(record),
          id_(std::move(id)),
          listener_(
              host, [this](Connection &connection) { serve(connection); }, receiveBufferBytes)
    {
    }

    [[nodiscard]] const Address &address() const
    {
        return listener_.address();
    }

    /// Refuses new connections and resets the open ones, as the kernel does for a process that ends with unread bytes.
    void crash()
    {
        record_.add(id_ + " crashes");
        crashed_ = true;
        listener_.close();
    }

    void sendRest()
    {
        mayEnd_ = true;
    }

    [[nodiscard]] unsigned begun() const
    {
        return begun_;
    }

private:
    void serve(Connection &connection)
    {
        std::string &buffer = connection.buffer();
        while (buffer.find(headerEnd) == std::string::npos) {
            if (connection.receive(clientTimeout) <= 0) {
                return;
            }
        }
        const std::string request = requestIdIn(buffer);
        const std::string answer = answerFor(request);
        record_.add(id_ + " begins to run " + request + " and sends " + std::to_string(sentBeforeCrash) + " of " + std::to_string(answerBytes) + " bytes");
        connection.send(
            "HTTP/1.1 200 OK\r\nMulberrywall-Request-Id: " + request + "\r\nMulberrywall-Server-Seal: seal-of-" + request + "\r\nConnection: close\r\n\r\n");
        connection.send(std::string_view(answer).substr(0, sentBeforeCrash));
        ++begun_;
        while (!crashed_ && !mayEnd_) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        if (crashed_) {
            connection.reset();
            return;
        }
        const std::size_t headerSize = buffer.find(headerEnd) + headerEnd.size();
        while (buffer.size() < headerSize + bodyBytes) {
            if (connection.receive(clientTimeout) <= 0) {
                return;
            }
        }
        connection.send(std::string_view(answer).substr(sentBeforeCrash));
        record_.add(id_ + " has sent the whole answer to " + request);
    }

    Record &record_;
    std::string id_;
    std::atomic<unsigned> begun_ {0};
    std::atomic<bool> crashed_ {false};
    std::atomic<bool> mayEnd_ {false};
    Listener listener_;
};

struct Outcome
{
    std::string id;
    Reply reply;

    [[nodiscard]] bool isSuccess() const
    {
        return reply.complete && reply.status == 200;
    }
    [[nodiscard]] bool isWhole() const
    {
        return reply.body == answerFor(id);
    }
};

CaseResult judge(Record &record, std::span<const Outcome> outcomes, Trouble trouble)
{
    unsigned whole = 0;
    unsigned partial = 0;
    for (const Outcome &outcome : outcomes) {
        const Reply &reply = outcome.reply;
        whole += outcome.isSuccess() && outcome.isWhole() ? 1 : 0;
        partial += outcome.isSuccess() && !outcome.isWhole() ? 1 : 0;
        record.add("client got for " + outcome.id + ": status " + std::to_string(reply.status) + (reply.complete ? ", complete, " : ", incomplete, ")
            + std::to_string(reply.body.size()) + " bytes, length field '" + std::string(headerOf(reply.headers, "Content-Length")) + "', seal '"
            + std::string(headerOf(reply.headers, "Mulberrywall-Server-Seal")) + "'"
            + (outcome.isSuccess() && !outcome.isWhole() ? ": MIXED, not the endpoint's whole body" : ""));
    }
    const std::string summary = std::to_string(requests) + " requests, " + std::to_string(whole) + " served whole, " + std::to_string(partial)
        + " answered as a whole success with a part of the endpoint's body";
    record.add(summary);
    std::cout << summary << '\n';
    if (partial > 0) {
        return CaseResult::RuleBroken;
    }
    return trouble == Trouble::Off && whole < requests ? CaseResult::NotRun : CaseResult::RuleHeld;
}

/// Waits until the endpoints run all requests. Returns false at the timeout.
bool waitUntilBegun(const std::vector<std::unique_ptr<EarlyEndpoint>> &running)
{
    const Clock::time_point end = Clock::now() + startTimeout;
    while (Clock::now() < end) {
        unsigned begun = 0;
        for (const auto &endpoint : running) {
            begun += endpoint->begun();
        }
        if (begun == requests) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

CaseResult run(const std::string &folder, Trouble trouble)
{
    Record record(folder + "/record.txt");
    const TemporaryFolder temporary;
    const std::string host = ownLoopbackHost();
    Store store(host);
    store.write("op", "config", renderConfiguration(1, {{.name = "write", .prefix = "/write/", .type = "unsafe", .service = "ledger"}}, {"ledger"}));
    std::vector<std::unique_ptr<EarlyEndpoint>> running;
    for (std::size_t number = 0; number < endpoints; ++number) {
        const std::string id = "endpoint-" + std::to_string(number);
        running.push_back(std::make_unique<EarlyEndpoint>(record, id, host));
        store.write("servers", id, renderEndpoint("ledger", running.back()->address(), slots));
    }
    RouterProcess router({.command = deployedCommand("deploy/system.toml"), .host = host, .store = store.address(), .folder = temporary.path()});
    router.start();
    if (!router.waitUntilReady(milliseconds(20'000))) {
        record.add("the router did not become ready");
        return CaseResult::NotRun;
    }
    std::array<Outcome, requests> outcomes;
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < requests; ++number) {
        Outcome &outcome = outcomes.at(number);
        outcome.id = "request-" + std::to_string(number);
        record.add("client sends " + outcome.id + ", POST with " + std::to_string(bodyBytes) + " bytes");
        clients.emplace_back([&outcome, front = router.front()] {
            Request request = makeRequest("POST", "/write/x", outcome.id, deadlineMs);
            request.body = std::string(bodyBytes, 'x');
            outcome.reply = exchange(front, request, clientTimeout);
        });
    }
    const bool haveBegun = waitUntilBegun(running);
    std::this_thread::sleep_for(pauseInAnswers);
    if (trouble == Trouble::On) {
        running.front()->crash();
    }
    std::this_thread::sleep_for(pauseInAnswers);
    for (const auto &endpoint : running) {
        endpoint->sendRest();
    }
    for (std::thread &client : clients) {
        client.join();
    }
    if (!haveBegun) {
        record.add("not all requests began to run in time");
        return CaseResult::NotRun;
    }
    return judge(record, outcomes, trouble);
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, review::run);
}
