#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

namespace mulberrywall::harness
{

/// Longest wait for a condition that should hold soon, with room for a busy machine.
inline constexpr std::chrono::milliseconds defaultDeadline {20'000};

/// Polls the condition until it holds; throws std::runtime_error naming it when the deadline passes.
template <typename Condition>
void waitUntil(const std::string &what, Condition condition, std::chrono::milliseconds deadline = defaultDeadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            throw std::runtime_error("deadline passed while waiting for: " + what);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

} // namespace mulberrywall::harness
