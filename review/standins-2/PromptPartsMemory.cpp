// Case 10: callers whose prompts consist of very many short parts, and a platform that kills a process above its memory.
#include "Kit.h"

using namespace review;

namespace
{

/// As on the sheet of hallbrook-ops.
constexpr unsigned engines = 12;
constexpr unsigned engineTokens = 621'807;
constexpr unsigned memoryMb = 260;
constexpr std::uint64_t kibibytesPerMb = 1'024;

constexpr unsigned routers = 2;
/// Processes that end by themselves so often, on two machines, are a fault.
constexpr unsigned endsOfFault = 3;
constexpr unsigned senders = 4;
constexpr unsigned partsPerPrompt = 1'500;
constexpr unsigned ordinaryParts = 3;
/// Prompts of one caller in the life of a process, at most.
constexpr unsigned maximumPrompts = 3'600;
constexpr milliseconds patience {8'000};
constexpr std::chrono::seconds runTime {100};

std::string makePrompt(unsigned number, unsigned parts, unsigned tokens)
{
    std::string text;
    for (unsigned part = 0; part < parts; ++part) {
        char entry[32];
        std::snprintf(entry, sizeof(entry), "%s%x:%u", part == 0 ? "" : ",", number * parts + part + 0x10000U, tokens);
        text += entry;
    }
    return text;
}

/// Returns the resident memory of the process, or 0 if it has ended.
std::uint64_t residentKibibytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoull(line.substr(6));
        }
    }
    return 0;
}

/// One machine: a router, a caller that misbehaves, and the platform that watches the memory.
class Machine
{
public:
    Machine(const Store &store, unsigned number, const std::string &folder)
        : router_(store, {.name = "edge-dc-a-" + std::to_string(number + 1), .ip = makeLoopbackAddress(number), .settings = {}}, folder)
    {
    }

    /// Returns how often the process has ended because of its memory, or nothing if it could not be started.
    std::optional<unsigned> run(Clock::time_point end)
    {
        unsigned ends = 0;
        while (ends < endsOfFault && Clock::now() < end) {
            router_.start();
            if (!router_.waitUntilReady(milliseconds(8'000))) {
                return std::nullopt;
            }
            std::this_thread::sleep_for(milliseconds(1'500));
            if (!live(end)) {
                return ends;
            }
            ++ends;
        }
        return ends;
    }

private:
    /// Runs the process until it exceeds its memory or its caller has sent all. Returns whether it was killed.
    bool live(Clock::time_point end)
    {
        next_ = 0;
        served_ = 0;
        stopped_ = false;
        std::vector<std::thread> threads;
        for (unsigned sender = 0; sender < senders; ++sender) {
            threads.emplace_back([this, end] { sendPrompts(end); });
        }
        bool isKilled = false;
        std::uint64_t highest = 0;
        while (!isKilled && next_ < maximumPrompts && Clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(50));
            highest = std::max(highest, residentKibibytes(router_.process()));
            isKilled = highest > memoryMb * kibibytesPerMb;
        }
        stopped_ = true;
        router_.kill();
        for (std::thread &thread : threads) {
            thread.join();
        }
        record().write("process used " + std::to_string(highest) + " KiB at most, after " + std::to_string(served_.load())
            + " prompts answered with 200: " + (isKilled ? "above its memory, killed by the platform" : "within its memory"));
        return isKilled;
    }

    void sendPrompts(Clock::time_point end)
    {
        const unsigned parts = hasTrouble() ? partsPerPrompt : ordinaryParts;
        const unsigned tokens = partsPerPrompt / parts;
        for (unsigned number = next_++; number < maximumPrompts && !stopped_ && Clock::now() < end; number = next_++) {
            const std::string id = makeId();
            Request request {.method = "POST", .target = "/chat/x", .headers = callerHeaders(id, 8'000), .body = "prompt"};
            request.headers.emplace_back("Mulberrywall-Model", "m");
            request.headers.emplace_back("Mulberrywall-Token-Count", std::to_string(partsPerPrompt) + ",5");
            request.headers.emplace_back("Mulberrywall-Prefix-Hash", makePrompt(number, parts, tokens));
            const Answer answer = call(router_.front(), request, patience);
            served_ += answer.end == End::Complete && answer.message.status == 200 ? 1 : 0;
            if (number % 500 == 0) {
                record().write("prompt " + std::to_string(number) + " of " + std::to_string(parts) + " parts, " + std::to_string(render(request).size())
                    + " bytes, request " + id + ": " + describe(answer));
            }
        }
    }

    Router router_;
    std::atomic<unsigned> next_ {0};
    std::atomic<unsigned> served_ {0};
    std::atomic<bool> stopped_ {false};
};

Verdict run(const std::string &folder)
{
    Store &store = keep<Store>();
    json::object document = makeDocument(7, {{.name = "chat", .type = "stream", .service = "engine", .timeoutMs = 8'000, .sloMs = 800}});
    document["services"].as_array().front().as_object()["engine"].as_object()["kvCapacity"] = engineTokens;
    store.write("op", "config", json::serialize(document));
    for (unsigned number = 0; number < engines; ++number) {
        keep<Endpoint>(store, "i-engine" + std::to_string(number), "engine", 64U, [](Socket &socket, const Message &request) {
            return answerStream(socket, request, 1, milliseconds(1));
        });
    }
    const auto end = Clock::now() + runTime;
    std::vector<std::optional<unsigned>> ends(routers);
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < routers; ++number) {
        threads.emplace_back([&, number] { ends[number] = Machine(store, number, folder).run(end); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (unsigned number = 0; number < routers; ++number) {
        if (!ends[number]) {
            record().write("machine " + std::to_string(number + 1) + ": the router did not become ready");
            return Verdict::NotRun;
        }
        record().write("machine " + std::to_string(number + 1) + ": the process ended " + std::to_string(*ends[number]) + " times because of its memory");
    }
    const bool isFault = std::all_of(ends.begin(), ends.end(), [](const std::optional<unsigned> &count) { return *count >= endsOfFault; });
    return isFault ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
