// Case 7: the operator's document grows by many routes while many prompts come at once.
#include "Kit.h"

#include <set>

using namespace review;

namespace
{

/// Routes by which the configuration grows.
constexpr unsigned addedRoutes = 350;
/// Each tenant has a priority of its own.
constexpr unsigned tenants = 10;
constexpr unsigned engines = 2;
constexpr unsigned promptsPerSecond = 45;
/// One plain request comes beside so many prompts.
constexpr unsigned promptsPerLookup = 4;
constexpr std::chrono::seconds burst {9};
constexpr unsigned lookupTimeoutMs = 2'000;
constexpr milliseconds lateness {500};
constexpr milliseconds patience {10'000};
/// Prompt tokens that an engine reads in a millisecond.
constexpr double tokensPerMs = 48.2;
constexpr unsigned sharedTokens = 13'300;
constexpr unsigned ownTokens = 3'720;
constexpr unsigned sharedParts = 100;

std::string keyOf(unsigned tenant)
{
    return "key" + std::to_string(tenant) + "nfzs989anu6wsjnb";
}

std::string makeConfiguration(std::uint64_t version, bool isGrown)
{
    std::vector<Route> routes {{.name = "standing", .type = "stream", .service = "engine", .timeoutMs = 5'000, .sloMs = 800},
        {.name = "draft", .type = "stream", .service = "engine", .timeoutMs = 8'000, .sloMs = 500},
        {.name = "balance", .type = "safe", .service = "ledger", .timeoutMs = lookupTimeoutMs, .attempts = 2}};
    for (unsigned number = 0; isGrown && number < addedRoutes; ++number) {
        routes.push_back({.name = "more" + std::to_string(number), .type = "safe", .service = "ledger"});
    }
    json::object document = makeDocument(version, routes);
    json::array list;
    for (unsigned tenant = 0; tenant < tenants; ++tenant) {
        list.push_back(json::object {{"name", "tenant" + std::to_string(tenant)}, {"apiKeys", json::array {keyOf(tenant)}}, {"priority", tenant}});
    }
    document["tenants"] = std::move(list);
    return json::serialize(document);
}

/// Reads prompts one after another and keeps their shared parts.
class Engine
{
public:
    void read(const std::string &sharedPart)
    {
        const std::scoped_lock lock(mutex_);
        const unsigned tokens = ownTokens + (cached_.insert(sharedPart).second ? sharedTokens : 0);
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(tokens / tokensPerMs));
    }

private:
    std::mutex mutex_;
    std::set<std::string> cached_;
};

Request makePrompt(unsigned number)
{
    Request request {.method = "POST", .target = number % 2 == 0 ? "/standing/x" : "/draft/x", .headers = callerHeaders(makeId(), 5'000), .body = "prompt"};
    request.headers.emplace_back("Mulberrywall-Model", "m");
    request.headers.emplace_back("Mulberrywall-Token-Count", std::to_string(sharedTokens + ownTokens) + ",12");
    request.headers.emplace_back("Mulberrywall-Prefix-Hash",
        "5c1e" + std::to_string(number % sharedParts) + ":" + std::to_string(sharedTokens) + ",e440" + std::to_string(number) + ":"
            + std::to_string(ownTokens));
    return request;
}

struct Result
{
    unsigned lookups = 0;
    unsigned unansweredAtTimeout = 0;
    unsigned unansweredLater = 0;
    unsigned prompts = 0;
    unsigned servedPrompts = 0;
};

class Callers
{
public:
    explicit Callers(const Router &router)
        : router_(router)
    {
    }

    Result run()
    {
        std::vector<std::thread> threads;
        const auto start = Clock::now();
        for (unsigned number = 0; Clock::now() - start < burst; ++number) {
            std::this_thread::sleep_until(start + std::chrono::microseconds(1'000'000 / promptsPerSecond) * number);
            threads.emplace_back([this, number] { sendPrompt(number); });
            if (number % promptsPerLookup == 0) {
                threads.emplace_back([this, number] { sendLookup(number / promptsPerLookup); });
            }
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return result_;
    }

private:
    [[nodiscard]] Answer send(const Request &original, unsigned tenant) const
    {
        Request request = original;
        for (auto &[name, value] : request.headers) {
            value = name == "Authorization" ? "Bearer " + keyOf(tenant) : value;
        }
        Answer answer = call(router_.front(), request, patience);
        record().write(request.target + ", request " + headerOf(request.headers, "Mulberrywall-Request-Id") + ": " + describe(answer));
        return answer;
    }

    void sendPrompt(unsigned number)
    {
        const Answer answer = send(makePrompt(number), number % tenants);
        const std::scoped_lock lock(mutex_);
        ++result_.prompts;
        result_.servedPrompts += answer.end == End::Complete && answer.message.status == 200 ? 1 : 0;
    }

    void sendLookup(unsigned number)
    {
        const Answer answer = send({.target = "/balance/x", .headers = callerHeaders(makeId(), 4'000)}, number % tenants);
        const bool isAnswered = answer.end != End::TimedOut;
        const std::scoped_lock lock(mutex_);
        ++result_.lookups;
        result_.unansweredAtTimeout += !isAnswered || answer.time >= milliseconds(lookupTimeoutMs) ? 1 : 0;
        result_.unansweredLater += !isAnswered || answer.time >= milliseconds(lookupTimeoutMs) + lateness ? 1 : 0;
    }

    const Router &router_;
    std::mutex mutex_;
    Result result_;
};

Verdict run(const std::string &folder)
{
    Store &store = keep<Store>();
    store.write("op", "config", makeConfiguration(7, false));
    for (unsigned number = 0; number < engines; ++number) {
        Engine &engine = keep<Engine>();
        keep<Endpoint>(store, "i-engine" + std::to_string(number), "engine", 64U, [&engine](Socket &socket, const Message &request) {
            const std::string parts = header(request, "Mulberrywall-Prefix-Hash");
            engine.read(parts.substr(0, parts.find(',')));
            return answerStream(socket, request, 2, milliseconds(10));
        });
        keep<Endpoint>(store, "i-ledger" + std::to_string(number), "ledger", 6U, [](Socket &socket, const Message &request) {
            std::this_thread::sleep_for(milliseconds(60));
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
    if (hasTrouble()) {
        const std::string configuration = makeConfiguration(9, true);
        store.write("op", "config", configuration);
        record().write("version 9 with " + std::to_string(addedRoutes) + " routes more, " + std::to_string(configuration.size()) + " bytes, is acknowledged");
    }
    std::this_thread::sleep_for(milliseconds(3'000));
    const Result result = Callers(router).run();
    record().write("prompts: " + std::to_string(result.prompts) + ", served: " + std::to_string(result.servedPrompts));
    record().write("lookups: " + std::to_string(result.lookups) + ", unanswered at the route's timeout: " + std::to_string(result.unansweredAtTimeout)
        + ", of these without an answer 500 ms later: " + std::to_string(result.unansweredLater));
    if (!router.isRunning()) {
        return Verdict::Broken;
    }
    const bool isBroken = result.unansweredAtTimeout >= 8 && 2 * result.unansweredLater > result.unansweredAtTimeout;
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
