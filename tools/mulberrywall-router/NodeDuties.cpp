#include "NodeDuties.h"

#include "mulberrywall/Support/Log.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

namespace
{

constexpr std::string_view leaseKey = "duty-lease";

/// Limits on the time of a call to the store. Shorter for short leases, so that a renewal can be repeated before the margin begins.
constexpr std::chrono::milliseconds maximumConnectTime {500};
constexpr std::chrono::milliseconds maximumResponseTime {700};
constexpr int connectTimesPerLease = 6;
constexpr int responseTimesPerLease = 4;

/// Calls to the control API end within this share of the lease, which is less than its margin of a third.
constexpr int callTimesPerLease = 4;

/// The members become known within this share of a lease after the start; before, each router is the only candidate that it knows.
constexpr int startDelaysPerLease = 2;

/// A holder that is no longer a candidate hands over after this many lease durations, since the members may change back.
constexpr int leasesUntilHandOver = 2;

duties::LeaseReadResult toReadResult(const platform::RowResult &result)
{
    switch (result.status) {
    case platform::RowStatus::Found:
        return {.status = duties::LeaseReadStatus::Found, .stored = {.version = result.row.version, .text = result.row.value}};
    case platform::RowStatus::Absent:
        return {.status = duties::LeaseReadStatus::Absent};
    case platform::RowStatus::Unavailable:
        return {};
    }
    return {};
}

duties::LeaseWriteStatus toWriteStatus(platform::TransactionStatus status)
{
    switch (status) {
    case platform::TransactionStatus::Applied:
        return duties::LeaseWriteStatus::Applied;
    case platform::TransactionStatus::Conflict:
        return duties::LeaseWriteStatus::Conflict;
    case platform::TransactionStatus::NotApplied:
        return duties::LeaseWriteStatus::NotApplied;
    case platform::TransactionStatus::Unknown:
        return duties::LeaseWriteStatus::Unknown;
    }
    return duties::LeaseWriteStatus::Unknown;
}

duties::LeaseWriteResult toWriteResult(const platform::TransactionResult &result)
{
    duties::LeaseWriteResult converted {.status = toWriteStatus(result.status), .version = result.version};
    const auto lease = std::find_if(result.current.begin(), result.current.end(), [](const platform::VersionedRow &row) { return row.key == leaseKey; });
    if (lease != result.current.end()) {
        converted.current = duties::StoredLease {.version = lease->version, .text = lease->value};
    }
    return converted;
}

platform::RowTransaction makeTransaction(std::string lease, std::uint64_t expectedVersion, std::vector<duties::DutyRow> rows)
{
    platform::RowTransaction transaction {.table = std::string(routerTable),
        .conditions = {{.key = std::string(leaseKey), .version = expectedVersion}},
        .writes = {{.key = std::string(leaseKey), .value = std::move(lease)}}};
    for (duties::DutyRow &row : rows) {
        if (row.value) {
            transaction.writes.push_back({.key = std::move(row.key), .value = std::move(*row.value)});
        } else {
            transaction.removals.push_back(std::move(row.key));
        }
    }
    return transaction;
}

duties::DutyStore makeDutyStore(const std::shared_ptr<platform::StoreClient> &client)
{
    return {.read
        =
            [client](std::function<void(duties::LeaseReadResult)> handler) {
                client->readRow(routerTable, leaseKey, [handler = std::move(handler)](const platform::RowResult &result) { handler(toReadResult(result)); });
            },
        .write =
            [client](
                std::string lease, std::uint64_t expectedVersion, std::vector<duties::DutyRow> rows, std::function<void(duties::LeaseWriteResult)> handler) {
                client->commit(makeTransaction(std::move(lease), expectedVersion, std::move(rows)),
                    [handler = std::move(handler)](const platform::TransactionResult &result) { handler(toWriteResult(result)); });
            }};
}

platform::ControlClient::Observer makeCallObserver(const std::shared_ptr<duties::DutyHolder> &holder, support::MetricsRegistry &metrics)
{
    return [holder, &metrics](std::string_view path, const platform::ControlResult &result) {
        if (result.reach != platform::ControlReach::NotTried) {
            holder->recordCall(result.reach == platform::ControlReach::Answered ? duties::CallOutcome::Answered : duties::CallOutcome::Unanswered);
        }
        metrics.increment("mulberrywall_duty_calls_total", {{"path", path}, {"result", toString(result.status)}});
        if (result.status == platform::ControlStatus::Rejected || result.status == platform::ControlStatus::Unknown) {
            support::log(support::Severity::Warning,
                "a call to the control API was not accepted",
                {{"path", path}, {"result", toString(result.status)}, {"status", result.httpStatus}, {"reason", result.reason}});
        }
    };
}

} // namespace

bool hasDuty(const platform::NodeSettings &settings, std::string_view name)
{
    return settings.control && std::find(settings.control->duties.begin(), settings.control->duties.end(), name) != settings.control->duties.end();
}

std::optional<NodeDuties> makeNodeDuties(boost::asio::io_context &context, const platform::NodeSettings &settings, support::MetricsRegistry &metrics)
{
    if (!settings.control || settings.control->duties.empty()) {
        return std::nullopt;
    }
    const std::chrono::milliseconds lease = settings.dutyBounds.leaseDuration;
    NodeDuties parts;
    parts.store = std::make_shared<platform::StoreClient>(context,
        platform::StoreClientOptions {.address = settings.store,
            .connectTimeout = std::min(maximumConnectTime, lease / connectTimesPerLease),
            .responseTimeout = std::min(maximumResponseTime, lease / responseTimesPerLease)});
    parts.runner = duties::DutyRunner::create(context,
        {.instance = settings.instance,
            .lease = duties::makeLeaseOptions(lease),
            .startDelay = lease / startDelaysPerLease,
            .handOverDelay = lease * leasesUntilHandOver},
        makeDutyStore(parts.store),
        metrics);
    parts.control = std::make_shared<platform::ControlClient>(context,
        platform::ControlClientOptions {.address = settings.control->address, .instance = settings.instance, .timeout = lease / callTimesPerLease},
        makeCallObserver(parts.runner->holder(), metrics));
    parts.runner->addTask({.name = "calls",
        .begin = [](std::uint64_t) {},
        .end =
            [control = parts.control] {
                control->cancelCalls();
            }});
    return parts;
}

} // namespace mulberrywall::router
