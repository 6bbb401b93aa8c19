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

/// Starts or extends the tenure with a row that is known to be this process's.
void hold(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, std::uint64_t version, TimePoint sentAt, TimePoint now)
{
    if (!state.isHeld) {
        state.ordersFrom = now + options.orderTimeToLive;
    }
    state.isHeld = true;
    state.needsConfirmation = false;
    state.fencing = row.fencing;
    state.rowVersion = version;
    state.validUntil = std::max(state.validUntil, sentAt + options.duration);
    state.nextAt = sentAt + options.renewInterval;
    state.seen.reset();
    state.unsettled.reset();
}

void lose(LeaseState &state)
{
    state.isHeld = false;
    state.unsettled.reset();
}

/// Returns true when the row may be taken over: it was released, is a former one of this process, or has run out.
bool isFree(const LeaseState &state, const LeaseOptions &options, TimePoint now)
{
    const LeaseState::Seen &seen = *state.seen;
    return seen.row.holder.empty() || seen.row.holder == state.self || now - seen.since >= options.duration;
}

/// Takes a row that the table has into account, from a read or from a conflict.
void onRow(LeaseState &state, const LeaseOptions &options, const backingservices::Row &stored, TimePoint now)
{
    const LeaseRow row = parseLease(stored.value).value_or(LeaseRow {.holder = "unreadable", .fencing = state.minimumFencing});
    state.minimumFencing = std::max(state.minimumFencing, row.fencing);
    const bool isCurrent = state.isHeld && row.holder == state.self && stored.version == state.rowVersion;
    if (isCurrent) {
        // An unsettled renewal is not in effect yet; it is sent again and its first attempt still counts.
        if (state.unsettled) {
            state.unsettled->needsRead = false;
        }
        state.nextAt = now;
        return;
    }
    const bool isUnsettled = state.unsettled && row.holder == state.self && row.fencing == state.unsettled->fencing;
    if (isUnsettled) {
        hold(state, options, row, stored.version, state.unsettled->firstSentAt, now);
        return;
    }
    lose(state);
    const bool isNew = !state.seen || state.seen->version != stored.version;
    if (isNew) {
        state.seen = LeaseState::Seen {.version = stored.version, .row = row, .since = now};
    }
    state.hasFreshRead = true;
    state.nextAt = isFree(state, options, now) ? now : now + options.pollInterval;
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
        // An unsettled renewal may still turn out to be in effect, but the time it gives has run out as well.
        lose(state);
        state.nextAt = now;
    }
    if (now < state.nextAt) {
        const TimePoint until = state.isHeld ? std::min(state.nextAt, state.validUntil) : state.nextAt;
        return {.kind = LeaseStepKind::Wait, .until = until};
    }
    if (state.isHeld && !(state.unsettled && state.unsettled->needsRead)) {
        return makeWrite(state, state.fencing, WriteOperationKind::PutIfVersion, state.rowVersion);
    }
    const bool isFreshRead = std::exchange(state.hasFreshRead, false);
    if (isFreshRead && !state.isHeld && isFree(state, options, now)) {
        const bool isAbsent = state.seen->version == 0;
        return makeWrite(
            state, state.seen->row.fencing + 1, isAbsent ? WriteOperationKind::InsertIfAbsent : WriteOperationKind::PutIfVersion, state.seen->version);
    }
    return {.kind = LeaseStepKind::Read};
}

void onRead(LeaseState &state, const LeaseOptions &options, const backingservices::ReadResult &result, TimePoint now)
{
    switch (result.status) {
    case ReadStatus::Unavailable:
        state.nextAt = now + options.pollInterval;
        return;
    case ReadStatus::Absent:
        lose(state);
        // Version 0 stands for the absent row.
        state.seen = LeaseState::Seen {};
        state.hasFreshRead = true;
        state.nextAt = now;
        return;
    case ReadStatus::Found:
        onRow(state, options, result.row, now);
        return;
    }
}

void onWrite(LeaseState &state, const LeaseOptions &options, const LeaseRow &row, const backingservices::CommitResult &result, TimePoint sentAt, TimePoint now)
{
    switch (result.status) {
    case CommitStatus::Applied:
        hold(state, options, row, result.version, sentAt, now);
        return;
    case CommitStatus::NotApplied:
        state.nextAt = now + options.pollInterval;
        return;
    case CommitStatus::Unknown:
        if (!state.unsettled || state.unsettled->fencing != row.fencing) {
            state.unsettled = LeaseState::Unsettled {.fencing = row.fencing, .firstSentAt = sentAt};
        }
        state.unsettled->needsRead = true;
        state.nextAt = now;
        return;
    case CommitStatus::Conflict:
        if (!result.conflicts.empty() && result.conflicts.front().current) {
            onRow(state, options, *result.conflicts.front().current, now);
            return;
        }
        lose(state);
        state.nextAt = now + options.pollInterval;
        return;
    }
}

bool maySendOrder(const LeaseState &state, const LeaseOptions &options, TimePoint now)
{
    return state.isHeld && !state.needsConfirmation && now >= state.ordersFrom && now + options.margin <= state.validUntil;
}

void onHigherFencing(LeaseState &state, std::uint64_t seenByEngine, TimePoint now)
{
    if (seenByEngine < state.fencing) {
        return;
    }
    state.minimumFencing = std::max(state.minimumFencing, seenByEngine + 1);
    state.needsConfirmation = true;
    state.nextAt = now;
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
