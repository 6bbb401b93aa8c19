// Case 9: a request with the method HEAD on a route for streams, and the next request on the same connection.
#include "Kit.h"

using namespace review;

namespace
{

constexpr unsigned rounds = 10;
constexpr milliseconds pause {300};
constexpr milliseconds answerLimit {3'000};

Request makeFirst(const std::string &id)
{
    Request request {.method = hasTrouble() ? "HEAD" : "POST", .target = "/chat/x", .headers = callerHeaders(id, 4'000)};
    request.headers.emplace_back("Mulberrywall-Model", "m");
    request.headers.emplace_back("Mulberrywall-Token-Count", "600,20");
    request.headers.emplace_back("Mulberrywall-Prefix-Hash", "5c1e07a2:400,91bd3f06:200");
    return request;
}

/// Returns whether both answers were as the protocol says.
bool runRound(const Router &router)
{
    const std::string firstId = makeId();
    const std::string secondId = makeId();
    const Request first = makeFirst(firstId);
    Socket socket = connectTo(router.front());
    Reader reader(socket);
    Message answer;
    if (!socket.send(render(first)) || reader.read(answer, Clock::now() + answerLimit, first.method == "HEAD") != End::Complete) {
        record().write(first.method + " " + firstId + ": no answer");
        return true;
    }
    record().write(first.method + " " + firstId + ": status " + std::to_string(answer.status) + ", seal " + header(answer, "Mulberrywall-Server-Seal"));
    std::this_thread::sleep_for(pause);
    if (!socket.send(render({.target = "/balance/x", .headers = callerHeaders(secondId, 4'000)}))) {
        record().write("GET " + secondId + ": the connection was closed before it");
        return true;
    }
    const End end = reader.read(answer, Clock::now() + answerLimit);
    if (end == End::Complete && answer.status == 200 && answer.body == "balance " + secondId) {
        record().write("GET " + secondId + " on the same connection: its own answer");
        return true;
    }
    if (end == End::Malformed) {
        record().write("GET " + secondId + " on the same connection: the bytes that came first are no answer in the protocol");
        return false;
    }
    record().write("GET " + secondId + " on the same connection: status " + std::to_string(answer.status) + ", or no answer");
    return true;
}

Verdict run(const std::string &folder)
{
    Store &store = keep<Store>();
    store.write("op",
        "config",
        json::serialize(makeDocument(7,
            {{.name = "chat", .type = "stream", .service = "engine", .timeoutMs = 4'000, .sloMs = 800},
                {.name = "balance", .type = "safe", .service = "ledger", .attempts = 2}})));
    keep<Endpoint>(store, "i-engine0", "engine", 64U, [](Socket &socket, const Message &request) {
        record().write("endpoint runs " + request.method + " " + header(request, "Mulberrywall-Request-Id"));
        // The answer to HEAD has no body.
        return request.method == "HEAD" ? socket.send(streamHead(request)) : answerStream(socket, request, 3, milliseconds(5));
    });
    keep<Endpoint>(store, "i-ledger0", "ledger", 6U, [](Socket &socket, const Message &request) {
        const std::string id = header(request, "Mulberrywall-Request-Id");
        record().write("endpoint runs " + request.method + " " + id);
        return answerWhole(socket, request, "balance " + id);
    });
    Router router(store, {}, folder);
    router.start();
    if (!router.waitUntilReady(milliseconds(8'000))) {
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(milliseconds(1'500));
    unsigned broken = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        broken += runRound(router) ? 0 : 1;
    }
    record().write(std::to_string(broken) + " of " + std::to_string(rounds) + " connections carried bytes that are no answer");
    return broken > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
