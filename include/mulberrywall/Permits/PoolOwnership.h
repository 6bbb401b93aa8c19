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

/// What the permits library needs of the membership. All functions are thread-safe and take no other lock.
struct MembershipView
{
    std::function<std::vector<membership::Member>()> liveMembers;
    std::function<std::vector<membership::PoolLoad>(const support::PoolId &)> poolLoads;
    std::function<void(membership::PoolLoad)> announceLoad;
};

/// Returns the member that owns the pool by rendezvous hashing, or nullptr when no member is in that data centre.
const membership::Member *ownerOf(std::span<const membership::Member> live, const support::DataCentreId &dataCentre, const support::PoolId &pool);

struct PoolOwnershipOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    /// A new owner uses its full limits after this time, even when not all ingress routers have reported.
    std::chrono::milliseconds recoveryBound {2'000};
    /// A router that serves a pool in place of an unreachable owner goes on for this long after the last such request.
    std::chrono::milliseconds actingTime {3'000};
    std::chrono::milliseconds announceInterval {1'000};
    /// Members that appear in this time after the start may run requests that this router, as an owner, must know.
    std::chrono::milliseconds joinTime {5'000};
};

/// Decides which pools of its data centre this router owns, and answers as their owner. Thread-safe.
///
/// Its mutex comes before that of PoolTable.
class PoolOwnership
{
public:
    PoolOwnership(boost::asio::io_context &context, PoolTable &pools, MembershipView membership, PoolOwnershipOptions options);

    // Commands
    /// Takes over and gives up pools as the membership demands, and announces loads. Call it on changes and regularly.
    void review();
    /// Gives up all pools for good; waiting requests are told to ask the new owners. For a shutdown.
    void releaseAll();
    /// Asks as the owner of the pool, leaving out owners that the ingress could not reach.
    AcquireTicket acquire(PermitRequest request, const std::vector<support::InstanceId> &unreachable, OwnerAnswerHandler handler);
    /// Takes over what still runs for one ingress; returns nothing when this router does not own the pool.
    std::optional<std::vector<std::shared_ptr<Permit>>> reregister(
        const support::PoolId &pool, const support::InstanceId &ingress, std::vector<policy::RunningRequest> requests);

    // Queries
    /// Returns an empty name when no router of this data centre can own the pool.
    [[nodiscard]] support::InstanceId currentOwner(const support::PoolId &pool) const;
    /// True after releaseAll.
    [[nodiscard]] bool isReleased() const;

private:
    struct Recovery
    {
        policy::TimePoint endsAt;
        /// Routers that have not yet said which requests they run.
        std::set<support::InstanceId> awaited;
    };

    [[nodiscard]] support::InstanceId ownerWithout(const support::PoolId &pool, const std::vector<support::InstanceId> &unreachable) const;
    void takeOver(const support::PoolId &id, OwnedPool &pool, const std::vector<support::InstanceId> &unreachable);
    void startRecovery(const support::PoolId &id, OwnedPool &pool, std::set<support::InstanceId> awaited);
    [[nodiscard]] std::set<support::InstanceId> liveHere() const;
    [[nodiscard]] std::set<support::InstanceId> newMembers(const std::set<support::InstanceId> &live) const;
    void endRecoveryIfDue(const support::PoolId &id, OwnedPool &pool);
    void announceLoads();

    boost::asio::io_context &context_;
    PoolTable &pools_;
    MembershipView membership_;
    PoolOwnershipOptions options_;
    mutable std::mutex mutex_;
    std::map<support::PoolId, Recovery> recoveries_;
    std::map<support::PoolId, policy::TimePoint> actingUntil_;
    policy::TimePoint nextAnnouncement_;
    policy::TimePoint startedAt_;
    /// Live routers of the data centre at the last review.
    std::set<support::InstanceId> knownMembers_;
    std::atomic<bool> released_ {false};
};

} // namespace mulberrywall::permits
