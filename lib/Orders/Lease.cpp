#include "mulberrywall/Orders/Lease.h"

#include <optional>
#include <utility>

namespace mulberrywall::orders
{

using backingservices::CommitResult;
using backingservices::CommitStatus;
using backingservices::ReadStatus;
using backingservices::WriteOperationKind;
using duties::LeaseReadStatus;
using duties::LeaseWriteStatus;

namespace
{

duties::LeaseOptions toLeaseOptions(const LeaseOptions &options)
{
    return {.duration = options.duration,
        .renewInterval = options.renewInterval,
        .margin = options.margin,
        .quietTime = options.orderTimeToLive,
        .quietTimeOnReturn = options.orderTimeToLive,
        .retryInterval = options.pollInterval,
        .observeInterval = options.pollInterval};
}

LeaseReadStatus toReadStatus(ReadStatus status)
{
    switch (status) {
    case ReadStatus::Found:
        return LeaseReadStatus::Found;
    case ReadStatus::Absent:
        return LeaseReadStatus::Absent;
    case ReadStatus::Unavailable:
        return LeaseReadStatus::Unavailable;
    }
    return LeaseReadStatus::Unavailable;
}

LeaseWriteStatus toWriteStatus(CommitStatus status)
{
    switch (status) {
    case CommitStatus::Applied:
        return LeaseWriteStatus::Applied;
    case CommitStatus::Conflict:
        return LeaseWriteStatus::Conflict;
    case CommitStatus::NotApplied:
        return LeaseWriteStatus::NotApplied;
    case CommitStatus::Unknown:
        return LeaseWriteStatus::Unknown;
    }
    return LeaseWriteStatus::Unknown;
}

duties::StoredLease toStoredLease(const backingservices::Row &row)
{
    return {.version = row.version, .text = row.value};
}

duties::LeaseWriteResult toWriteResult(const CommitResult &result)
{
    duties::LeaseWriteResult converted {.status = toWriteStatus(result.status), .version = result.version};
    if (!result.conflicts.empty() && result.conflicts.front().current) {
        converted.current = toStoredLease(*result.conflicts.front().current);
    }
    return converted;
}

} // namespace

LeaseStep nextStep(LeaseState &state, const LeaseOptions &options, const LeaseTime &now)
{
    duties::LeaseStep step = duties::nextStep(state, toLeaseOptions(options), now);
    LeaseStep converted {.kind = step.kind, .until = step.until, .row = std::move(step.row)};
    if (step.kind == LeaseStepKind::Write) {
        converted.operation = {.kind = step.expectedVersion == 0 ? WriteOperationKind::InsertIfAbsent : WriteOperationKind::PutIfVersion,
            .key = state.key,
            .value = encodeLease(converted.row),
            .version = step.expectedVersion};
    }
    return converted;
}

void onRead(LeaseState &state, const LeaseOptions &options, const backingservices::ReadResult &result, const LeaseTime &now)
{
    duties::onRead(state, toLeaseOptions(options), {.status = toReadStatus(result.status), .stored = toStoredLease(result.row)}, now);
}

void onWrite(LeaseState &state,
    const LeaseOptions &options,
    const LeaseRow &row,
    const backingservices::CommitResult &result,
    const LeaseTime &sentAt,
    const LeaseTime &now)
{
    duties::onWrite(state, toLeaseOptions(options), row, toWriteResult(result), sentAt, now);
}

bool maySendOrder(const LeaseState &state, const LeaseOptions &options, const LeaseTime &now)
{
    return duties::mayActUnderLease(state, toLeaseOptions(options), now);
}

backingservices::WriteOperation releaseOperation(const LeaseState &state)
{
    return {
        .kind = WriteOperationKind::PutIfVersion,
        .key = state.key,
        .value = encodeLease(duties::releasedRow(state)),
        .version = state.rowVersion,
    };
}

} // namespace mulberrywall::orders
