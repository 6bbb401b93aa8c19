#include "mulberrywall/Support/MemoryBudget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberrywall::support
{

MemoryBudget::Share::Share(std::shared_ptr<MemoryBudget> budget, std::uint64_t holder)
    : budget_(std::move(budget)),
      holder_(holder)
{
}

MemoryBudget::Share::~Share()
{
    budget_->close(holder_);
}

void MemoryBudget::Share::resize(std::size_t bytes)
{
    budget_->resize(holder_, bytes);
}

MemoryBudget::MemoryBudget(std::size_t limitBytes)
    : limitBytes_(limitBytes)
{
}

std::unique_ptr<MemoryBudget::Share> MemoryBudget::open(ReclaimHandler reclaim)
{
    const std::scoped_lock lock(mutex_);
    const std::uint64_t holder = ++lastHolder_;
    holders_.emplace(holder, Holder {.reclaim = std::move(reclaim)});
    return std::make_unique<Share>(shared_from_this(), holder);
}

std::size_t MemoryBudget::heldBytes() const
{
    const std::scoped_lock lock(mutex_);
    return heldBytes_;
}

void MemoryBudget::resize(std::uint64_t id, std::size_t bytes)
{
    std::vector<ReclaimHandler> handlers;
    {
        const std::scoped_lock lock(mutex_);
        Holder &holder = holders_.at(id);
        heldBytes_ += bytes - holder.bytes;
        if (!holder.reclaim) {
            reclaimedBytes_ += bytes - holder.bytes;
        }
        holder.bytes = bytes;
        while (heldBytes_ - reclaimedBytes_ > limitBytes_) {
            handlers.push_back(takeLargest());
        }
    }
    for (const ReclaimHandler &handler : handlers) {
        handler();
    }
}

MemoryBudget::ReclaimHandler MemoryBudget::takeLargest()
{
    const auto heldBytes = [](const auto &entry) {
        return entry.second.reclaim ? entry.second.bytes : 0;
    };
    Holder &largest = std::ranges::max_element(holders_, {}, heldBytes)->second;
    reclaimedBytes_ += largest.bytes;
    return std::exchange(largest.reclaim, nullptr);
}

void MemoryBudget::close(std::uint64_t id)
{
    const std::scoped_lock lock(mutex_);
    const auto found = holders_.find(id);
    heldBytes_ -= found->second.bytes;
    if (!found->second.reclaim) {
        reclaimedBytes_ -= found->second.bytes;
    }
    holders_.erase(found);
}

} // namespace mulberrywall::support
