#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Policy/Types.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mulberrywall::permits
{

/// Request for a permit. The owner assigns the permit number of the submission.
struct PermitRequest
{
    support::RequestId request;
    support::PoolId pool;
    policy::Submission submission;
};

/// Command from the owner of a pool to the holder of a permit. It contains the owner's permit number.
///
/// The holder must stop a cancelled request and report its completion. A priority change also applies to later attempts.
using OwnerCommand = std::variant<policy::Cancellation, policy::PriorityChange>;
using OwnerCommandHandler = std::function<void(const OwnerCommand &)>;

/// A granted slot on an endpoint. The destructor frees the slot with the outcome Cancelled unless finish was called before.
class Permit
{
public:
    /// Functions that forward calls on the permit to the owner of the pool.
    struct OwnerCallbacks
    {
        std::function<void(const policy::Progress &)> recordProgress;
        std::function<void(const policy::Completion &)> finish;
    };

    Permit(configuration::Endpoint endpoint, std::uint8_t enginePriority, OwnerCallbacks callbacks);
    Permit(const Permit &) = delete;
    Permit &operator=(const Permit &) = delete;
    Permit(Permit &&) = delete;
    Permit &operator=(Permit &&) = delete;
    ~Permit();

    /// Returns the endpoint that the request may run on, with its address; it may be in another data centre.
    [[nodiscard]] const configuration::Endpoint &endpoint() const noexcept
    {
        return endpoint_;
    }
    /// Returns the scheduling priority for the model engine; 0 is the most urgent.
    [[nodiscard]] std::uint8_t enginePriority() const noexcept
    {
        return enginePriority_;
    }
    /// Returns the estimated number of prompt tokens that the endpoint has to prefill; std::nullopt if the owner of the pool has not told it.
    [[nodiscard]] std::optional<std::uint32_t> prefillTokens() const noexcept
    {
        return prefillTokens_;
    }
    /// Sets the estimate. Must be called before the permit is passed to its holder.
    void setPrefillTokens(std::uint32_t tokens) noexcept
    {
        prefillTokens_ = tokens;
    }

    /// Sets the handler of the owner's commands. Commands that were received before are passed to it during this call.
    /// Thread-safe.
    ///
    /// The handler is called on any thread and must not block.
    void setCommandHandler(const OwnerCommandHandler &handler);
    /// Passes a command of the owner to the holder's handler, or queues it until a handler is set. Thread-safe.
    void command(const OwnerCommand &command);
    /// Reports the progress of the request to the owner. May be called often; progress is sent at a bounded rate.
    void recordProgress(const policy::Progress &progress);
    /// Reports the completion to the owner, which frees the slot. Further calls have no effect.
    void finish(const policy::Completion &completion);

private:
    configuration::Endpoint endpoint_;
    std::uint8_t enginePriority_;
    std::optional<std::uint32_t> prefillTokens_;
    OwnerCallbacks ownerCallbacks_;
    bool finished_ = false;
    std::uint64_t outputTokens_ = 0;

    std::mutex mutex_;
    OwnerCommandHandler commandHandler_;
    /// Commands received before the handler was set; the owner may send one while the grant is still in transit.
    std::vector<OwnerCommand> waitingCommands_;
};

/// Result of a permit request that the owner rejected or for which no owner could be reached in time. The request has not
/// run.
struct PermitRejection
{
    policy::RejectionReason reason = policy::RejectionReason::Shed;
    std::chrono::milliseconds retryAfter {0};
    std::string detail;
};

using PermitResult = std::variant<std::shared_ptr<Permit>, PermitRejection>;
using PermitHandler = std::function<void(PermitResult)>;

/// Handle of a queued permit request. Dropping it withdraws the request.
using AcquireTicket = std::shared_ptr<void>;

/// Grants permits for the pools of this router's configuration. Thread-safe.
struct PermitSource
{
    /// Requests a permit. The handler is called once, on any worker thread and never during this call, unless the ticket is
    /// dropped before.
    std::function<AcquireTicket(PermitRequest request, PermitHandler handler)> acquire;
};

} // namespace mulberrywall::permits
