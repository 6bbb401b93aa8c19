#include "mulberrywall/Duties/Lease.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::duties
{

namespace json = boost::json;

namespace
{

/// Returns the id of the process that held the lease last, whether or not it has released it.
const std::string &latestHolder(const LeaseRow &row)
{
    return row.holder.empty() ? row.releasedBy : row.holder;
}

/// Returns the row with which this process takes over from the observed one.
LeaseRow takeoverRow(const LeaseState &state, std::uint64_t sequence)
{
    const LeaseRow &observed = state.observedRow->row;
    const std::string &latest = latestHolder(observed);
    const bool isOwnInstance = instanceOf(latest) == instanceOf(state.self);
    return {.holder = state.self,
        .fencing = std::max({observed.fencing + 1, state.highestFencing + 1, state.minimumFencing}),
        .sequence = sequence,
        .previousHolder = isOwnInstance ? observed.previousHolder : latest,
        .values = observed.values};
}

LeaseRow renewedRow(const LeaseState &state, std::uint64_t sequence)
{
    LeaseRow row = state.row;
    row.fencing = std::max(state.fencing, state.minimumFencing);
    row.sequence = sequence;
    return row;
}

LeaseStep makeWrite(LeaseRow row, std::uint64_t expectedVersion)
{
    return {.kind = LeaseStepKind::Write, .row = std::move(row), .expectedVersion = expectedVersion};
}

/// Returns the quiet time of a holder that has taken over with this row.
std::chrono::milliseconds quietTimeAfter(const LeaseState &state, const LeaseOptions &options)
{
    const std::string *before = state.observedRow ? &state.observedRow->row.previousHolder : nullptr;
    const bool hasReturned = before != nullptr && !before->empty() && instanceOf(*before) == instanceOf(state.self);
    return hasReturned ? options.quietTimeOnReturn : options.quietTime;
}

/// Marks the lease as held, or extends it, after a write of this process was confirmed.
void markHeld(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, std::uint64_t version, const LeaseTime &sentAt, const LeaseTime &now)
{
    const LeaseTime validUntil = sentAt + options.duration;
    const bool isAcquired = !state.isHeld && !state.isReleasing;
    if (isAcquired || validUntil.boot > state.validUntil.boot) {
        state.validUntil = validUntil;
    }
    state.rowVersion = version;
    state.row = row;
    state.fencing = row.fencing;
    state.highestFencing = std::max(state.highestFencing, row.fencing);
    state.unconfirmedWrite.reset();
    if (state.isReleasing) {
        return;
    }
    if (isAcquired) {
        state.actsFrom = now.monotonic + quietTimeAfter(state, options);
    }
    state.isHeld = true;
    state.needsConfirmation = row.fencing < state.minimumFencing;
    state.nextAccessAt = state.needsConfirmation ? now.monotonic : sentAt.monotonic + options.renewInterval;
    state.observedRow.reset();
}

void markLost(LeaseState &state)
{
    state.isHeld = false;
    state.isReleasing = false;
    state.unconfirmedWrite.reset();
}

/// Returns true if the lease may be taken over: it was released, this process is the holder in the row, or it has expired.
bool canTakeOver(const LeaseState &state, const LeaseOptions &options, TimePoint now)
{
    const LeaseState::ObservedRow &observedRow = *state.observedRow;
    return observedRow.row.holder.empty() || observedRow.row.holder == state.self || now - observedRow.since >= options.duration;
}

void observe(LeaseState &state, const LeaseOptions &options, std::uint64_t version, const LeaseRow &row, TimePoint now)
{
    const bool isNew = !state.observedRow || state.observedRow->version != version;
    if (isNew) {
        state.observedRow = LeaseState::ObservedRow {.version = version, .row = row, .since = now};
    }
    // What was read before a wait is not used for a takeover.
    state.hasFreshRead = canTakeOver(state, options, now);
    const TimePoint mayExpireAt = state.observedRow->since + options.duration;
    state.nextAccessAt = state.hasFreshRead ? now : std::min(now + options.observeInterval, mayExpireAt);
}

/// Handles a row that this process has written under its current fencing number, other than by its unconfirmed write.
void onOwnRow(LeaseState &state, const LeaseOptions &options, std::uint64_t version, const LeaseRow &row, const LeaseTime &now)
{
    // An earlier write may have been applied although its outcome was unknown. Its values must not be replaced by older ones.
    state.row = row;
    // A write that has not been applied yet is sent again. The lease is still measured from its first attempt, which may be applied later.
    const bool wasAwaited = state.unconfirmedWrite && std::exchange(state.unconfirmedWrite->needsRead, false);
    const bool hasNewVersion = std::exchange(state.rowVersion, version) != version;
    // A store that reports a conflict with the expected version is asked again later.
    state.nextAccessAt = wasAwaited || hasNewVersion ? now.monotonic : now.monotonic + options.retryInterval;
}

/// Updates the state with the stored row, which was returned by a read or a conflict.
void onStoredRow(LeaseState &state, const LeaseOptions &options, const StoredLease &stored, const LeaseTime &now)
{
    const LeaseRow row = parseLease(stored.text).value_or(LeaseRow {.holder = "unreadable", .fencing = state.highestFencing});
    state.highestFencing = std::max(state.highestFencing, row.fencing);
    const bool isUnconfirmedWrite = state.unconfirmedWrite && row.holder == state.self && row.fencing == state.unconfirmedWrite->row.fencing
        && row.sequence == state.unconfirmedWrite->row.sequence;
    if (isUnconfirmedWrite) {
        markHeld(state, options, row, stored.version, state.unconfirmedWrite->firstSentAt, now);
        return;
    }
    const bool isOwnRow = (state.isHeld || state.isReleasing) && row.holder == state.self && row.fencing == state.fencing;
    if (isOwnRow) {
        onOwnRow(state, options, stored.version, row, now);
        return;
    }
    markLost(state);
    observe(state, options, stored.version, row, now.monotonic);
}

void onConflict(LeaseState &state, const LeaseOptions &options, const LeaseWriteResult &result, const LeaseTime &now)
{
    if (result.current) {
        onStoredRow(state, options, *result.current, now);
        return;
    }
    markLost(state);
    state.nextAccessAt = now.monotonic + options.retryInterval;
}

void onReleaseWritten(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, const LeaseWriteResult &result, const LeaseTime &now)
{
    switch (result.status) {
    case LeaseWriteStatus::Applied:
        markLost(state);
        observe(state, options, result.version, row, now.monotonic);
        state.hasFreshRead = false;
        state.nextAccessAt = now.monotonic + options.observeInterval;
        return;
    case LeaseWriteStatus::NotApplied:
    case LeaseWriteStatus::Unknown:
        state.nextAccessAt = now.monotonic + options.retryInterval;
        return;
    case LeaseWriteStatus::Conflict:
        onConflict(state, options, result, now);
        return;
    }
}

} // namespace

LeaseOptions makeLeaseOptions(std::chrono::milliseconds duration)
{
    return {.duration = duration,
        .renewInterval = duration / 3,
        .margin = duration / 3,
        .quietTime = duration / 2,
        .quietTimeOnReturn = duration,
        .retryInterval = duration / 6,
        .observeInterval = duration};
}

std::string encodeLease(const LeaseRow &row)
{
    json::object object {{"holder", row.holder}, {"fencing", row.fencing}};
    if (row.sequence != 0) {
        object["sequence"] = row.sequence;
    }
    if (!row.previousHolder.empty()) {
        object["previousHolder"] = row.previousHolder;
    }
    if (!row.releasedBy.empty()) {
        object["releasedBy"] = row.releasedBy;
    }
    if (!row.values.empty()) {
        json::object values;
        for (const auto &[name, value] : row.values) {
            values[name] = value;
        }
        object["values"] = std::move(values);
    }
    return json::serialize(object);
}

std::optional<LeaseRow> parseLease(std::string_view text)
{
    try {
        const json::value document = json::parse(json::string_view(text.data(), text.size()));
        const json::object &object = document.as_object();
        LeaseRow row {
            .holder = std::string(object.at("holder").as_string()),
            .fencing = object.at("fencing").to_number<std::uint64_t>(),
        };
        if (const json::value *sequence = object.if_contains("sequence")) {
            row.sequence = sequence->to_number<std::uint64_t>();
        }
        if (const json::value *previousHolder = object.if_contains("previousHolder")) {
            row.previousHolder = std::string(previousHolder->as_string());
        }
        if (const json::value *releasedBy = object.if_contains("releasedBy")) {
            row.releasedBy = std::string(releasedBy->as_string());
        }
        if (const json::value *values = object.if_contains("values")) {
            for (const auto &[name, value] : values->as_object()) {
                row.values.emplace(std::string(name), value.to_number<std::uint64_t>());
            }
        }
        return row;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string_view instanceOf(std::string_view holder)
{
    return holder.substr(0, holder.rfind('/'));
}

LeaseStep nextStep(LeaseState &state, const LeaseOptions &options, const LeaseTime &now)
{
    if ((state.isHeld || state.isReleasing) && hasReached(state.validUntil, now)) {
        // The unconfirmed renewal may have been applied, but the time by which it extends the lease has passed as well.
        markLost(state);
        state.nextAccessAt = now.monotonic;
    }
    if (now.monotonic < state.nextAccessAt) {
        const TimePoint until = state.isHeld ? std::min(state.nextAccessAt, state.validUntil.monotonic) : state.nextAccessAt;
        return {.kind = LeaseStepKind::Wait, .until = until};
    }
    if (state.isReleasing) {
        return makeWrite(releasedRow(state), state.rowVersion);
    }
    if (state.isHeld && state.unconfirmedWrite && !state.unconfirmedWrite->needsRead) {
        LeaseStep step = makeWrite(state.unconfirmedWrite->row, state.rowVersion);
        step.isRepeated = true;
        return step;
    }
    if (state.isHeld && !state.unconfirmedWrite) {
        return makeWrite(renewedRow(state, ++state.lastSequence), state.rowVersion);
    }
    const bool isFreshRead = std::exchange(state.hasFreshRead, false);
    if (isFreshRead && !state.isHeld && canTakeOver(state, options, now.monotonic)) {
        return makeWrite(takeoverRow(state, ++state.lastSequence), state.observedRow->version);
    }
    return {.kind = LeaseStepKind::Read};
}

void onRead(LeaseState &state, const LeaseOptions &options, const LeaseReadResult &result, const LeaseTime &now)
{
    switch (result.status) {
    case LeaseReadStatus::Unavailable:
        state.nextAccessAt = now.monotonic + (state.isHeld ? options.retryInterval : options.observeInterval);
        return;
    case LeaseReadStatus::Absent:
        markLost(state);
        // Version 0 represents the absent row.
        state.observedRow = LeaseState::ObservedRow {};
        state.hasFreshRead = true;
        state.nextAccessAt = now.monotonic;
        return;
    case LeaseReadStatus::Found:
        onStoredRow(state, options, result.stored, now);
        return;
    }
}

void onWrite(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, const LeaseWriteResult &result, const LeaseTime &sentAt, const LeaseTime &now)
{
    if (row.holder.empty()) {
        onReleaseWritten(state, options, row, result, now);
        return;
    }
    switch (result.status) {
    case LeaseWriteStatus::Applied:
        markHeld(state, options, row, result.version, sentAt, now);
        return;
    case LeaseWriteStatus::NotApplied:
        state.nextAccessAt = now.monotonic + options.retryInterval;
        return;
    case LeaseWriteStatus::Unknown:
        if (!state.unconfirmedWrite || state.unconfirmedWrite->row != row) {
            state.unconfirmedWrite = LeaseState::UnconfirmedWrite {.row = row, .firstSentAt = sentAt};
        }
        state.unconfirmedWrite->needsRead = true;
        state.nextAccessAt = now.monotonic;
        return;
    case LeaseWriteStatus::Conflict:
        onConflict(state, options, result, now);
        return;
    }
}

void onHigherFencing(LeaseState &state, std::uint64_t receivedFencing, const LeaseTime &now)
{
    if (receivedFencing < state.fencing) {
        return;
    }
    state.minimumFencing = std::max(state.minimumFencing, receivedFencing + 1);
    state.needsConfirmation = true;
    state.nextAccessAt = now.monotonic;
}

void onHolderGone(LeaseState &state, const LeaseOptions &options, const LeaseTime &now)
{
    if (!state.isHeld) {
        state.nextAccessAt = std::min(state.nextAccessAt, now.monotonic + options.retryInterval);
    }
}

void beginRelease(LeaseState &state, const LeaseTime &now)
{
    if (!state.isHeld) {
        return;
    }
    state.isHeld = false;
    state.isReleasing = true;
    state.unconfirmedWrite.reset();
    state.nextAccessAt = now.monotonic;
}

bool mayActUnderLease(const LeaseState &state, const LeaseOptions &options, const LeaseTime &now)
{
    const LeaseTime requiredUntil = now + options.margin;
    const bool hasMargin = requiredUntil.monotonic <= state.validUntil.monotonic && requiredUntil.boot <= state.validUntil.boot;
    return state.isHeld && !state.needsConfirmation && now.monotonic >= state.actsFrom && hasMargin;
}

LeaseRow releasedRow(const LeaseState &state)
{
    LeaseRow row = state.row;
    row.holder.clear();
    row.fencing = state.fencing;
    row.releasedBy = state.self;
    return row;
}

std::optional<DutyPermission> mayAct(const LeaseState &state, const LeaseOptions &options, const LeaseTime &now)
{
    if (!mayActUnderLease(state, options, now)) {
        return std::nullopt;
    }
    return DutyPermission {.fence = state.fencing, .sendBefore = state.validUntil + (-options.margin)};
}

} // namespace mulberrywall::duties
