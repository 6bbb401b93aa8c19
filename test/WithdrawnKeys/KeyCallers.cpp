#include "KeyCallers.h"

#include <array>
#include <chrono>
#include <utility>

namespace mulberrywall::withdrawnkeys
{

using harness::Call;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t callersPerRouter = 5;
constexpr unsigned ok = 200;
/// Limits the rate of callers whose requests are rejected at once.
constexpr milliseconds pauseAfterRejection {10};

std::size_t draw(std::minstd_rand &generator, std::size_t number)
{
    return std::uniform_int_distribution<std::size_t>(0, number - 1)(generator);
}

std::string drawKey(std::minstd_rand &generator)
{
    const std::size_t number = draw(generator, keyCount + 2);
    if (number == keyCount) {
        return {};
    }
    return number > keyCount ? "key-that-never-was" : makeKey(number);
}

Call makeCall(const RouterAddress &router, const CallerRecord &record, const std::string &route)
{
    Call call {.address = router.ip,
        .port = router.port,
        .target = "/" + route + "/x",
        .headers = {{"Host", "h"}, {"Mulberrywall-Request-Id", record.id}, {"Mulberrywall-Deadline-Ms", "4000"}},
        .timeout = milliseconds(8'000)};
    if (!record.key.empty()) {
        call.headers.emplace_back("Authorization", "Bearer " + record.key);
    }
    return call;
}

} // namespace

std::string makeKey(std::size_t number)
{
    return "key-" + std::to_string(number);
}

KeyCallers::KeyCallers(const RouterPair &pair, std::uint64_t seed)
{
    for (std::size_t router = 0; router < routerCount; ++router) {
        for (std::size_t caller = 0; caller < callersPerRouter; ++caller) {
            const std::string name = "caller-" + std::to_string(router) + "-" + std::to_string(caller);
            std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(1 + seed * routerCount * callersPerRouter + threads_.size()));
            threads_.emplace_back([this, address = pair.address(router), name, generator] { call(address, name, generator); });
        }
    }
}

KeyCallers::~KeyCallers()
{
    stop();
}

const std::vector<CallerRecord> &KeyCallers::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    return records_;
}

void KeyCallers::call(const RouterAddress &router, const std::string &name, std::minstd_rand generator)
{
    static constexpr std::array<const char *, 4> routes {"safe", "unsafe", "safe", "public"};
    harness::KeptConnection connection;
    for (unsigned number = 0; !stopping_; ++number) {
        const std::string route = routes.at(draw(generator, routes.size()));
        CallerRecord record {
            .id = name + "-" + std::to_string(number), .key = drawKey(generator), .access = route == "public" ? RouteAccess::Public : RouteAccess::NeedsKey};
        const Call call = makeCall(router, record, route);
        const bool isKept = draw(generator, 3) != 0;
        record.sentAt = Clock::now();
        const harness::Reply reply = isKept ? connection.send(call) : harness::send(call);
        record.answeredAt = Clock::now();
        record.status = reply.status;
        {
            const std::scoped_lock lock(mutex_);
            records_.push_back(std::move(record));
        }
        if (reply.status != ok) {
            std::this_thread::sleep_for(pauseAfterRejection);
        }
    }
}

} // namespace mulberrywall::withdrawnkeys
