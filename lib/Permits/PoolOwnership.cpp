#include "mulberrywall/Permits/PoolOwnership.h"

#include <xxhash.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>

namespace mulberrywall::permits
{

using std::chrono::steady_clock;

static std::uint64_t rendezvousScore(const membership::Member &member, const support::DataCentreId &dataCentre, const support::PoolId &pool)
{
    const std::string text = member.instance.value() + '\0' + dataCentre.value() + '\0' + pool.value();
    return XXH64(text.data(), text.size(), 0);
}

const membership::Member *ownerOf(std::span<const membership::Member> live, const support::DataCentreId &dataCentre, const support::PoolId &pool)
{
    const membership::Member *owner = nullptr;
    std::uint64_t best = 0;
    for (const membership::Member &member : live) {
        if (member.dataCentre != dataCentre) {
            continue;
        }
        const std::uint64_t candidate = rendezvousScore(member, dataCentre, pool);
        if (owner == nullptr || candidate > best) {
            owner = &member;
            best = candidate;
        }
    }
    return owner;
}

PoolOwnership::PoolOwnership(boost::asio::io_context &context, PoolTable &pools, MembershipView membership, PoolOwnershipOptions options)
    : context_(context),
      pools_(pools),
      membership_(std::move(membership)),
      options_(std::move(options)),
      startedAt_(steady_clock::now()),
      previousMembers_ {options_.instance}
{
}

support::InstanceId PoolOwnership::ownerWithout(const support::PoolId &pool, const std::vector<support::InstanceId> &unreachable) const
{
    std::vector<membership::Member> live = membership_.liveMembers();
    std::erase_if(live, [this, &unreachable](const membership::Member &member) {
        return (released_ && member.instance == options_.instance) || std::find(unreachable.begin(), unreachable.end(), member.instance) != unreachable.end();
    });
    const membership::Member *owner = ownerOf(live, options_.dataCentre, pool);
    return owner == nullptr ? support::InstanceId() : owner->instance;
}

support::InstanceId PoolOwnership::currentOwner(const support::PoolId &pool) const
{
    return ownerWithout(pool, {});
}

bool PoolOwnership::isReleased() const
{
    return released_;
}

void PoolOwnership::reconcile()
{
    {
        const std::scoped_lock lock(mutex_);
        const auto now = steady_clock::now();
        std::set<support::InstanceId> live = liveLocalRouters();
        const std::set<support::InstanceId> added = joinedMembers(live);
        std::erase_if(actingOwnerUntil_, [now](const auto &entry) { return entry.second <= now; });
        for (const auto &[id, pool] : pools_.pools()) {
            const support::InstanceId owner = currentOwner(id);
            // The owner is empty if this router is the last one of its data centre and is leaving. It then serves its queued
            // requests until it exits.
            const bool isOwner = owner == options_.instance || owner.empty() || actingOwnerUntil_.contains(id);
            if (!isOwner) {
                recoveries_.erase(id);
                pool->setOwnership(OwnershipState::Released, owner);
                continue;
            }
            takeOver(id, *pool, {});
            if (!added.empty() && pool->ownership() == OwnershipState::Owned) {
                startRecovery(id, *pool, added);
            }
            endRecoveryIfDue(id, *pool);
        }
        previousMembers_ = std::move(live);
    }
    announceLoads();
}

std::set<support::InstanceId> PoolOwnership::liveLocalRouters() const
{
    std::set<support::InstanceId> live;
    for (const membership::Member &member : membership_.liveMembers()) {
        if (member.dataCentre == options_.dataCentre) {
            live.insert(member.instance);
        }
    }
    return live;
}

std::set<support::InstanceId> PoolOwnership::joinedMembers(const std::set<support::InstanceId> &live) const
{
    std::set<support::InstanceId> added;
    if (steady_clock::now() < startedAt_ + options_.joinWindow) {
        std::set_difference(live.begin(), live.end(), previousMembers_.begin(), previousMembers_.end(), std::inserter(added, added.end()));
    }
    return added;
}

void PoolOwnership::startRecovery(const support::PoolId &id, OwnedPool &pool, std::set<support::InstanceId> awaitedRouters)
{
    recoveries_[id] = {.endsAt = steady_clock::now() + options_.recoveryTimeout, .awaitedRouters = std::move(awaitedRouters)};
    pool.setOwnership(OwnershipState::Recovering, options_.instance);
}

void PoolOwnership::takeOver(const support::PoolId &id, OwnedPool &pool, const std::vector<support::InstanceId> &unreachable)
{
    if (pool.ownership() != OwnershipState::Released) {
        return;
    }
    // Routers that have just left are included because they still run requests. One that has crashed never re-registers, so
    // the recovery timeout bounds the wait.
    std::set<support::InstanceId> awaitedRouters = liveLocalRouters();
    awaitedRouters.insert(previousMembers_.begin(), previousMembers_.end());
    for (const support::InstanceId &instance : unreachable) {
        awaitedRouters.erase(instance);
    }
    startRecovery(id, pool, std::move(awaitedRouters));
}

void PoolOwnership::endRecoveryIfDue(const support::PoolId &id, OwnedPool &pool)
{
    const auto found = recoveries_.find(id);
    if (found == recoveries_.end() || (!found->second.awaitedRouters.empty() && steady_clock::now() < found->second.endsAt)) {
        return;
    }
    recoveries_.erase(found);
    pool.setOwnership(OwnershipState::Owned, options_.instance);
}

void PoolOwnership::releaseAllPools()
{
    released_ = true;
    reconcile();
}

AcquireTicket PoolOwnership::acquire(PermitRequest request, const std::vector<support::InstanceId> &unreachable, OwnerAnswerHandler handler)
{
    const std::shared_ptr<OwnedPool> pool = pools_.find(request.pool);
    if (!pool) {
        boost::asio::post(context_, [handler = std::move(handler), rejection = rejectionWithoutPool(request.pool)] { handler(rejection); });
        return nullptr;
    }
    {
        const std::scoped_lock lock(mutex_);
        const support::InstanceId owner = ownerWithout(request.pool, unreachable);
        if (owner != options_.instance && !owner.empty()) {
            boost::asio::post(context_, [handler = std::move(handler), owner] { handler(PoolMoved {owner}); });
            return nullptr;
        }
        if (!unreachable.empty() && currentOwner(request.pool) != options_.instance) {
            actingOwnerUntil_[request.pool] = steady_clock::now() + options_.actingOwnerDuration;
        }
        takeOver(request.pool, *pool, unreachable);
    }
    return pool->acquire(std::move(request), std::move(handler));
}

std::optional<std::vector<std::shared_ptr<Permit>>> PoolOwnership::reregister(
    const support::PoolId &id, const support::InstanceId &ingress, std::vector<policy::RunningRequest> requests)
{
    const std::shared_ptr<OwnedPool> pool = pools_.find(id);
    if (!pool) {
        return std::nullopt;
    }
    const std::scoped_lock lock(mutex_);
    const support::InstanceId owner = currentOwner(id);
    if (owner != options_.instance && !owner.empty() && !actingOwnerUntil_.contains(id)) {
        return std::nullopt;
    }
    takeOver(id, *pool, {});
    std::vector<std::shared_ptr<Permit>> permits;
    permits.reserve(requests.size());
    for (policy::RunningRequest &request : requests) {
        permits.push_back(pool->reregister(std::move(request)));
    }
    const auto recovery = recoveries_.find(id);
    if (recovery != recoveries_.end()) {
        recovery->second.awaitedRouters.erase(ingress);
        endRecoveryIfDue(id, *pool);
    }
    return permits;
}

void PoolOwnership::announceLoads()
{
    {
        const std::scoped_lock lock(mutex_);
        const auto now = steady_clock::now();
        if (now < nextAnnouncement_ || !membership_.announceLoad) {
            return;
        }
        nextAnnouncement_ = now + options_.announceInterval;
    }
    const auto version
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    for (const auto &[id, pool] : pools_.pools()) {
        if (pool->ownership() == OwnershipState::Released) {
            continue;
        }
        const policy::PoolSummary summary = pool->summarize();
        membership_.announceLoad({.dataCentre = options_.dataCentre,
            .pool = id,
            .version = version,
            .waiting = summary.waiting,
            .running = summary.running,
            .freeSlots = summary.freeSlots,
            .endpoints = summary.endpoints});
    }
}

} // namespace mulberrywall::permits
