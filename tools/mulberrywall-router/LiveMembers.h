#pragma once

#include "mulberrywall/Membership/Types.h"
#include "mulberrywall/Support/Ids.h"

#include <mutex>
#include <vector>

namespace mulberrywall::router
{

/// The live routers as this one last heard of them. Thread-safe; its mutex is a leaf of the lock order.
class LiveMembers
{
public:
    // Commands
    void set(std::vector<membership::Member> members);

    // Queries
    [[nodiscard]] std::vector<membership::Member> all() const;
    [[nodiscard]] std::vector<support::InstanceId> instances() const;

private:
    mutable std::mutex mutex_;
    std::vector<membership::Member> members_;
};

} // namespace mulberrywall::router
