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

/// Another router owns the pool by now; the request has not run. The owner is empty when it is not known.
struct PoolMoved
{
    support::InstanceId owner;
};

using OwnerAnswer = std::variant<std::shared_ptr<Permit>, PermitRejection, PoolMoved>;
using OwnerAnswerHandler = std::function<void(OwnerAnswer)>;

/// How much of its endpoints a router may use as the owner of a pool.
enum class OwnershipState : std::uint8_t {
    /// Another router owns the pool: no grants; running requests are kept until they end.
    Released,
    /// Newly taken over: half of the slots, until the running requests are known.
    Recovering,
    Owned,
};

/// One pool that this router owns: the policy's state with its lock, its waiting handlers and its timer.
///
/// Thread-safe. After PoolTable in the lock order; handlers are posted to the context and never called under the lock.
class OwnedPool : public std::enable_shared_from_this<OwnedPool>
{
public:
    OwnedPool(boost::asio::io_context &context, const policy::PolicyFunctions &functions, const policy::PoolOptions &options);

    // Commands
    void configure(const policy::PoolOptions &options);
    /// Takes the complete set of endpoints; requests running on a missing one go on.
    void setEndpoints(std::vector<configuration::Endpoint> endpoints, const std::set<support::EndpointId> &leaving);
    /// Calls the handler once, from any worker thread and never inside the call, unless the ticket is dropped first.
    AcquireTicket acquire(PermitRequest request, OwnerAnswerHandler handler);
    /// Takes over a running request and gives its holder a permit of this owner.
    std::shared_ptr<Permit> reregister(policy::RunningRequest running);
    /// Released tells all waiting requests that the pool has moved to the given router.
    void setOwnership(OwnershipState ownership, const support::InstanceId &newOwner);
    void recordLoadReport(const policy::LoadReport &report);
    void recordQuarantineEntry(const policy::QuarantineEntry &suspect);
    void recordPeerRequests(const policy::PeerReport &report);
    void recordPeerSummary(const policy::PeerSummary &summary);

    // Queries
    [[nodiscard]] std::vector<policy::PeerRequest> runningRequests() const;
    /// Returns what this router and its peers but the receiver run.
    [[nodiscard]] policy::PeerSummary summarizeFor(const support::InstanceId &receiver) const;
    [[nodiscard]] OwnershipState ownership() const;
    [[nodiscard]] policy::PoolSummary summarize() const;
    [[nodiscard]] std::vector<policy::QuarantineEntry> quarantineEntries() const;

private:
    struct Waiter
    {
        OwnerAnswerHandler handler;
    };
    /// Tells a waiting request its result or a holder a command of the policy.
    using Notification = std::function<void()>;

    /// Runs a command of the policy under the lock and delivers its decisions after it.
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
    void moveWaiters(const support::InstanceId &newOwner, std::vector<Notification> &notifications);
    void deliver(std::vector<Notification> notifications);
    void armTimer();
    void onTimer();

    boost::asio::io_context &context_;
    const policy::PolicyFunctions &functions_;
    mutable std::mutex mutex_;
    policy::PoolHandle pool_;
    std::unordered_map<policy::PermitId, Waiter> waiters_;
    /// Permits in use, for the commands of the policy.
    std::unordered_map<policy::PermitId, std::weak_ptr<Permit>> holders_;
    /// Descriptions of all endpoints that requests may still run on.
    std::map<support::EndpointId, configuration::Endpoint> endpoints_;
    std::vector<policy::EndpointSpec> specs_;
    OwnershipState ownership_ = OwnershipState::Owned;
    support::InstanceId newOwner_;
    policy::PermitId nextPermit_ = 1;
    boost::asio::steady_timer timer_;
    std::optional<policy::TimePoint> armedFor_;
};

/// The pools that this router owns, by name. Thread-safe; its mutex comes before that of OwnedPool.
class PoolTable
{
public:
    PoolTable(boost::asio::io_context &context, const policy::PolicyFunctions &functions);

    // Commands
    /// Takes classes, organisations, pools and endpoints from the configuration.
    void configure(const configuration::SiteConfiguration &configuration);
    void setLeaving(std::set<support::EndpointId> leaving);
    /// Tells all pools that a request crashed endpoints elsewhere.
    void recordQuarantineEntry(const policy::QuarantineEntry &suspect);
    /// Asks in this process, as owner of the pool.
    AcquireTicket acquire(PermitRequest request, PermitHandler handler);

    // Queries
    /// Returns nullptr for a pool that the configuration does not have.
    [[nodiscard]] std::shared_ptr<OwnedPool> find(const support::PoolId &pool) const;
    [[nodiscard]] std::map<support::PoolId, policy::PoolSummary> summarize() const;
    [[nodiscard]] std::map<support::PoolId, std::shared_ptr<OwnedPool>> pools() const;
    /// Returns the requests that crashed endpoints of any pool here.
    [[nodiscard]] std::vector<policy::QuarantineEntry> quarantineEntries() const;

private:
    void updateEndpoints();

    boost::asio::io_context &context_;
    const policy::PolicyFunctions &functions_;
    mutable std::mutex mutex_;
    std::map<support::PoolId, std::shared_ptr<OwnedPool>> pools_;
    std::vector<configuration::Endpoint> endpoints_;
    std::set<support::EndpointId> leaving_;
};

/// Returns a source that takes every permit from the pools of this process.
PermitSource makeLocalPermitSource(PoolTable &pools);

} // namespace mulberrywall::permits
