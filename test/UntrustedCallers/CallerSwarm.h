#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace mulberrywall::untrusted
{

enum class Reading : std::uint8_t {
    /// Responses stay in the receive buffer, which is as small as the system allows.
    None,
    Everything,
};

/// What each caller of a swarm sends. It then keeps its connection open.
struct CallerBehaviour
{
    /// Sent first; "{n}" is replaced by the number of the caller.
    std::string start;
    /// Sent after it, `repeats` times.
    std::string repeated;
    std::size_t repeats = 0;
    /// Number of bytes in each write; 0 means as many as the socket takes.
    std::size_t pieceBytes = 0;
    /// Time between two writes of a caller.
    std::chrono::milliseconds pause {0};
    Reading reading = Reading::Everything;
};

/// Connections of callers to one port of the loopback address, served by one thread.
class CallerSwarm
{
public:
    CallerSwarm(std::uint16_t port, std::size_t callers, CallerBehaviour behaviour);
    CallerSwarm(const CallerSwarm &) = delete;
    CallerSwarm &operator=(const CallerSwarm &) = delete;
    CallerSwarm(CallerSwarm &&) = delete;
    CallerSwarm &operator=(CallerSwarm &&) = delete;
    /// Closes all connections.
    ~CallerSwarm();

    /// Waits until no byte has moved for a second, so that the router has reacted to what was sent, or the callers have been active
    /// for eight seconds. Calls `observe` repeatedly meanwhile.
    void waitUntilSettled(const std::function<void()> &observe) const;

private:
    struct Caller
    {
        int descriptor = -1;
        std::string start;
        std::size_t sent = 0;
        std::chrono::steady_clock::time_point nextWrite;
    };

    void run();
    /// Returns whether bytes were moved.
    bool serve(Caller &caller, short events);
    bool sendNext(Caller &caller);
    bool receive(Caller &caller);
    void disconnect(Caller &caller);
    [[nodiscard]] std::size_t totalBytes(const Caller &caller) const;

    CallerBehaviour behaviour_;
    /// Several copies of the repeated text, so that one write can take many.
    std::string block_;
    std::vector<Caller> callers_;
    std::atomic<bool> stopped_ {false};
    std::atomic<std::chrono::steady_clock::time_point> lastMove_ {std::chrono::steady_clock::now()};
    std::thread thread_;
};

} // namespace mulberrywall::untrusted
