#include "mulberrywall/Orders/Lease.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::orders
{

namespace json = boost::json;
using backingservices::CommitStatus;
using backingservices::ReadStatus;
using backingservices::WriteOperationKind;

namespace
{

LeaseStep makeWrite(const LeaseState &state, std::uint64_t fencing, WriteOperationKind kind, std::uint64_t version)
{
    LeaseStep step {.kind = LeaseStepKind::Write, .row = {.holder = state.self, .fencing = std::max(fencing, state.minimumFencing)}};
    step.operation = {.kind = kind, .key = state.key, .value = encodeLease(step.row), .version = version};
    return step;
}

/// Marks the lease as held, or extends it, after a write of this process was confirmed.
void markHeld(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, std::uint64_t version, TimePoint sentAt, TimePoint now)
{
    if (!state.isHeld) {
        state.ordersAllowedFrom = now + options.orderTimeToLive;
    }
    state.isHeld = true;
    state.needsConfirmation = false;
    state.fencing = row.fencing;
    state.rowVersion = version;
    state.validUntil = std::max(state.validUntil, sentAt + options.duration);
    state.nextAccessAt = sentAt + options.renewInterval;
    state.observedRow.reset();
    state.unconfirmedWrite.reset();
}

void markLost(LeaseState &state)
{
    state.isHeld = false;
    state.unconfirmedWrite.reset();
}

/// Returns true if the lease may be taken over: it was released, this process is the holder in the row, or it has expired.
bool canTakeOver(const LeaseState &state, const LeaseOptions &options, TimePoint now)
{
    const LeaseState::ObservedRow &observedRow = *state.observedRow;
    return observedRow.row.holder.empty() || observedRow.row.holder == state.self || now - observedRow.since >= options.duration;
}

/// Updates the state with the stored row, which was returned by a read or a conflict.
void onStoredRow(LeaseState &state, const LeaseOptions &options, const backingservices::Row &stored, TimePoint now)
{
    const LeaseRow row = parseLease(stored.value).value_or(LeaseRow {.holder = "unreadable", .fencing = state.minimumFencing});
    state.minimumFencing = std::max(state.minimumFencing, row.fencing);
    const bool isCurrent = state.isHeld && row.holder == state.self && stored.version == state.rowVersion;
    if (isCurrent) {
        // The unconfirmed renewal has not been applied yet. It is sent again; the lease is still measured from its first
        // attempt, which may be applied later.
        if (state.unconfirmedWrite) {
            state.unconfirmedWrite->needsRead = false;
        }
        state.nextAccessAt = now;
        return;
    }
    const bool isUnconfirmedWrite = state.unconfirmedWrite && row.holder == state.self && row.fencing == state.unconfirmedWrite->fencing;
    if (isUnconfirmedWrite) {
        markHeld(state, options, row, stored.version, state.unconfirmedWrite->firstSentAt, now);
        return;
    }
    markLost(state);
    const bool isNew = !state.observedRow || state.observedRow->version != stored.version;
    if (isNew) {
        state.observedRow = LeaseState::ObservedRow {.version = stored.version, .row = row, .since = now};
    }
    state.hasFreshRead = true;
    state.nextAccessAt = canTakeOver(state, options, now) ? now : now + options.pollInterval;
}

} // namespace

std::string encodeLease(const LeaseRow &row)
{
    return json::serialize(json::object {{"holder", row.holder}, {"fencing", row.fencing}});
}

std::optional<LeaseRow> parseLease(std::string_view text)
{
    try {
        const json::value document = json::parse(json::string_view(text.data(), text.size()));
        return LeaseRow {
            .holder = std::string(document.as_object().at("holder").as_string()),
            .fencing = document.as_object().at("fencing").to_number<std::uint64_t>(),
        };
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

LeaseStep nextStep(LeaseState &state, const LeaseOptions &options, TimePoint now)
{
    if (state.isHeld && now >= state.validUntil) {
        // The unconfirmed renewal may have been applied, but the time by which it extends the lease has passed as well.
        markLost(state);
        state.nextAccessAt = now;
    }
    if (now < state.nextAccessAt) {
        const TimePoint until = state.isHeld ? std::min(state.nextAccessAt, state.validUntil) : state.nextAccessAt;
        return {.kind = LeaseStepKind::Wait, .until = until};
    }
    if (state.isHeld && !(state.unconfirmedWrite && state.unconfirmedWrite->needsRead)) {
        return makeWrite(state, state.fencing, WriteOperationKind::PutIfVersion, state.rowVersion);
    }
    const bool isFreshRead = std::exchange(state.hasFreshRead, false);
    if (isFreshRead && !state.isHeld && canTakeOver(state, options, now)) {
        const bool isAbsent = state.observedRow->version == 0;
        return makeWrite(state,
            state.observedRow->row.fencing + 1,
            isAbsent ? WriteOperationKind::InsertIfAbsent : WriteOperationKind::PutIfVersion,
            state.observedRow->version);
    }
    return {.kind = LeaseStepKind::Read};
}

void onRead(LeaseState &state, const LeaseOptions &options, const backingservices::ReadResult &result, TimePoint now)
{
    switch (result.status) {
    case ReadStatus::Unavailable:
        state.nextAccessAt = now + options.pollInterval;
        return;
    case ReadStatus::Absent:
        markLost(state);
        // Version 0 represents the absent row.
        state.observedRow = LeaseState::ObservedRow {};
        state.hasFreshRead = true;
        state.nextAccessAt = now;
        return;
    case ReadStatus::Found:
        onStoredRow(state, options, result.row, now);
        return;
    }
}

void onWrite(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, const backingservices::CommitResult &result, TimePoint sentAt, TimePoint now)
{
    switch (result.status) {
    case CommitStatus::Applied:
        markHeld(state, options, row, result.version, sentAt, now);
        return;
    case CommitStatus::NotApplied:
        state.nextAccessAt = now + options.pollInterval;
        return;
    case CommitStatus::Unknown:
        if (!state.unconfirmedWrite || state.unconfirmedWrite->fencing != row.fencing) {
            state.unconfirmedWrite = LeaseState::UnconfirmedWrite {.fencing = row.fencing, .firstSentAt = sentAt};
        }
        state.unconfirmedWrite->needsRead = true;
        state.nextAccessAt = now;
        return;
    case CommitStatus::Conflict:
        if (!result.conflicts.empty() && result.conflicts.front().current) {
            onStoredRow(state, options, *result.conflicts.front().current, now);
            return;
        }
        markLost(state);
        state.nextAccessAt = now + options.pollInterval;
        return;
    }
}

bool maySendOrder(const LeaseState &state, const LeaseOptions &options, TimePoint now)
{
    return state.isHeld && !state.needsConfirmation && now >= state.ordersAllowedFrom && now + options.margin <= state.validUntil;
}

void onHigherFencing(LeaseState &state, std::uint64_t engineFencing, TimePoint now)
{
    if (engineFencing < state.fencing) {
        return;
    }
    state.minimumFencing = std::max(state.minimumFencing, engineFencing + 1);
    state.needsConfirmation = true;
    state.nextAccessAt = now;
}

backingservices::WriteOperation releaseOperation(const LeaseState &state)
{
    return {
        .kind = WriteOperationKind::PutIfVersion,
        .key = state.key,
        .value = encodeLease({.holder = {}, .fencing = state.fencing}),
        .version = state.rowVersion,
    };
}

} // namespace mulberrywall::orders
