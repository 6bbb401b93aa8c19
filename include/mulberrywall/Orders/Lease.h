#pragma once

#include "mulberrywall/BackingServices/TableClient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Decisions about the lease of a data centre's engine orders, without I/O and without a clock of their own.
///
/// Holders and candidates measure the lease on their own monotonic clocks: a holder from before it sends a renewal, a
/// candidate from when it has read the row. A candidate's measure therefore always ends later.
namespace mulberrywall::orders
{

using TimePoint = std::chrono::steady_clock::time_point;

inline constexpr std::string_view leaseTable = "leases";

struct LeaseOptions
{
    std::chrono::milliseconds duration {10'000};
    std::chrono::milliseconds renewInterval {3'000};
    /// Orders are sent only while at least this much of the lease is left.
    std::chrono::milliseconds margin {2'000};
    /// Time after which an engine ignores an order; a new holder waits as long before its first one.
    std::chrono::milliseconds orderTimeToLive {2'000};
    /// Time between two reads of the row by a candidate, and before a failed read or write is tried again.
    std::chrono::milliseconds pollInterval {500};
};

/// Contents of the lease row.
struct LeaseRow
{
    /// Unique for each run of a process; empty after a release.
    std::string holder;
    /// Grows with each holder.
    std::uint64_t fencing = 0;

    friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

std::string encodeLease(const LeaseRow &row);
/// Returns nothing when the text is no lease.
std::optional<LeaseRow> parseLease(std::string_view text);

struct LeaseState
{
    /// Row key and holder id; set once.
    std::string key;
    std::string self;

    /// The row of another holder and when this version of it was first read.
    struct Seen
    {
        std::uint64_t version = 0;
        LeaseRow row;
        TimePoint since;
    };
    std::optional<Seen> seen;
    /// The row was read and no write has followed yet.
    bool hasFreshRead = false;

    /// Writes whose outcome is unknown. The time of the first one counts, since any of them may be in effect.
    struct Unsettled
    {
        std::uint64_t fencing = 0;
        TimePoint firstSentAt;
        bool needsRead = true;
    };
    std::optional<Unsettled> unsettled;

    bool isHeld = false;
    std::uint64_t fencing = 0;
    std::uint64_t rowVersion = 0;
    TimePoint validUntil;
    /// First moment at which orders of the previous holder are no longer valid.
    TimePoint ordersFrom;
    /// An engine has seen a higher number; no order is sent until a write of the row confirms the lease.
    bool needsConfirmation = false;
    /// The next write uses at least this number.
    std::uint64_t minimumFencing = 1;
    /// Earliest time of the next read or write.
    TimePoint nextAt;
};

enum class LeaseStepKind : std::uint8_t {
    /// Do nothing until the given time.
    Wait,
    Read,
    Write,
};

struct LeaseStep
{
    LeaseStepKind kind = LeaseStepKind::Wait;
    TimePoint until;
    /// The row to write and the operation that does it.
    LeaseRow row;
    backingservices::WriteOperation operation;
};

/// Returns what to do next. A holder whose lease has run out stops being one.
LeaseStep nextStep(LeaseState &state, const LeaseOptions &options, TimePoint now);

/// Takes the result of a read into account.
void onRead(LeaseState &state, const LeaseOptions &options, const backingservices::ReadResult &result, TimePoint now);

/// Takes the result of a write into account; sentAt is the time just before it was sent.
void onWrite(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, const backingservices::CommitResult &result, TimePoint sentAt, TimePoint now);

/// Returns true while an order may be sent; check it immediately before each one.
bool maySendOrder(const LeaseState &state, const LeaseOptions &options, TimePoint now);

/// Notes that an engine refused an order because it has seen a higher number.
void onHigherFencing(LeaseState &state, std::uint64_t seenByEngine, TimePoint now);

/// Returns the operation that releases the lease so that the next holder need not wait for its end.
backingservices::WriteOperation releaseOperation(const LeaseState &state);

} // namespace mulberrywall::orders
