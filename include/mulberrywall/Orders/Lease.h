#pragma once

#include "mulberrywall/BackingServices/TableClient.h"
#include "mulberrywall/Duties/Lease.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// The lease that allows a process to send the engine orders of a data centre: the state machine of duties::, with the rows and results of
/// the table service.
namespace mulberrywall::orders
{

using duties::encodeLease;
using duties::LeaseRow;
using duties::LeaseStepKind;
using duties::LeaseTime;
using duties::parseLease;

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

struct LeaseState : duties::LeaseState
{
    /// Key of the row. Set once.
    std::string key;
};

struct LeaseStep
{
    LeaseStepKind kind = LeaseStepKind::Wait;
    std::chrono::steady_clock::time_point until;
    /// For a write: the new row and the operation that writes it.
    LeaseRow row;
    backingservices::WriteOperation operation;
};

/// Returns the next step; see duties::nextStep.
LeaseStep nextStep(LeaseState &state, const LeaseOptions &options, const LeaseTime &now);

/// Updates the state with the result of a read.
void onRead(LeaseState &state, const LeaseOptions &options, const backingservices::ReadResult &result, const LeaseTime &now);

/// Updates the state with the result of a write. sentAt is the time immediately before the write was sent.
void onWrite(LeaseState &state,
    const LeaseOptions &options,
    const LeaseRow &row,
    const backingservices::CommitResult &result,
    const LeaseTime &sentAt,
    const LeaseTime &now);

/// Returns true if an order may be sent. Must be called immediately before each order.
bool maySendOrder(const LeaseState &state, const LeaseOptions &options, const LeaseTime &now);

/// Returns the operation that releases the lease, so that the next holder need not wait until the lease expires.
backingservices::WriteOperation releaseOperation(const LeaseState &state);

} // namespace mulberrywall::orders
