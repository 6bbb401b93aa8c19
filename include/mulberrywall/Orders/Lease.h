#pragma once

#include "mulberrywall/BackingServices/TableClient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// State machine of the lease that allows a process to send the engine orders of a data centre. It performs no I/O and
/// reads no clock.
///
/// Holders and candidates measure the lease on their own monotonic clocks: a holder from before it sends a renewal, a
/// candidate from when it has read the row. A lease therefore always expires later for a candidate than for its holder.
namespace mulberrywall::orders
{

using TimePoint = std::chrono::steady_clock::time_point;

inline constexpr std::string_view leaseTable = "leases";

struct LeaseOptions
{
    std::chrono::milliseconds duration {10'000};
    std::chrono::milliseconds renewInterval {3'000};
    /// Minimum remaining time of the lease at which an order may be sent.
    std::chrono::milliseconds margin {2'000};
    /// Time after which an engine ignores an order. A new holder waits for this time before its first order.
    std::chrono::milliseconds orderTimeToLive {2'000};
    /// Interval at which a candidate reads the row, and delay before a failed read or write is retried.
    std::chrono::milliseconds pollInterval {500};
};

/// Contents of the lease row.
struct LeaseRow
{
    /// Id of the holder, unique for each run of a process. Empty after the lease was released.
    std::string holder;
    /// Fencing number, which increases with each change of the holder.
    std::uint64_t fencing = 0;

    friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

std::string encodeLease(const LeaseRow &row);
/// Returns the lease row, or nothing if the text cannot be parsed.
std::optional<LeaseRow> parseLease(std::string_view text);

struct LeaseState
{
    /// Key of the row and holder id of this process. Set once.
    std::string key;
    std::string self;

    /// The row of another holder, and the time at which this version of it was first read.
    struct ObservedRow
    {
        std::uint64_t version = 0;
        LeaseRow row;
        TimePoint since;
    };
    std::optional<ObservedRow> observedRow;
    /// True if the row was read after the last write.
    bool hasFreshRead = false;

    /// Writes whose outcome is unknown. The lease is measured from the first of them, since any of them may have been
    /// applied.
    struct UnconfirmedWrite
    {
        std::uint64_t fencing = 0;
        TimePoint firstSentAt;
        bool needsRead = true;
    };
    std::optional<UnconfirmedWrite> unconfirmedWrite;

    bool isHeld = false;
    std::uint64_t fencing = 0;
    std::uint64_t rowVersion = 0;
    TimePoint validUntil;
    /// Time from which orders of the previous holder are no longer valid.
    TimePoint ordersAllowedFrom;
    /// True if an engine reported a higher fencing number. No order is sent until a write of the row confirms the lease.
    bool needsConfirmation = false;
    /// Minimum fencing number of the next write.
    std::uint64_t minimumFencing = 1;
    /// Earliest time of the next read or write.
    TimePoint nextAccessAt;
};

enum class LeaseStepKind : std::uint8_t {
    /// Wait until the given time.
    Wait,
    Read,
    Write,
};

struct LeaseStep
{
    LeaseStepKind kind = LeaseStepKind::Wait;
    TimePoint until;
    /// For a write: the new row and the operation that writes it.
    LeaseRow row;
    backingservices::WriteOperation operation;
};

/// Returns the next step. If the lease has expired, it is marked as lost first.
LeaseStep nextStep(LeaseState &state, const LeaseOptions &options, TimePoint now);

/// Updates the state with the result of a read.
void onRead(LeaseState &state, const LeaseOptions &options, const backingservices::ReadResult &result, TimePoint now);

/// Updates the state with the result of a write. sentAt is the time immediately before the write was sent.
void onWrite(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, const backingservices::CommitResult &result, TimePoint sentAt, TimePoint now);

/// Returns true if an order may be sent. Must be called immediately before each order.
bool maySendOrder(const LeaseState &state, const LeaseOptions &options, TimePoint now);

/// Handles an engine's refusal of an order because the engine has accepted a higher fencing number.
void onHigherFencing(LeaseState &state, std::uint64_t engineFencing, TimePoint now);

/// Returns the operation that releases the lease, so that the next holder need not wait until the lease expires.
backingservices::WriteOperation releaseOperation(const LeaseState &state);

} // namespace mulberrywall::orders
