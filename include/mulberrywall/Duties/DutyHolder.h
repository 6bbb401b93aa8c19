#pragma once

#include "mulberrywall/Duties/Lease.h"
#include "mulberrywall/Duties/Reachability.h"
#include "mulberrywall/Membership/Types.h"
#include "mulberrywall/Support/Ids.h"
#include "mulberrywall/Support/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::duties
{

/// A row that is stored under the lease; it is removed if it has no value.
struct DutyRow
{
    std::string key;
    std::optional<std::string> value;
};

/// What is stored in one transaction under the lease.
struct DutyWrite
{
    std::vector<DutyRow> rows;
    /// Values of the lease row to be set; the others are kept.
    LeaseValues values;
};

enum class DutyWriteOutcome : std::uint8_t {
    Stored,
    /// The lease was lost or released first. The rows may have been stored; the next holder finds out by reading them.
    LeaseLost,
};

using DutyWriteHandler = std::function<void(DutyWriteOutcome)>;

/// Access to the lease row and the rows beside it. Each handler is called once, on any thread, and never from within the function that
/// takes it.
struct DutyStore
{
    /// Reads the lease row.
    std::function<void(std::function<void(LeaseReadResult)> handler)> read;
    /// Writes the lease row and the other rows in one transaction, on the condition that the lease row has the expected version; 0 means
    /// that it may not exist.
    std::function<void(std::string lease, std::uint64_t expectedVersion, std::vector<DutyRow> rows, std::function<void(LeaseWriteResult)> handler)> write;
};

struct DutyHolderOptions
{
    support::InstanceId instance;
    LeaseOptions lease;
    /// Time after the start before the first read, within which the members become known.
    std::chrono::milliseconds startDelay {3'000};
    /// Time after which a holder that is no longer a candidate hands over.
    std::chrono::milliseconds handOverDelay {6'000};
    ReachabilityOptions reachability;
};

/// Called on the holder's strand.
struct DutyHolderHandlers
{
    /// Called when the lease was acquired. mayAct gives no permission before the quiet time has passed.
    std::function<void(std::uint64_t fence)> becameHolder;
    /// Called when the lease was lost or is released. Calls in progress are to be cancelled.
    std::function<void()> lostLease;
};

/// Takes part in the succession to the lease of the duties, and renews the lease while this process holds it.
///
/// Routers that are not candidates make no call to the store. Thread-safe; the work is done on a strand.
class DutyHolder : public std::enable_shared_from_this<DutyHolder>
{
public:
    /// The metrics must outlive the holder.
    DutyHolder(boost::asio::io_context &context, DutyHolderOptions options, DutyStore store, DutyHolderHandlers handlers, support::MetricsRegistry &metrics);

    // Commands
    void start();
    /// Ends all activity without releasing the lease.
    void stop();
    /// Gives the lease up and does not take part any more. Calls the handler when the store has confirmed the release, when it need not be
    /// released, or when it has expired.
    void release(std::function<void()> handler);
    /// Sets the live members, from which the candidates are chosen.
    void setMembers(std::vector<membership::Member> live);
    /// Records how a call to the control API ended. A holder that gets no responses hands over if there is another candidate.
    void recordCall(CallOutcome outcome);
    /// Stores the rows with the condition that this process still holds the lease, which is renewed thereby. Repeats the same write until
    /// its outcome is known.
    void storeUnderLease(DutyWrite write, DutyWriteHandler handler);

    // Queries
    /// Returns a permission if a duty call may be sent now; must be called immediately before each call.
    [[nodiscard]] std::optional<DutyPermission> mayAct() const;
    /// Returns the values in the lease row as this holder has found or written them; empty if the lease is not held.
    [[nodiscard]] LeaseValues values() const;

private:
    struct QueuedWrite
    {
        DutyWrite write;
        DutyWriteHandler handler;
    };

    /// The writes that are part of the latest renewal whose outcome is unknown.
    struct Attempt
    {
        std::uint64_t sequence = 0;
        std::vector<DutyRow> rows;
        std::vector<QueuedWrite> writes;
    };

    [[nodiscard]] bool takesPart() const;
    void advance();
    void wait(TimePoint until);
    void read();
    void write(LeaseStep step);
    void attachQueuedWrites(LeaseStep &step);
    void onReadResult(const LeaseReadResult &result);
    void onWriteResult(const LeaseRow &row, const LeaseWriteResult &result, const LeaseTime &sentAt);
    /// Settles the attempt if its outcome has become known.
    void settleAttempt();
    void failWrites();
    void handOverIfReplaced();
    void handOverIfUnanswered();
    void onAnswered();
    void reportLeaseChange();
    void finishRelease();

    DutyHolderOptions options_;
    DutyStore store_;
    DutyHolderHandlers handlers_;
    support::MetricsRegistry &metrics_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    /// Protects state_. No other lock is taken while it is held.
    mutable std::mutex mutex_;
    LeaseState state_;
    std::vector<QueuedWrite> queue_;
    std::optional<Attempt> attempt_;
    /// Fence of the term that was reported to the handlers.
    std::optional<std::uint64_t> reportedFence_;
    TimePoint acquiredAt_;
    std::optional<TimePoint> replacedSince_;
    /// Version of the row whose holder was reported as gone.
    std::uint64_t goneVersion_ = 0;
    Reachability reachability_;
    bool isCandidate_ = false;
    bool hasOtherCandidates_ = false;
    bool isAwaitingStore_ = false;
    bool isStarted_ = false;
    bool isStopped_ = false;
    std::function<void()> onReleased_;
};

} // namespace mulberrywall::duties
