// Case 8: the operator removes the only tenant, and with it the keys of its callers.
#include "Kit.h"

using namespace review;

namespace
{

constexpr milliseconds revokeMs {5'000};
constexpr milliseconds slack {1'000};
constexpr milliseconds answerLimit {3'000};
constexpr unsigned requests = 10;

/// Key that no configuration ever held.
constexpr std::string_view unknownKey = "unknown0000000000000";
/// The path tells the endpoint's record which key the caller sent.
constexpr std::string_view removedPath = "/balance/removed";
constexpr std::string_view unknownPath = "/balance/unknown";

std::atomic<bool> isRevoked {false};
std::atomic<unsigned> runsWithRemovedKey {0};
std::atomic<unsigned> runsWithUnknownKey {0};

json::object makeDocumentWith(std::uint64_t version, const json::array &tenants)
{
    json::object document = makeDocument(
        version, {{.name = "balance", .type = "safe", .service = "ledger", .attempts = 2}, {.name = "book", .type = "unsafe", .service = "ledger"}});
    document["tenants"] = tenants;
    return document;
}

void send(const Router &router, std::string_view key, std::string_view target)
{
    const std::string id = makeId();
    Request request {.target = std::string(target), .headers = callerHeaders(id, 2'000)};
    for (auto &[name, value] : request.headers) {
        value = name == "Authorization" ? "Bearer " + std::string(key) : value;
    }
    const Answer answer = call(router.front(), request, answerLimit);
    record().write("GET " + request.target + ", request " + id + ", key " + std::string(key) + ": " + describe(answer));
}

Verdict run(const std::string &folder)
{
    Store &store = keep<Store>();
    const json::object tenant {{"name", "hule930"}, {"apiKeys", json::array {callerKey}}, {"priority", 1}};
    store.write("op", "config", json::serialize(makeDocumentWith(7, json::array {tenant})));
    keep<Endpoint>(store, "i-ledger0", "ledger", 6U, [](Socket &socket, const Message &request) {
        const std::string id = header(request, "Mulberrywall-Request-Id");
        record().write("endpoint runs " + request.method + " " + request.target + " " + id + " for tenant '" + header(request, "Mulberrywall-Tenant") + "'");
        if (isRevoked) {
            ++(request.target == removedPath ? runsWithRemovedKey : runsWithUnknownKey);
        }
        return answerWhole(socket, request, "balance 812");
    });
    Router router(store, {}, folder);
    router.start();
    if (!router.waitUntilReady(milliseconds(8'000))) {
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(milliseconds(1'500));
    send(router, callerKey, removedPath);
    send(router, unknownKey, unknownPath);
    if (hasTrouble()) {
        store.write("op", "config", json::serialize(makeDocumentWith(9, json::array {})));
        record().write("version 9 without the tenant is acknowledged");
    }
    std::this_thread::sleep_for(revokeMs + slack);
    isRevoked = hasTrouble();
    for (unsigned number = 0; number < requests; ++number) {
        send(router, callerKey, removedPath);
        send(router, unknownKey, unknownPath);
    }
    record().write(std::to_string(runsWithRemovedKey.load()) + " of " + std::to_string(requests)
        + " requests with the removed key ran, sent later than revokeMs after the acknowledgement; of as many with a key that no configuration ever held "
        + std::to_string(runsWithUnknownKey.load()) + " ran");
    return runsWithRemovedKey > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
