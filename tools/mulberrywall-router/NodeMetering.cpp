#include "NodeMetering.h"

#include "mulberrywall/Duties/Succession.h"
#include "mulberrywall/Metering/ReportRows.h"
#include "mulberrywall/Support/Log.h"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrywall::router
{

namespace
{

/// Name of the value in the lease row that holds the highest window whose report was stored.
constexpr std::string_view highestWindowName = "usageWindow";

duties::DutyWrite toDutyWrite(const metering::StoreBatch &batch)
{
    duties::DutyWrite write;
    for (const metering::UsageReport &report : batch.put) {
        write.rows.push_back({.key = metering::reportRowKey(report.window), .value = report.body});
    }
    for (const metering::WindowNumber window : batch.remove) {
        write.rows.push_back({.key = metering::reportRowKey(window)});
    }
    write.values.emplace(highestWindowName, batch.highestWindow);
    return write;
}

metering::StoreOutcome toStoreOutcome(duties::DutyWriteOutcome outcome)
{
    switch (outcome) {
    case duties::DutyWriteOutcome::Stored:
        return metering::StoreOutcome::Stored;
    case duties::DutyWriteOutcome::LeaseLost:
        return metering::StoreOutcome::Unknown;
    }
    return metering::StoreOutcome::Unknown;
}

metering::SendOutcome toSendOutcome(platform::ControlStatus status)
{
    switch (status) {
    case platform::ControlStatus::Accepted:
        return metering::SendOutcome::Accepted;
    case platform::ControlStatus::Unavailable:
    case platform::ControlStatus::Rejected:
        return metering::SendOutcome::Rejected;
    case platform::ControlStatus::Unknown:
        return metering::SendOutcome::Unknown;
    }
    return metering::SendOutcome::Unknown;
}

metering::StoredReports findReports(std::vector<TableRow> rows, const duties::LeaseValues &values)
{
    metering::StoredReports stored;
    if (const auto highest = values.find(highestWindowName); highest != values.end()) {
        stored.highestWindow = highest->second;
    }
    for (TableRow &row : rows) {
        if (const auto window = metering::windowOfReportRow(row.key)) {
            stored.reports.push_back({.window = *window, .body = std::move(row.value)});
        }
    }
    return stored;
}

metering::ReportStore makeReportStore(const NodeDuties &duties)
{
    const auto holder = duties.runner->holder();
    return {.store =
                [holder](const metering::StoreBatch &batch, std::function<void(metering::StoreOutcome)> handler) {
                    holder->storeUnderLease(
                        toDutyWrite(batch), [handler = std::move(handler)](duties::DutyWriteOutcome outcome) { handler(toStoreOutcome(outcome)); });
                },
        .load =
            [holder, store = duties.store](std::function<void(std::optional<metering::StoredReports>)> handler) {
                store->readTable(routerTable, [holder, handler = std::move(handler)](TableResult table) {
                    if (table.status != TableStatus::Ok) {
                        handler(std::nullopt);
                        return;
                    }
                    handler(findReports(std::move(table.rows), holder->values()));
                });
            }};
}

metering::ReportSender makeReportSender(const NodeDuties &duties)
{
    return
        [holder = duties.runner->holder(), control = duties.control](const metering::UsageReport &report, std::function<void(metering::SendOutcome)> handler) {
            const auto permission = holder->mayAct();
            if (!permission) {
                handler(metering::SendOutcome::NotPermitted);
                return;
            }
            control->reportUsage(
                *permission, report, [handler = std::move(handler)](const platform::ControlResult &result) { handler(toSendOutcome(result.status)); });
        };
}

std::vector<metering::UsagePeer> candidatePeers(const LiveMembers &members)
{
    const std::vector<membership::Member> candidates = duties::dutyCandidates(members.all());
    std::vector<metering::UsagePeer> peers;
    std::transform(candidates.begin(), candidates.end(), std::back_inserter(peers), metering::usagePeerOf);
    return peers;
}

} // namespace

std::shared_ptr<metering::UsageCounter> makeUsageCounter(const platform::NodeSettings &settings)
{
    if (settings.firstPeerPort == 0 || !(hasDuty(settings, meteringDuty) || hasDuty(settings, autoscalingDuty))) {
        return nullptr;
    }
    return std::make_shared<metering::UsageCounter>(
        metering::UsageCounterOptions {.instance = settings.instance, .dataCentre = settings.dataCentre, .window = settings.dutyBounds.usageWindow});
}

NodeMetering::NodeMetering(boost::asio::io_context &context,
    RouterService &service,
    const platform::NodeSettings &settings,
    std::shared_ptr<metering::UsageCounter> counter,
    NodeDuties duties,
    std::shared_ptr<const LiveMembers> members)
    : context_(context),
      service_(service),
      settings_(settings),
      counter_(std::move(counter)),
      duties_(std::move(duties)),
      members_(std::move(members))
{
}

metering::MeteringOptions NodeMetering::makeOptions(const std::string &secret) const
{
    metering::MeteringOptions options;
    options.exchange.listen = {settings_.callerListen.address(), static_cast<std::uint16_t>(settings_.firstPeerPort + metering::usagePortOffset)};
    options.exchange.secret = secret;
    options.reporter.queue.schedule.window = settings_.dutyBounds.usageWindow;
    options.reporter.queue.schedule.late = settings_.dutyBounds.usageLateness;
    return options;
}

metering::MeteringDependencies NodeMetering::makeDependencies() const
{
    return {.candidates = [members = members_] { return candidatePeers(*members); },
        .liveRouters = [members = members_] { return members->instances(); },
        .waiting = [&service = service_] { return service.waitingRequests(); },
        .store = makeReportStore(duties_),
        .send = makeReportSender(duties_),
        .metrics = &service_.metrics()};
}

void NodeMetering::start(const std::string &secret)
{
    try {
        auto started = metering::startMetering(context_, counter_, makeOptions(secret), makeDependencies());
        const std::scoped_lock lock(mutex_);
        metering_ = std::move(started);
        if (isHolder_) {
            metering_->becomeHolder();
        }
    } catch (const boost::system::system_error &error) {
        support::log(support::Severity::Error, "could not start usage metering; check the ports for routers", {{"reason", error.what()}});
    }
}

void NodeMetering::stop()
{
    const std::scoped_lock lock(mutex_);
    if (metering_) {
        metering_->stop();
    }
}

void NodeMetering::setHolder(bool isHolder)
{
    const std::scoped_lock lock(mutex_);
    isHolder_ = isHolder;
    if (!metering_) {
        return;
    }
    if (isHolder) {
        metering_->becomeHolder();
    } else {
        metering_->loseLease();
    }
}

duties::DutyTask NodeMetering::makeTask()
{
    return {.name = std::string(meteringDuty),
        .begin = [self = shared_from_this()](std::uint64_t) { self->setHolder(true); },
        .end =
            [self = shared_from_this()] {
                self->setHolder(false);
            }};
}

std::vector<metering::RouterDemand> NodeMetering::demand() const
{
    const std::scoped_lock lock(mutex_);
    return metering_ ? metering_->demand() : std::vector<metering::RouterDemand>();
}

} // namespace mulberrywall::router
