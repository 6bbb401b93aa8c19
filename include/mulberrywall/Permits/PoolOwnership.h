#pragma once

#include "mulberrywall/Membership/Types.h"
#include "mulberrywall/Permits/OwnedPool.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <vector>

namespace mulberrywall::permits
{

/// Access of the permits library to the membership. All functions are thread-safe and must not acquire locks of this
/// library.
struct MembershipView
{
    std::function<std::vector<membership::Member>()> liveMembers;
    std::function<std::vector<membership::PoolLoad>(const support::PoolId &)> poolLoads;
    std::function<void(membership::PoolLoad)> announceLoad;
};

/// Returns the member that owns the pool by rendezvous hashing, or nullptr if the data centre has no live member.
const membership::Member *ownerOf(std::span<const membership::Member> live, const support::DataCentreId &dataCentre, const support::PoolId &pool);

struct PoolOwnershipOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    /// A new owner applies its full concurrency limits after this time, even if some ingress routers have not
    /// re-registered their running requests.
    std::chrono::milliseconds recoveryTimeout {2'000};
    /// Time after the latest request for which a router serves a pool in place of its unreachable owner.
    std::chrono::milliseconds actingOwnerDuration {3'000};
    /// Interval at which the loads of owned pools are announced to the membership.
    std::chrono::milliseconds announceInterval {1'000};
    /// Members that are discovered within this time after the start may already run requests, which must be re-registered
    /// with this router for the pools it owns.
    std::chrono::milliseconds joinWindow {5'000};
};

/// Determines which pools of its data centre this router owns, and grants permits as their owner. Thread-safe.
///
/// Its mutex precedes that of PoolTable in the lock order.
class PoolOwnership
{
public:
    PoolOwnership(boost::asio::io_context &context, PoolTable &pools, MembershipView membership, PoolOwnershipOptions options);

    // Commands
    /// Takes over and releases pools according to the current membership, and announces loads. Must be called after each
    /// change of the membership and periodically.
    void reconcile();
    /// Releases all pools permanently and redirects queued requests to the new owners. Used at shutdown.
    void releaseAllPools();
    /// Requests a permit from this router as the owner of the pool. Routers that the ingress could not reach are ignored
    /// when the owner is determined; if it is another router, the answer is PoolMoved.
    AcquireTicket acquire(PermitRequest request, const std::vector<support::InstanceId> &unreachable, OwnerAnswerHandler handler);
    /// Registers the requests that one ingress still runs in the pool and returns their permits, or nothing if this router
    /// does not own the pool.
    std::optional<std::vector<std::shared_ptr<Permit>>> reregister(
        const support::PoolId &pool, const support::InstanceId &ingress, std::vector<policy::RunningRequest> requests);

    // Queries
    /// Returns the owner of the pool in this data centre, or an empty name if there is no live router that can own it.
    [[nodiscard]] support::InstanceId currentOwner(const support::PoolId &pool) const;
    /// Returns true after a call of releaseAllPools.
    [[nodiscard]] bool isReleased() const;

private:
    struct Recovery
    {
        /// Time at which the recovery ends even if routers are still awaited.
        policy::TimePoint endsAt;
        /// Routers that have not re-registered their running requests yet.
        std::set<support::InstanceId> awaitedRouters;
    };

    [[nodiscard]] support::InstanceId ownerWithout(const support::PoolId &pool, const std::vector<support::InstanceId> &unreachable) const;
    void takeOver(const support::PoolId &id, OwnedPool &pool, const std::vector<support::InstanceId> &unreachable);
    void startRecovery(const support::PoolId &id, OwnedPool &pool, std::set<support::InstanceId> awaitedRouters);
    [[nodiscard]] std::set<support::InstanceId> liveLocalRouters() const;
    [[nodiscard]] std::set<support::InstanceId> joinedMembers(const std::set<support::InstanceId> &live) const;
    void endRecoveryIfDue(const support::PoolId &id, OwnedPool &pool);
    void announceLoads();

    boost::asio::io_context &context_;
    PoolTable &pools_;
    MembershipView membership_;
    PoolOwnershipOptions options_;
    mutable std::mutex mutex_;
    std::map<support::PoolId, Recovery> recoveries_;
    /// Pools that this router serves in place of an unreachable owner, with the time at which it stops.
    std::map<support::PoolId, policy::TimePoint> actingOwnerUntil_;
    policy::TimePoint nextAnnouncement_;
    policy::TimePoint startedAt_;
    /// Live routers of the data centre at the latest reconciliation.
    std::set<support::InstanceId> previousMembers_;
    std::atomic<bool> released_ {false};
};

} // namespace mulberrywall::permits
