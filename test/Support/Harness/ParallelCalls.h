#pragma once

#include "Harness/Deployment.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

namespace mulberrywall::harness
{

/// Makes calls concurrently, each on its own thread.
class ParallelCalls
{
public:
    explicit ParallelCalls(std::vector<Call> calls)
        : calls_(std::move(calls)),
          replies_(calls_.size())
    {
        for (std::size_t index = 0; index < calls_.size(); ++index) {
            threads_.emplace_back([this, index] { run(index); });
        }
    }
    ParallelCalls(const ParallelCalls &) = delete;
    ParallelCalls &operator=(const ParallelCalls &) = delete;
    ParallelCalls(ParallelCalls &&) = delete;
    ParallelCalls &operator=(ParallelCalls &&) = delete;
    ~ParallelCalls()
    {
        wait();
    }

    /// Number of calls that have received a server-sent event.
    [[nodiscard]] std::size_t streaming() const
    {
        return streaming_;
    }
    /// Number of calls that have ended.
    [[nodiscard]] std::size_t ended() const
    {
        return ended_;
    }

    /// Waits for all calls and returns the replies in the order of the calls.
    const std::vector<Reply> &wait()
    {
        for (std::thread &thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
        return replies_;
    }

private:
    void run(std::size_t index)
    {
        Call &call = calls_[index];
        call.onEvent = [this, first = true, inner = call.onEvent](const ServerSentEvent &event) mutable {
            streaming_ += first ? 1 : 0;
            first = false;
            return inner ? inner(event) : Continue::Yes;
        };
        replies_[index] = send(call);
        ++ended_;
    }

    std::vector<Call> calls_;
    std::vector<Reply> replies_;
    std::atomic<std::size_t> streaming_ {0};
    std::atomic<std::size_t> ended_ {0};
    std::vector<std::thread> threads_;
};

/// Steady load: clients that each repeat their call, one at a time, until they are stopped.
class RepeatedCalls
{
public:
    explicit RepeatedCalls(std::vector<Call> calls)
    {
        for (Call &call : calls) {
            threads_.emplace_back([this, call = std::move(call)] { run(call); });
        }
    }
    RepeatedCalls(const RepeatedCalls &) = delete;
    RepeatedCalls &operator=(const RepeatedCalls &) = delete;
    RepeatedCalls(RepeatedCalls &&) = delete;
    RepeatedCalls &operator=(RepeatedCalls &&) = delete;
    ~RepeatedCalls()
    {
        stop();
    }

    [[nodiscard]] std::size_t ended() const
    {
        return ended_;
    }

    /// Stops the clients, waits for the calls in flight and returns all replies in the order in which the calls ended.
    const std::vector<Reply> &stop()
    {
        stopping_ = true;
        for (std::thread &thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
        return replies_;
    }

private:
    void run(const Call &call)
    {
        while (!stopping_) {
            Reply reply = send(call);
            const bool failed = reply.status != 200;
            {
                const std::scoped_lock lock(mutex_);
                replies_.push_back(std::move(reply));
            }
            ++ended_;
            if (failed) {
                // Limits the rate of clients whose calls are rejected at once.
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        }
    }

    std::atomic<bool> stopping_ {false};
    std::atomic<std::size_t> ended_ {0};
    std::mutex mutex_;
    std::vector<Reply> replies_;
    std::vector<std::thread> threads_;
};

/// Returns how many of the replies are complete streams.
inline std::size_t completed(const std::vector<Reply> &replies)
{
    return static_cast<std::size_t>(std::count_if(replies.begin(), replies.end(), [](const Reply &reply) { return reply.done(); }));
}

/// Repeats the calls until every engine has run this many at the same time. A new owner of a pool grants only
/// a share of the slots until the running requests are re-registered, so a test that needs all slots in use
/// has to wait for this first.
inline void waitForAllSlots(Deployment &deployment, const std::vector<Call> &calls, std::uint64_t slots)
{
    RepeatedCalls load(calls);
    for (std::size_t index = 0; index < deployment.engineCount(); ++index) {
        waitUntil("engine-" + std::to_string(index) + " uses all slots", [&] { return countOf(deployment.engine(index), "running") == slots; });
    }
}

} // namespace mulberrywall::harness
