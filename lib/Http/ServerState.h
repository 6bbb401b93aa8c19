#pragma once

#include "mulberrywall/Http/Server.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>

namespace mulberrywall::http
{

class Connection;

/// The connections of a server by their phase, in the order in which they entered it or made progress. Thread-safe; locks nothing else.
class WaitingConnections
{
public:
    enum class Phase : std::uint8_t {
        /// No byte of a request was received.
        Idle,
        /// A request was received in part.
        Receiving,
        /// A request runs, so that the connection does not wait for its caller.
        Running,
    };

    /// Position of one connection; used on its strand only.
    class Entry
    {
    public:
        Entry() = default;
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;
        Entry(Entry &&) = delete;
        Entry &operator=(Entry &&) = delete;
        ~Entry() = default;

    private:
        friend class WaitingConnections;
        struct Waiter
        {
            std::weak_ptr<Connection> connection;
            std::chrono::steady_clock::time_point since;
            /// The connection was asked to close.
            bool isTaken = false;
        };
        std::list<Waiter> *list_ = nullptr;
        std::list<Waiter>::iterator position_;
    };

    /// Adds the connection as the one that has been in this phase for the shortest time, or moves it there.
    void set(Entry &entry, Phase phase, const std::weak_ptr<Connection> &connection);
    void remove(Entry &entry);
    /// Returns the connection that has been idle for the longest time, or else the one that has received nothing for the longest time, and
    /// for a second at least. Null if there is none. No connection is returned twice.
    std::shared_ptr<Connection> takeLongest();

private:
    std::list<Entry::Waiter> &listOf(Phase phase);
    std::shared_ptr<Connection> takeFirst(std::list<Entry::Waiter> &list, std::chrono::milliseconds minimumTime);

    std::mutex mutex_;
    std::list<Entry::Waiter> idle_;
    std::list<Entry::Waiter> receiving_;
    std::list<Entry::Waiter> running_;
};

/// State that all connections of a server share.
struct ServerSharedState
{
    ServerOptions options;
    RequestHandler handler;
    /// Guards limits. No other mutex is locked while it is held.
    mutable std::mutex limitsMutex;
    RequestLimits limits;
    WaitingConnections waiting;
    std::atomic<bool> keepAliveDisabled {false};
    std::atomic<std::size_t> connections {0};
    std::atomic<std::size_t> activeExchanges {0};
    std::atomic<bool> stopping {false};
    /// True from the first connection above the limit until half of the connections have ended.
    std::atomic<bool> connectionLimitActs {false};
    std::array<std::atomic<std::uint64_t>, rejectionCauses> rejections {};

    [[nodiscard]] RequestLimits currentLimits() const
    {
        const std::scoped_lock lock(limitsMutex);
        return limits;
    }
    void count(RejectionCause cause)
    {
        ++rejections.at(static_cast<std::size_t>(cause));
    }
};

} // namespace mulberrywall::http
