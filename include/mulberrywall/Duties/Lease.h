#pragma once

#include "mulberrywall/Duties/LeaseTime.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// State machine of a lease: a row of a store that names the process that may act. It performs no I/O and reads no clock, and it describes
/// reads and writes without the format of the store.
///
/// A holder measures the lease from before it sends a write, a candidate from when it has read the row. A lease therefore always expires
/// later for a candidate than for its holder.
namespace mulberrywall::duties
{

using TimePoint = std::chrono::steady_clock::time_point;

struct LeaseOptions
{
    std::chrono::milliseconds duration {3'000};
    std::chrono::milliseconds renewInterval {1'000};
    /// Minimum remaining time of the lease at which the holder may act. Longer than the timeout of what the holder sends.
    std::chrono::milliseconds margin {1'000};
    /// Time that a new holder waits before it acts.
    std::chrono::milliseconds quietTime {1'500};
    /// The same for a new holder whose instance also held the lease before the previous holder.
    std::chrono::milliseconds quietTimeOnReturn {1'500};
    /// Delay before the holder repeats a failed read or write.
    std::chrono::milliseconds retryInterval {500};
    /// Maximum time between two reads of a candidate. It also reads when the version that it has seen may have expired.
    std::chrono::milliseconds observeInterval {3'000};
};

/// Returns the options of a lease of the given duration: renewed every third of it, with a margin of a third and a quiet time of half of it.
/// Candidates read once in each duration.
[[nodiscard]] LeaseOptions makeLeaseOptions(std::chrono::milliseconds duration);

/// Numbers in the lease row that one holder leaves to the next, by name; for example the highest usage window that was stored.
using LeaseValues = std::map<std::string, std::uint64_t, std::less<>>;

/// Contents of the lease row.
struct LeaseRow
{
    /// Id of the holder, unique for each run of a process: the instance, "/" and a random part. Empty after the lease was released.
    std::string holder;
    /// Fencing number, which increases with each change of the holder.
    std::uint64_t fencing = 0;
    /// Number of this write among those of the holder; a repeated write has the same number.
    std::uint64_t sequence = 0;
    /// Id of the latest holder of another instance before this one; empty if there was none.
    std::string previousHolder;
    /// Id of the holder that released the lease; empty while there is a holder.
    std::string releasedBy;
    LeaseValues values;

    friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

std::string encodeLease(const LeaseRow &row);
/// Returns the lease row, or nothing if the text cannot be parsed.
std::optional<LeaseRow> parseLease(std::string_view text);

/// Returns the instance of a holder id.
[[nodiscard]] std::string_view instanceOf(std::string_view holder);

/// The row as the store returned it.
struct StoredLease
{
    /// Changes with each write of the row; no version occurs twice.
    std::uint64_t version = 0;
    std::string text;
};

enum class LeaseReadStatus : std::uint8_t {
    Found,
    /// The store responded that the row does not exist.
    Absent,
    /// The store gave no usable response.
    Unavailable,
};

struct LeaseReadResult
{
    LeaseReadStatus status = LeaseReadStatus::Unavailable;
    StoredLease stored;
};

enum class LeaseWriteStatus : std::uint8_t {
    Applied,
    /// The row had another version; nothing was written.
    Conflict,
    /// Certainly not applied, neither now nor later.
    NotApplied,
    /// May have been applied, or may still be applied.
    Unknown,
};

struct LeaseWriteResult
{
    LeaseWriteStatus status = LeaseWriteStatus::Unknown;
    /// New version of the row; set if the status is Applied.
    std::uint64_t version = 0;
    /// The row that caused a conflict, if the store returned it.
    std::optional<StoredLease> current;
};

struct LeaseState
{
    /// Holder id of this process. Set once.
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

    /// Writes with the same number whose outcome is unknown. The lease is measured from the first of them, since any of them may have been
    /// applied.
    struct UnconfirmedWrite
    {
        LeaseRow row;
        LeaseTime firstSentAt;
        bool needsRead = true;
    };
    std::optional<UnconfirmedWrite> unconfirmedWrite;

    bool isHeld = false;
    /// True from the release until it is confirmed, or until the lease has expired.
    bool isReleasing = false;
    std::uint64_t fencing = 0;
    std::uint64_t rowVersion = 0;
    /// Contents of the row that this process has written last, as far as confirmed.
    LeaseRow row;
    LeaseTime validUntil;
    /// End of the quiet time of a new holder.
    TimePoint actsFrom;
    /// True if a receiver of a call reported a higher fencing number. The holder does not act until a write of the row confirms the lease.
    bool needsConfirmation = false;
    /// Minimum fencing number of the next write.
    std::uint64_t minimumFencing = 1;
    /// Highest fencing number that was read or written.
    std::uint64_t highestFencing = 0;
    /// Number of the last write.
    std::uint64_t lastSequence = 0;
    /// Earliest time of the next read or write.
    TimePoint nextAccessAt;
};

enum class LeaseStepKind : std::uint8_t {
    /// Wait until the given time.
    Wait,
    Read,
    /// Write the row on the condition that the stored one has the expected version.
    Write,
};

struct LeaseStep
{
    LeaseStepKind kind = LeaseStepKind::Wait;
    TimePoint until;
    /// For a write: the new row and the version that the stored one must have; version 0 means that no row may exist.
    LeaseRow row;
    std::uint64_t expectedVersion = 0;
    /// True if the write repeats an unconfirmed one. All that is written in the same transaction must be the same as before.
    bool isRepeated = false;
};

// Commands

/// Returns the next step. If the lease has expired, it is marked as lost first.
LeaseStep nextStep(LeaseState &state, const LeaseOptions &options, const LeaseTime &now);

/// Updates the state with the result of a read.
void onRead(LeaseState &state, const LeaseOptions &options, const LeaseReadResult &result, const LeaseTime &now);

/// Updates the state with the result of a write. sentAt is the time immediately before the write was sent.
void onWrite(
    LeaseState &state, const LeaseOptions &options, const LeaseRow &row, const LeaseWriteResult &result, const LeaseTime &sentAt, const LeaseTime &now);

/// Handles the refusal of a call because its receiver has accepted a higher fencing number.
void onHigherFencing(LeaseState &state, std::uint64_t receivedFencing, const LeaseTime &now);

/// Handles a report that the holder in the observed row is gone: the row is read soon, since the holder may have released it.
void onHolderGone(LeaseState &state, const LeaseOptions &options, const LeaseTime &now);

/// Gives the lease up. Nothing may be done under it from now on; the following steps write the row without a holder.
void beginRelease(LeaseState &state, const LeaseTime &now);

// Queries

/// Returns true if the holder may act. Must be called immediately before each action.
[[nodiscard]] bool mayActUnderLease(const LeaseState &state, const LeaseOptions &options, const LeaseTime &now);

/// Returns the row that releases the lease, so that the next holder need not wait until the lease expires.
[[nodiscard]] LeaseRow releasedRow(const LeaseState &state);

/// Permission to send one call of a duty.
struct DutyPermission
{
    std::uint64_t fence = 0;
    /// Time from which the call must not be sent any more.
    LeaseTime sendBefore;
};

/// Returns the permission if a duty call may be sent now; must be called immediately before each call.
[[nodiscard]] std::optional<DutyPermission> mayAct(const LeaseState &state, const LeaseOptions &options, const LeaseTime &now);

} // namespace mulberrywall::duties
