#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Policy/Types.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace mulberrywall::permits
{

/// Asks for a permit; the permit number in the submission is assigned by the owner.
struct PermitRequest
{
    support::RequestId request;
    support::PoolId pool;
    policy::Submission submission;
};

/// What the owner asks of the holder of a permit. The permit numbers are the owner's.
///
/// A cancelled request must be stopped and its completion reported; a priority change holds for later attempts too.
using OwnerCommand = std::variant<policy::Cancellation, policy::PriorityChange>;
using OwnerCommandHandler = std::function<void(const OwnerCommand &)>;

/// A granted slot on an endpoint. Dropping it frees the slot as cancelled unless finish was called before.
class Permit
{
public:
    struct Operations
    {
        std::function<void(const policy::Progress &)> recordProgress;
        std::function<void(const policy::Completion &)> finish;
    };

    Permit(configuration::Endpoint endpoint, std::uint8_t enginePriority, Operations operations);
    Permit(const Permit &) = delete;
    Permit &operator=(const Permit &) = delete;
    Permit(Permit &&) = delete;
    Permit &operator=(Permit &&) = delete;
    ~Permit();

    /// The endpoint that the request may run on, with its address; it may lie in another data centre.
    [[nodiscard]] const configuration::Endpoint &endpoint() const noexcept
    {
        return endpoint_;
    }
    /// Priority for the engine; 0 is the most urgent.
    [[nodiscard]] std::uint8_t enginePriority() const noexcept
    {
        return enginePriority_;
    }

    /// Sets who carries out the owner's commands; those that came before are passed on inside the call. Thread-safe.
    ///
    /// The handler is called by any thread and must not block.
    void setCommandHandler(const OwnerCommandHandler &handler);
    /// Passes a command of the owner to the holder. Thread-safe.
    void command(const OwnerCommand &command);
    /// Tells the owner how far the request is. May be called often; the owner is told at a bounded rate.
    void recordProgress(const policy::Progress &progress);
    /// Frees the slot; only the first call counts.
    void finish(const policy::Completion &completion);

private:
    configuration::Endpoint endpoint_;
    std::uint8_t enginePriority_;
    Operations operations_;
    bool finished_ = false;
    std::uint64_t outputTokens_ = 0;

    std::mutex mutex_;
    OwnerCommandHandler commandHandler_;
    /// Commands from before the handler was set: the owner may send one while the grant is on its way.
    std::vector<OwnerCommand> waitingCommands_;
};

/// The owner refused, or no owner could be reached in time; the request has not run.
struct PermitRejection
{
    policy::RejectionReason reason = policy::RejectionReason::Shed;
    std::chrono::milliseconds retryAfter {0};
    std::string detail;
};

using PermitResult = std::variant<std::shared_ptr<Permit>, PermitRejection>;
using PermitHandler = std::function<void(PermitResult)>;

/// Keeps a waiting request in the queue; dropping it withdraws the request.
using AcquireTicket = std::shared_ptr<void>;

/// Gives permits for the pools of this router's configuration. Thread-safe.
struct PermitSource
{
    /// Calls the handler once, from any worker thread and never inside the call, unless the ticket is dropped first.
    std::function<AcquireTicket(PermitRequest request, PermitHandler handler)> acquire;
};

} // namespace mulberrywall::permits
