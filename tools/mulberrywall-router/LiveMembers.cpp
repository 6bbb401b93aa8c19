#include "LiveMembers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrywall::router
{

void LiveMembers::set(std::vector<membership::Member> members)
{
    const std::scoped_lock lock(mutex_);
    members_ = std::move(members);
}

std::vector<membership::Member> LiveMembers::all() const
{
    const std::scoped_lock lock(mutex_);
    return members_;
}

std::vector<support::InstanceId> LiveMembers::instances() const
{
    const std::scoped_lock lock(mutex_);
    std::vector<support::InstanceId> result;
    std::transform(members_.begin(), members_.end(), std::back_inserter(result), [](const membership::Member &member) { return member.instance; });
    return result;
}

} // namespace mulberrywall::router
