#include "mulberrywall/Support/MemoryBudget.h"

#include "mulberrywall/Support/Log.h"

#include <utility>
#include <vector>

namespace mulberrywall::support
{

/// Added to the idle time of a holder, so that the sizes decide between holders that have moved bytes recently.
static constexpr double idleOffsetSeconds = 1.0;

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

bool MemoryBudget::Share::tryResize(std::size_t bytes, std::size_t totalLimit)
{
    return budget_->tryResize(holder_, bytes, totalLimit);
}

void MemoryBudget::Share::recordProgress()
{
    budget_->recordProgress(holder_);
}

void MemoryBudget::Share::pin()
{
    budget_->setState(holder_, HolderState::Pinned);
}

void MemoryBudget::Share::unpin()
{
    budget_->setState(holder_, HolderState::Reclaimable);
}

MemoryBudget::MemoryBudget(std::size_t limitBytes)
    : MemoryBudget(limitBytes, limitBytes)
{
}

MemoryBudget::MemoryBudget(std::size_t limitBytes, std::size_t endpointLimitBytes)
    : limitBytes_(limitBytes),
      endpointLimitBytes_(endpointLimitBytes)
{
}

std::unique_ptr<MemoryBudget::Share> MemoryBudget::open(ReclaimHandler reclaim, Holding holding)
{
    const std::scoped_lock lock(mutex_);
    const std::uint64_t holder = ++lastHolder_;
    holders_.emplace(holder, Holder {.reclaim = std::move(reclaim), .holding = holding, .progressAt = Clock::now()});
    return std::make_unique<Share>(shared_from_this(), holder);
}

bool MemoryBudget::reclaimStalled(std::chrono::milliseconds minimumIdleTime)
{
    ReclaimHandler handler;
    {
        const std::scoped_lock lock(mutex_);
        handler = takeWorst(Clock::now(), minimumIdleTime);
    }
    if (!handler) {
        return false;
    }
    handler();
    return true;
}

std::size_t MemoryBudget::heldBytes() const
{
    const std::scoped_lock lock(mutex_);
    return heldBytes_;
}

std::uint64_t MemoryBudget::reclaims() const
{
    const std::scoped_lock lock(mutex_);
    return reclaims_;
}

void MemoryBudget::resize(std::uint64_t id, std::size_t bytes)
{
    std::vector<ReclaimHandler> handlers;
    PressureChange change = PressureChange::None;
    {
        const std::scoped_lock lock(mutex_);
        Holder &holder = holders_.at(id);
        const bool grows = bytes > holder.bytes;
        setBytes(holder, bytes);
        const Clock::time_point now = Clock::now();
        if (grows) {
            holder.progressAt = now;
        }
        const bool isExceeded = heldBytes_ - reclaimedBytes_ > limitBytes_;
        while (heldBytes_ - reclaimedBytes_ > limitBytes_) {
            ReclaimHandler handler = takeWorst(now, {});
            if (!handler) {
                break;
            }
            handlers.push_back(std::move(handler));
        }
        while (isEndpointLimitExceeded()) {
            ReclaimHandler handler = takeWorst(now, {}, Holding::FromEndpoint);
            if (!handler) {
                break;
            }
            handlers.push_back(std::move(handler));
        }
        change = updatePressure(isExceeded);
    }
    logPressure(change);
    for (const ReclaimHandler &handler : handlers) {
        handler();
    }
}

bool MemoryBudget::tryResize(std::uint64_t id, std::size_t bytes, std::size_t totalLimit)
{
    PressureChange change = PressureChange::None;
    bool isGranted = false;
    {
        const std::scoped_lock lock(mutex_);
        Holder &holder = holders_.at(id);
        isGranted = holder.state != HolderState::Reclaimed && heldBytes_ - holder.bytes + bytes <= totalLimit;
        if (isGranted) {
            setBytes(holder, bytes);
            holder.progressAt = Clock::now();
        }
        change = updatePressure(!isGranted);
    }
    logPressure(change);
    return isGranted;
}

void MemoryBudget::recordProgress(std::uint64_t id)
{
    const std::scoped_lock lock(mutex_);
    holders_.at(id).progressAt = Clock::now();
}

void MemoryBudget::setState(std::uint64_t id, HolderState state)
{
    const std::scoped_lock lock(mutex_);
    Holder &holder = holders_.at(id);
    if (holder.state == HolderState::Reclaimed) {
        return;
    }
    holder.state = state;
    holder.progressAt = Clock::now();
}

void MemoryBudget::setBytes(Holder &holder, std::size_t bytes)
{
    const bool isFromEndpoint = holder.holding == Holding::FromEndpoint;
    heldBytes_ += bytes - holder.bytes;
    endpointBytes_ += isFromEndpoint ? bytes - holder.bytes : 0;
    if (holder.state == HolderState::Reclaimed) {
        reclaimedBytes_ += bytes - holder.bytes;
        reclaimedEndpointBytes_ += isFromEndpoint ? bytes - holder.bytes : 0;
    }
    holder.bytes = bytes;
}

bool MemoryBudget::isEndpointLimitExceeded() const
{
    return endpointBytes_ - reclaimedEndpointBytes_ > endpointLimitBytes_;
}

MemoryBudget::ReclaimHandler MemoryBudget::takeWorst(Clock::time_point now, std::chrono::milliseconds minimumIdleTime, std::optional<Holding> only)
{
    Holder *worst = nullptr;
    double worstWeight = 0.0;
    for (auto &[id, holder] : holders_) {
        if (holder.state != HolderState::Reclaimable || now - holder.progressAt < minimumIdleTime || (only && holder.holding != *only)) {
            continue;
        }
        const double idleSeconds = std::chrono::duration<double>(now - holder.progressAt).count();
        const double weight = static_cast<double>(holder.bytes) * (idleOffsetSeconds + idleSeconds);
        if (weight > worstWeight) {
            worst = &holder;
            worstWeight = weight;
        }
    }
    if (worst == nullptr) {
        return nullptr;
    }
    worst->state = HolderState::Reclaimed;
    reclaimedBytes_ += worst->bytes;
    reclaimedEndpointBytes_ += worst->holding == Holding::FromEndpoint ? worst->bytes : 0;
    ++reclaims_;
    return std::exchange(worst->reclaim, nullptr);
}

MemoryBudget::PressureChange MemoryBudget::updatePressure(bool isExceeded)
{
    if (isExceeded && !isUnderPressure_) {
        isUnderPressure_ = true;
        return PressureChange::Begins;
    }
    if (!isExceeded && isUnderPressure_ && heldBytes_ <= limitBytes_ / 2) {
        isUnderPressure_ = false;
        return PressureChange::Ends;
    }
    return PressureChange::None;
}

void MemoryBudget::logPressure(PressureChange change) const
{
    switch (change) {
    case PressureChange::None:
        return;
    case PressureChange::Begins:
        log(Severity::Warning,
            "the bound on memory takes effect; large bodies wait or are rejected as not run; add instances or memory",
            {{"limitBytes", limitBytes_}, {"heldBytes", heldBytes()}});
        return;
    case PressureChange::Ends:
        log(Severity::Info, "the bound on memory no longer takes effect", {{"limitBytes", limitBytes_}, {"heldBytes", heldBytes()}});
        return;
    }
}

void MemoryBudget::close(std::uint64_t id)
{
    PressureChange change = PressureChange::None;
    {
        const std::scoped_lock lock(mutex_);
        const auto found = holders_.find(id);
        setBytes(found->second, 0);
        holders_.erase(found);
        change = updatePressure(false);
    }
    logPressure(change);
}

} // namespace mulberrywall::support
