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
    /// Progress of all permits is reported at this interval, in one message to each owner. Shorter intervals cost the
    /// fixed part of each message and 8 B a permit more often (docs/CAPACITY.md); policy::SlowEndpointTuning::silence
    /// must be longer.
    std::chrono::milliseconds progressInterval {1'000};
    /// Interval at which owners are compared with the membership, besides each change.
    std::chrono::milliseconds reviewInterval {250};
    /// A peer that could not be reached is left out for this long.
    std::chrono::milliseconds unreachableTime {3'000};
    /// Wait before an owner is looked for again when two routers point at each other.
    std::chrono::milliseconds retryDelay {50};
};

/// Gives permits for the pools of all data centres and answers other routers as an owner. Thread-safe.
class RoutedPermits : public std::enable_shared_from_this<RoutedPermits>
{
public:
    using ConfigurationProvider = std::function<std::optional<ConfigurationDocument>(std::uint64_t minimumRevision)>;

    /// Listens for peers at once. Throws boost::system::system_error when the address is taken.
    static std::shared_ptr<RoutedPermits> create(
        boost::asio::io_context &context, PoolTable &pools, MembershipView membership, RoutedPermitOptions options, ConfigurationProvider provideConfiguration);

    RoutedPermits(boost::asio::io_context &context, PoolTable &pools, MembershipView membership, RoutedPermitOptions options);

    // Commands
    /// Starts the regular comparison of owners with the membership.
    void start();
    /// Call it whenever a member has joined, left or died, or the configuration has changed.
    void membershipChanged();
    /// Gives up all pools; waiting requests ask the new owners and running ones are registered there. For a shutdown.
    void releaseOwnership();
    /// Closes the connections to peers, which frees what is held there.
    void stop();

    // Queries
    /// The source keeps this object alive.
    [[nodiscard]] PermitSource source();
    [[nodiscard]] PeerRpc &peers();
    [[nodiscard]] PoolOwnership &ownership();

private:
    friend class PermitAcquisition;

    /// A permit in use, which must be known to the current owner of its pool.
    struct TrackedPermit
    {
        std::uint64_t number = 0;
        support::DataCentreId dataCentre;
        PermitRequest request;
        support::EndpointId endpoint;

        std::mutex mutex;
        /// The owner's permit; empty after the owner was lost.
        std::shared_ptr<Permit> granted;
        support::InstanceId owner;
        std::uint64_t outputTokens = 0;
        std::uint64_t reportedTokens = 0;
        policy::TimePoint firstTokenAt;
        policy::TimePoint latestTokenAt;
        /// Carries out the commands of the owner, whoever that is at the time.
        std::weak_ptr<Permit> holder;
        /// Set at the end, for an owner that is just about to take the permit over.
        std::optional<policy::Completion> completion;
        bool adopting = false;
    };
    using TrackedPermitPtr = std::shared_ptr<TrackedPermit>;
    using PoolKey = std::pair<support::DataCentreId, support::PoolId>;
    /// What has to be registered with one owner, by pool.
    using PendingAdoptions = std::map<PoolKey, std::vector<TrackedPermitPtr>>;

    AcquireTicket acquire(PermitRequest request, PermitHandler handler);
    std::shared_ptr<Permit> track(
        const support::DataCentreId &dataCentre, const support::InstanceId &owner, const PermitRequest &request, const std::shared_ptr<Permit> &granted);
    static void passCommands(const std::shared_ptr<Permit> &granted, const std::weak_ptr<Permit> &holder);
    static void recordProgress(TrackedPermit &permit, const policy::Progress &progress);
    void reportProgress();
    void reportProgressLater();
    void finish(TrackedPermit &permit, const policy::Completion &ended);
    void markUnreachable(const support::InstanceId &instance);
    void peerLost(const support::InstanceId &instance);
    void review();
    void collectPermits(const std::vector<membership::Member> &reachable, std::map<support::InstanceId, PendingAdoptions> &pending);
    void collectReports(const std::vector<membership::Member> &reachable, std::map<support::InstanceId, PendingAdoptions> &pending);
    void noteReported(const support::InstanceId &owner, const PendingAdoptions &pending);
    void adoptAt(const membership::Member &owner, const PendingAdoptions &pending);
    void adopted(const support::InstanceId &owner, const PoolKey &pool, const std::vector<TrackedPermitPtr> &permits, ReregistrationResult result);
    void reviewLater();
    [[nodiscard]] bool isReportedTo(const support::InstanceId &owner, const support::PoolId &pool) const;
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

    /// Guards what follows; before the mutex of a tracked permit, and no other lock is taken under either.
    mutable std::mutex mutex_;
    std::uint64_t lastNumber_ = 0;
    std::unordered_map<std::uint64_t, TrackedPermitPtr> tracked_;
    std::map<support::InstanceId, policy::TimePoint> unreachableUntil_;
    /// Owners that were told, or are just being told, what this ingress runs in the pools of its data centre.
    std::map<support::PoolId, support::InstanceId> reportedTo_;
    bool stopped_ = false;
};

} // namespace mulberrywall::permits
