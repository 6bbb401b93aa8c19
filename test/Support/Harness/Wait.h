#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

namespace mulberrywall::harness
{

/// Default limit for the wait for a condition, long enough for a busy machine.
inline constexpr std::chrono::milliseconds defaultDeadline {20'000};

/// Polls the condition every 5 ms until it holds. Throws std::runtime_error with the description if the deadline passes.
template <typename Condition>
void waitUntil(const std::string &description, Condition condition, std::chrono::milliseconds deadline = defaultDeadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            throw std::runtime_error("deadline passed while waiting for: " + description);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

} // namespace mulberrywall::harness
