#include "mulberrywall/Router/SessionRegistry.h"

#include <utility>

namespace mulberrywall::router
{

std::uint64_t SessionRegistry::add(std::weak_ptr<CallerSession> session)
{
    const std::scoped_lock lock(mutex_);
    sessions_.emplace(++lastNumber_, std::move(session));
    return lastNumber_;
}

void SessionRegistry::remove(std::uint64_t number)
{
    const std::scoped_lock lock(mutex_);
    sessions_.erase(number);
}

std::vector<std::shared_ptr<CallerSession>> SessionRegistry::sessions() const
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::shared_ptr<CallerSession>> result;
    for (const auto &[number, weak] : sessions_) {
        if (auto session = weak.lock()) {
            result.push_back(std::move(session));
        }
    }
    return result;
}

} // namespace mulberrywall::router
