#include "mulberrywall/Permits/Permit.h"

#include <utility>

namespace mulberrywall::permits
{

Permit::Permit(configuration::Endpoint endpoint, std::uint8_t enginePriority, OwnerCallbacks callbacks)
    : endpoint_(std::move(endpoint)),
      enginePriority_(enginePriority),
      ownerCallbacks_(std::move(callbacks))
{
}

Permit::~Permit()
{
    finish({.outcome = policy::AttemptOutcome::Cancelled, .outputTokens = outputTokens_});
}

void Permit::setCommandHandler(const OwnerCommandHandler &handler)
{
    std::vector<OwnerCommand> waiting;
    {
        const std::scoped_lock lock(mutex_);
        commandHandler_ = handler;
        waiting.swap(waitingCommands_);
    }
    for (const OwnerCommand &command : waiting) {
        handler(command);
    }
}

void Permit::command(const OwnerCommand &command)
{
    OwnerCommandHandler handler;
    {
        const std::scoped_lock lock(mutex_);
        handler = commandHandler_;
        if (!handler) {
            waitingCommands_.push_back(command);
            return;
        }
    }
    handler(command);
}

void Permit::recordProgress(const policy::Progress &progress)
{
    outputTokens_ = progress.outputTokens;
    ownerCallbacks_.recordProgress(progress);
}

void Permit::finish(const policy::Completion &completion)
{
    if (finished_) {
        return;
    }
    finished_ = true;
    ownerCallbacks_.finish(completion);
}

} // namespace mulberrywall::permits
