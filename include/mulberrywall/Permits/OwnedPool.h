#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Permits/Permit.h"
#include "mulberrywall/Policy/PolicyFunctions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mulberrywall::permits
{

/// Answer to a permit request if another router owns the pool. The request has not run. The owner is empty if unknown.
struct PoolMoved
{
    support::InstanceId owner;
};

using OwnerAnswer = std::variant<std::shared_ptr<Permit>, PermitRejection, PoolMoved>;
using OwnerAnswerHandler = std::function<void(OwnerAnswer)>;

/// Returns the answer to permit requests for a pool that the configuration does not contain.
[[nodiscard]] PermitRejection rejectionWithoutPool(const support::PoolId &pool);

/// Ownership of a pool by this router, which determines how many slots of the endpoints it may grant.
enum class OwnershipState : std::uint8_t {
    /// Another router owns the pool. No permits are granted; running requests are kept until they end.
    Released,
    /// The pool was taken over. Half of the slots are granted until the running requests have been re-registered.
    Recovering,
    /// All slots are granted.
    Owned,
};

/// One pool that this router may own: the policy's state with its lock, the handlers of queued requests and the timer.
///
/// Thread-safe. Follows PoolTable in the lock order. Handlers are posted to the context and never called under the lock.
class OwnedPool : public std::enable_shared_from_this<OwnedPool>
{
public:
    OwnedPool(boost::asio::io_context &context, const policy::PolicyFunctions &functions, const policy::PoolOptions &options);

    // Commands
    void configure(const policy::PoolOptions &options);
    /// Replaces the set of endpoints. Requests that run on a removed endpoint continue.
    void setEndpoints(std::vector<configuration::Endpoint> endpoints, const std::set<support::EndpointId> &leaving);
    /// Requests a permit. The handler is called once, on any worker thread and never during this call, unless the ticket is
    /// dropped before.
    AcquireTicket acquire(PermitRequest request, OwnerAnswerHandler handler);
    /// Registers a request that is already running and returns the permit of this owner for its holder.
    std::shared_ptr<Permit> reregister(policy::RunningRequest running);
    /// Changes the ownership. Released answers all queued requests with PoolMoved to the given router.
    void setOwnership(OwnershipState ownership, const support::InstanceId &newOwner);
    /// Answers all queued requests, and those that arrive later, with the rejection. Running requests continue.
    void close(const PermitRejection &rejection);
    void recordLoadReport(const policy::LoadReport &report);
    void recordQuarantineEntry(const policy::QuarantineEntry &entry);
    void recordPeerRequests(const policy::PeerReport &report);
    void recordPeerSummary(const policy::ReceivedSummary &received);
    void recordLostEndpoints(std::span<const policy::LostEndpoint> lost, policy::LossSource source);
    void recordSegmentEvidence(std::span<const policy::SegmentEvidence> evidence);

    // Queries
    /// Returns the requests that this router runs in the pool.
    [[nodiscard]] std::vector<policy::PeerRequest> runningRequests() const;
    /// Returns the prefixes that these requests have caused endpoints to cache recently.
    [[nodiscard]] std::vector<policy::PeerPrefix> newPrefixes() const;
    /// Returns the combined load of this router and its peers.
    [[nodiscard]] policy::PeerSummary summarizeLoad(policy::SummaryScope scope) const;
    /// Returns the endpoints that were found lost recently, from the given source or a closer one.
    [[nodiscard]] std::vector<policy::LostEndpoint> lostEndpoints(policy::LossSource farthest) const;
    /// Returns the evidence about prompt segments to send to other routers.
    [[nodiscard]] std::vector<policy::SegmentEvidence> segmentEvidence() const;
    [[nodiscard]] std::vector<policy::QuarantinedSegment> quarantinedSegments() const;
    [[nodiscard]] policy::PoolStatistics statistics() const;
    [[nodiscard]] OwnershipState ownership() const;
    [[nodiscard]] policy::PoolSummary summarize() const;
    [[nodiscard]] std::vector<policy::QuarantineEntry> quarantineEntries() const;

private:
    struct PendingAcquisition
    {
        OwnerAnswerHandler handler;
    };
    /// Delivers the answer to a queued request or a command of the policy to the holder of a permit.
    using Notification = std::function<void()>;

    /// Returns the time of the command that follows. Tells the policy about a pause of the process, which shows in a timer that
    /// is late: while requests run, one is always pending.
    policy::TimePoint startCommand();
    /// Runs a command of the policy under the lock and delivers its decisions after the lock was released.
    template <typename Command>
    void execute(const Command &command);
    void withdraw(policy::PermitId permit);
    void recordProgress(policy::PermitId permit, const policy::Progress &progress);
    void finish(policy::PermitId permit, const policy::Completion &completion);
    std::vector<Notification> takeNotifications(const policy::Decisions &decisions);
    static Notification makeAnswer(OwnerAnswerHandler handler, OwnerAnswer result);
    void addCommand(policy::PermitId permit, const OwnerCommand &command, std::vector<Notification> &notifications) const;
    std::shared_ptr<Permit> makePermit(policy::PermitId permit, const support::EndpointId &endpoint, std::uint8_t enginePriority);
    policy::Decisions applyEndpoints();
    /// Passes the options to the policy, with those that depend on the ownership.
    void applyOptions();
    /// Withdraws all queued requests from the policy, which must have no endpoints, and adds the answer to each.
    void answerPendingAcquisitions(const OwnerAnswer &answer, std::vector<Notification> &notifications);
    void deliver(std::vector<Notification> notifications);
    void armTimer();
    void onTimer();

    boost::asio::io_context &context_;
    const policy::PolicyFunctions &functions_;
    policy::PoolOptions options_;
    mutable std::mutex mutex_;
    policy::PoolHandle pool_;
    std::unordered_map<policy::PermitId, PendingAcquisition> pendingAcquisitions_;
    /// Granted permits, by which commands of the policy reach their holders.
    std::unordered_map<policy::PermitId, std::weak_ptr<Permit>> grantedPermits_;
    /// All endpoints that requests may still run on, including removed ones.
    std::map<support::EndpointId, configuration::Endpoint> endpoints_;
    std::vector<policy::EndpointSpec> specs_;
    OwnershipState ownership_ = OwnershipState::Owned;
    support::InstanceId newOwner_;
    /// Set when the configuration no longer contains the pool.
    std::optional<PermitRejection> closed_;
    policy::PermitId nextPermit_ = 1;
    boost::asio::steady_timer timer_;
    /// Expiry time of the pending timer.
    std::optional<policy::TimePoint> timerExpiry_;
};

/// Pools of the configuration, by name. Thread-safe; its mutex precedes that of OwnedPool in the lock order.
class PoolTable
{
public:
    PoolTable(boost::asio::io_context &context, const policy::PolicyFunctions &functions);

    // Commands
    /// Applies the classes, organisations, pools and endpoints of the configuration.
    void configure(const configuration::SiteConfiguration &configuration);
    /// Replaces the endpoints of the configuration, without the cost of applying the rest of it again.
    void setEndpoints(std::vector<configuration::Endpoint> endpoints);
    /// Replaces the set of endpoints that take no new work.
    void setLeaving(std::set<support::EndpointId> leaving);
    /// Records in all pools a quarantined request, which crashed endpoints at another router.
    void recordQuarantineEntry(const policy::QuarantineEntry &entry);
    /// Requests a permit from the pool in this process, without determining its owner.
    AcquireTicket acquire(PermitRequest request, PermitHandler handler);

    // Queries
    /// Returns nullptr if the configuration does not contain the pool.
    [[nodiscard]] std::shared_ptr<OwnedPool> find(const support::PoolId &pool) const;
    [[nodiscard]] std::map<support::PoolId, policy::PoolSummary> summarize() const;
    [[nodiscard]] std::map<support::PoolId, std::shared_ptr<OwnedPool>> pools() const;
    /// Returns the quarantined requests of all pools, which crashed endpoints at this router.
    [[nodiscard]] std::vector<policy::QuarantineEntry> quarantineEntries() const;

private:
    /// Removes the pools that the configuration does not contain.
    void removePoolsWithout(const configuration::SiteConfiguration &configuration);
    void updateEndpoints();

    boost::asio::io_context &context_;
    const policy::PolicyFunctions &functions_;
    mutable std::mutex mutex_;
    std::map<support::PoolId, std::shared_ptr<OwnedPool>> pools_;
    std::vector<configuration::Endpoint> endpoints_;
    std::set<support::EndpointId> leaving_;
};

/// Returns a source that grants all permits from the pools of this process.
PermitSource makeLocalPermitSource(PoolTable &pools);

} // namespace mulberrywall::permits
