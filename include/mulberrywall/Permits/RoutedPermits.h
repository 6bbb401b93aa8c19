#pragma once

#include "mulberrywall/Permits/PeerRpc.h"
#include "mulberrywall/Permits/PoolOwnership.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <unordered_map>

namespace mulberrywall::permits
{

struct RoutedPermitOptions
{
    PoolOwnershipOptions ownership;
    PeerRpcOptions peers;
    /// Interval at which the progress of all permits is reported, in one message to each owner. Each report costs the fixed
    /// size of a message and 8 B per permit (docs/CAPACITY.md), so a shorter interval increases the traffic.
    /// policy::SlowEndpointTuning::silenceLimit must be longer than this interval.
    std::chrono::milliseconds progressInterval {1'000};
    /// Interval at which owners are reconciled with the membership, in addition to each change of it.
    std::chrono::milliseconds reconcileInterval {250};
    /// Time for which a peer that could not be reached is ignored as an owner.
    std::chrono::milliseconds unreachableDuration {3'000};
    /// Delay before the owner is determined again, for example after two routers have redirected to each other.
    std::chrono::milliseconds retryDelay {50};
};

/// Obtains permits from the owners of pools in all data centres, and grants permits to other routers as an owner.
/// Thread-safe.
class RoutedPermits : public std::enable_shared_from_this<RoutedPermits>
{
public:
    using ConfigurationProvider = std::function<std::optional<ConfigurationDocument>(std::uint64_t minimumRevision)>;

    /// Starts listening for peers immediately. Throws boost::system::system_error if the address is in use.
    static std::shared_ptr<RoutedPermits> create(
        boost::asio::io_context &context, PoolTable &pools, MembershipView membership, RoutedPermitOptions options, ConfigurationProvider provideConfiguration);

    RoutedPermits(boost::asio::io_context &context, PoolTable &pools, MembershipView membership, RoutedPermitOptions options);

    // Commands
    /// Starts the periodic reconciliation of owners with the membership and the periodic progress reports.
    void start();
    /// Must be called after a member has joined, left or failed, and after a change of the configuration.
    void membershipChanged();
    /// Releases all pools. Queued requests are redirected to the new owners, and running ones are re-registered there. Used at
    /// shutdown.
    void releaseOwnership();
    /// Closes the connections to peers, which frees the permits that the peers have granted.
    void stop();

    // Queries
    /// Returns a source of permits for all pools; it holds a reference to this object.
    [[nodiscard]] PermitSource source();
    [[nodiscard]] PeerRpc &peers();
    [[nodiscard]] PoolOwnership &ownership();

private:
    friend class PermitAcquisition;

    /// A permit in use, which must be registered with the current owner of its pool.
    struct TrackedPermit
    {
        std::uint64_t number = 0;
        support::DataCentreId dataCentre;
        PermitRequest request;
        support::EndpointId endpoint;

        std::mutex mutex;
        /// The permit that the owner has granted; empty after the owner was lost.
        std::shared_ptr<Permit> ownerPermit;
        support::InstanceId owner;
        std::uint64_t outputTokens = 0;
        std::uint64_t reportedTokens = 0;
        policy::TimePoint firstTokenAt;
        policy::TimePoint latestTokenAt;
        /// The permit that the caller's request holds; receives the commands of the current owner.
        std::weak_ptr<Permit> holderPermit;
        /// Set when the request ends, and reported to a new owner whose re-registration is in progress at that time.
        std::optional<policy::Completion> completion;
        bool reregistrationPending = false;
    };
    using TrackedPermitPtr = std::shared_ptr<TrackedPermit>;
    using PoolKey = std::pair<support::DataCentreId, support::PoolId>;
    /// Permits to re-register with one owner, by pool; the list is empty if this ingress runs nothing in the pool.
    using PendingReregistrations = std::map<PoolKey, std::vector<TrackedPermitPtr>>;

    AcquireTicket acquire(PermitRequest request, PermitHandler handler);
    /// Records a granted permit and returns the permit for its holder, which survives a change of the owner.
    std::shared_ptr<Permit> track(
        const support::DataCentreId &dataCentre, const support::InstanceId &owner, const PermitRequest &request, const std::shared_ptr<Permit> &ownerPermit);
    /// Forwards the commands that the owner sends to its permit to the permit of the holder.
    static void forwardCommands(const std::shared_ptr<Permit> &ownerPermit, const std::weak_ptr<Permit> &holderPermit);
    static void recordProgress(TrackedPermit &permit, const policy::Progress &progress);
    void reportProgress();
    void scheduleProgressReport();
    void finish(TrackedPermit &permit, const policy::Completion &ended);
    void markUnreachable(const support::InstanceId &instance);
    void peerLost(const support::InstanceId &instance);
    /// Re-registers permits and pools with owners that changed since the previous call.
    void reconcile();
    void collectUnregisteredPermits(const std::vector<membership::Member> &reachable, std::map<support::InstanceId, PendingReregistrations> &pending);
    void collectUnregisteredPools(const std::vector<membership::Member> &reachable, std::map<support::InstanceId, PendingReregistrations> &pending);
    void recordRegistration(const support::InstanceId &owner, const PendingReregistrations &pending);
    void reregisterWith(const membership::Member &owner, const PendingReregistrations &pending);
    void applyReregistration(const support::InstanceId &owner, const PoolKey &pool, const std::vector<TrackedPermitPtr> &permits, ReregistrationResult result);
    void scheduleReconciliation();
    [[nodiscard]] bool isRegisteredWith(const support::InstanceId &owner, const support::PoolId &pool) const;
    [[nodiscard]] std::vector<support::InstanceId> unreachable() const;
    [[nodiscard]] std::vector<membership::Member> reachableMembers() const;

    boost::asio::io_context &context_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer progressTimer_;
    PoolTable &pools_;
    MembershipView membership_;
    RoutedPermitOptions options_;
    PoolOwnership ownership_;
    std::shared_ptr<PeerRpc> peers_;

    /// Guards the members below. Precedes the mutex of a tracked permit in the lock order; no other lock is acquired while
    /// either is held.
    mutable std::mutex mutex_;
    std::uint64_t lastNumber_ = 0;
    std::unordered_map<std::uint64_t, TrackedPermitPtr> tracked_;
    std::map<support::InstanceId, policy::TimePoint> unreachableUntil_;
    /// Owners with which this ingress has registered its running requests, or is registering them, for each pool of its data
    /// centre.
    std::map<support::PoolId, support::InstanceId> registeredOwners_;
    bool stopped_ = false;
};

} // namespace mulberrywall::permits
