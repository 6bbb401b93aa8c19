#include "ServerState.h"

namespace mulberrywall::http
{

/// A request that has just begun to arrive is not disconnected in favour of another one.
static constexpr std::chrono::milliseconds minimumReceivingTime {1'000};

std::list<WaitingConnections::Entry::Waiter> &WaitingConnections::listOf(Phase phase)
{
    switch (phase) {
    case Phase::Idle:
        return idle_;
    case Phase::Receiving:
        return receiving_;
    case Phase::Running:
        break;
    }
    return running_;
}

void WaitingConnections::set(Entry &entry, Phase phase, const std::weak_ptr<Connection> &connection)
{
    const std::scoped_lock lock(mutex_);
    std::list<Entry::Waiter> &list = listOf(phase);
    if (entry.list_ == nullptr) {
        entry.position_ = list.insert(list.end(), {.connection = connection});
    } else {
        // Reuses the node, since this happens several times for each request.
        list.splice(list.end(), *entry.list_, entry.position_);
    }
    entry.position_->since = std::chrono::steady_clock::now();
    entry.position_->isTaken = false;
    entry.list_ = &list;
}

void WaitingConnections::remove(Entry &entry)
{
    const std::scoped_lock lock(mutex_);
    if (entry.list_ != nullptr) {
        entry.list_->erase(entry.position_);
        entry.list_ = nullptr;
    }
}

std::shared_ptr<Connection> WaitingConnections::takeLongest()
{
    const std::scoped_lock lock(mutex_);
    if (auto connection = takeFirst(idle_, {})) {
        return connection;
    }
    return takeFirst(receiving_, minimumReceivingTime);
}

std::shared_ptr<Connection> WaitingConnections::takeFirst(std::list<Entry::Waiter> &list, std::chrono::milliseconds minimumTime)
{
    const auto now = std::chrono::steady_clock::now();
    for (Entry::Waiter &waiter : list) {
        if (now - waiter.since < minimumTime) {
            return nullptr;
        }
        if (waiter.isTaken) {
            continue;
        }
        if (auto connection = waiter.connection.lock()) {
            waiter.isTaken = true;
            return connection;
        }
    }
    return nullptr;
}

} // namespace mulberrywall::http
