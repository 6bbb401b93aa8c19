#pragma once

#include "KeyHistory.h"
#include "RouterPair.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mulberrywall::withdrawnkeys
{

/// The keys that versions of the configuration add, move and drop.
inline constexpr std::size_t keyCount = 6;
std::string makeKey(std::size_t number);

/// Callers that send requests to all routers until they are stopped: with keys that are or were in the configuration, with one that
/// never was, and without one; on new connections and on kept ones.
class KeyCallers
{
public:
    KeyCallers(const RouterPair &pair, std::uint64_t seed);
    KeyCallers(const KeyCallers &) = delete;
    KeyCallers &operator=(const KeyCallers &) = delete;
    KeyCallers(KeyCallers &&) = delete;
    KeyCallers &operator=(KeyCallers &&) = delete;
    ~KeyCallers();

    /// Returns all requests, after the last one has ended.
    const std::vector<CallerRecord> &stop();

private:
    void call(const RouterAddress &router, const std::string &name, std::minstd_rand generator);

    std::atomic<bool> stopping_ {false};
    std::mutex mutex_;
    std::vector<CallerRecord> records_;
    std::vector<std::thread> threads_;
};

} // namespace mulberrywall::withdrawnkeys
