#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace mulberrywall::router
{

class CallerSession;

/// The sessions at work, so that a shutdown can end them with a response. Thread-safe.
///
/// Sessions do not remove themselves: one that a pending handler owns may end after the registry.
class SessionRegistry
{
public:
    void add(std::weak_ptr<CallerSession> session);
    [[nodiscard]] std::vector<std::shared_ptr<CallerSession>> sessions() const;

private:
    static constexpr std::size_t minimumCleanupSize = 64;

    mutable std::mutex mutex_;
    /// Also contains sessions that have ended since the last clean-up.
    std::vector<std::weak_ptr<CallerSession>> sessions_;
    /// Number of entries at which those of ended sessions are removed.
    std::size_t cleanupSize_ = minimumCleanupSize;
};

} // namespace mulberrywall::router
