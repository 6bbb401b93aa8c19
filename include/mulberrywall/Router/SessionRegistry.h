#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace mulberrywall::router
{

class CallerSession;

/// The sessions at work, so that a shutdown can end them with a response. Thread-safe.
class SessionRegistry
{
public:
    /// Returns the number under which the session is removed.
    std::uint64_t add(std::weak_ptr<CallerSession> session);
    void remove(std::uint64_t number);
    [[nodiscard]] std::vector<std::shared_ptr<CallerSession>> sessions() const;

private:
    mutable std::mutex mutex_;
    std::map<std::uint64_t, std::weak_ptr<CallerSession>> sessions_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace mulberrywall::router
