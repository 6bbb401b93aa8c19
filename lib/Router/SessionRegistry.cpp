#include "mulberrywall/Router/SessionRegistry.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

void SessionRegistry::add(std::weak_ptr<CallerSession> session)
{
    const std::scoped_lock lock(mutex_);
    if (sessions_.size() >= cleanupSize_) {
        std::erase_if(sessions_, [](const std::weak_ptr<CallerSession> &entry) { return entry.expired(); });
        cleanupSize_ = std::max(minimumCleanupSize, 2 * sessions_.size());
    }
    sessions_.push_back(std::move(session));
}

std::vector<std::shared_ptr<CallerSession>> SessionRegistry::sessions() const
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::shared_ptr<CallerSession>> result;
    for (const std::weak_ptr<CallerSession> &entry : sessions_) {
        if (auto session = entry.lock()) {
            result.push_back(std::move(session));
        }
    }
    return result;
}

} // namespace mulberrywall::router
