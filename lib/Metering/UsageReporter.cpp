#include "mulberrywall/Metering/UsageReporter.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace mulberrywall::metering
{

UsageReporter::UsageReporter(boost::asio::io_context &context, UsageReporterDependencies dependencies, const UsageReporterOptions &options)
    : strand_(boost::asio::make_strand(context)),
      timer_(strand_),
      dependencies_(std::move(dependencies)),
      options_(options),
      queue_(options.queue)
{
}

void UsageReporter::becomeHolder()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->queue_.end();
        self->isHolder_ = true;
        ++self->tenure_;
        self->load();
    });
}

void UsageReporter::loseLease()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->queue_.end();
        self->isHolder_ = false;
        ++self->tenure_;
        self->timer_.cancel();
        self->recordPending();
    });
}

template <typename Function>
void UsageReporter::postInTenure(std::uint64_t tenure, Function function)
{
    boost::asio::post(strand_, [self = shared_from_this(), tenure, function = std::move(function)] {
        if (self->isHolder_ && tenure == self->tenure_) {
            support::logExceptions("report usage", function);
        }
    });
}

TrueTime UsageReporter::now() const
{
    return dependencies_.counter->now(support::BootClock::now());
}

void UsageReporter::load()
{
    dependencies_.store.load([self = shared_from_this(), tenure = tenure_](std::optional<StoredReports> stored) {
        self->postInTenure(tenure, [self, stored = std::move(stored)] { self->onLoaded(stored); });
    });
}

void UsageReporter::onLoaded(const std::optional<StoredReports> &stored)
{
    if (!stored) {
        timer_.expires_after(options_.loadRetryInterval);
        timer_.async_wait([self = shared_from_this(), tenure = tenure_](const boost::system::error_code &error) {
            if (!error && tenure == self->tenure_) {
                self->load();
            }
        });
        return;
    }
    queue_.begin(*stored);
    recordPending();
    support::log(support::Severity::Info,
        "reporting usage",
        {{"storedReports", std::uint64_t {stored->reports.size()}}, {"highestWindow", stored->highestWindow.value_or(0)}});
    tick();
}

void UsageReporter::tick()
{
    support::logExceptions("report usage", [this] { step(); });
    timer_.expires_after(options_.interval);
    timer_.async_wait([self = shared_from_this(), tenure = tenure_](const boost::system::error_code &error) {
        if (!error && tenure == self->tenure_) {
            self->tick();
        }
    });
}

void UsageReporter::step()
{
    if (!dependencies_.counter->isSettled(support::BootClock::now())) {
        return;
    }
    const TrueTime time = now();
    assemble(time);
    store(time);
    send(time);
}

void UsageReporter::assemble(TrueTime now)
{
    const AssembledReports assembled = dependencies_.ledger->assemble(dependencies_.liveRouters(), queue_.highestDecided(), now, options_.queue.schedule);
    for (const UsageReport &report : assembled.reports) {
        queue_.add(report);
    }
    if (assembled.routersMissing > 0) {
        support::log(support::Severity::Warning,
            "usage report lacks counts of routers that did not send them in time",
            {{"window", assembled.reports.back().window}, {"routers", std::uint64_t {assembled.routersMissing}}});
    }
    if (assembled.missed > 0) {
        support::log(support::Severity::Warning,
            "usage windows missed; no live router has counted them",
            {{"windows", assembled.missed}, {"before", assembled.reports.front().window}});
        recordWindows("missed", assembled.missed);
    }
    for (const WindowNumber window : queue_.dropExcess()) {
        support::log(support::Severity::Error, "usage report given up; the control API has not accepted it for too long", {{"window", window}});
        recordWindows("missed", 1);
    }
}

void UsageReporter::store(TrueTime now)
{
    const auto batch = queue_.takeBatch(now);
    if (!batch) {
        return;
    }
    dependencies_.store.store(*batch, [self = shared_from_this(), tenure = tenure_, batch = *batch](StoreOutcome outcome) {
        self->postInTenure(tenure, [self, batch, outcome] { self->onStored(batch, outcome); });
    });
}

static std::string_view toString(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Stored:
        return "stored";
    case StoreOutcome::NotStored:
        return "not stored";
    case StoreOutcome::Unknown:
        return "unknown";
    }
    return "";
}

void UsageReporter::onStored(const StoreBatch &batch, StoreOutcome outcome)
{
    queue_.onStored(outcome, now());
    recordPending();
    for (const UsageReport &report : batch.put) {
        if (outcome == StoreOutcome::Stored) {
            support::log(support::Severity::Info, "usage report stored", {{"window", report.window}, {"bytes", std::uint64_t {report.body.size()}}});
        } else {
            support::log(support::Severity::Warning,
                "usage report not confirmed by the store; trying again",
                {{"window", report.window}, {"outcome", toString(outcome)}});
        }
    }
    step();
}

void UsageReporter::send(TrueTime now)
{
    const auto call = queue_.takeCall(now);
    if (!call) {
        return;
    }
    if (call->earlierCalls > 0 || call->inherited) {
        support::log(support::Severity::Info,
            "usage report repeated",
            {{"window", call->report.window}, {"earlierCalls", call->earlierCalls}, {"storedByEarlierHolder", call->inherited}});
    }
    dependencies_.send(call->report, [self = shared_from_this(), tenure = tenure_, call = *call](SendOutcome outcome) {
        self->postInTenure(tenure, [self, call, outcome] { self->onSent(call, outcome); });
    });
}

static std::string_view toString(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Accepted:
        return "accepted";
    case SendOutcome::Rejected:
        return "rejected";
    case SendOutcome::Unknown:
        return "no response";
    case SendOutcome::NotPermitted:
        return "not permitted";
    }
    return "";
}

void UsageReporter::onSent(const ReportCall &call, SendOutcome outcome)
{
    const TrueTime time = now();
    const auto end = queue_.onSent(outcome, time);
    recordPending();
    if (!end) {
        const auto severity = outcome == SendOutcome::NotPermitted ? support::Severity::Debug : support::Severity::Warning;
        support::log(severity, "usage report not accepted; trying again", {{"window", call.report.window}, {"outcome", toString(outcome)}});
        return;
    }
    const auto age = time - endOf(end->window, options_.queue.schedule.window);
    support::log(end->late ? support::Severity::Warning : support::Severity::Info,
        "usage report sent",
        {{"window", end->window}, {"ageMs", std::int64_t {age.count()}}, {"calls", call.earlierCalls + 1}, {"late", end->late}});
    recordWindows(end->late ? "late" : "reported", 1);
    step();
}

void UsageReporter::recordPending() const
{
    dependencies_.metrics->setGauge("mulberrywall_usage_reports_pending", static_cast<double>(queue_.unacceptedReports()));
}

void UsageReporter::recordWindows(std::string_view result, std::uint64_t windows) const
{
    dependencies_.metrics->increment("mulberrywall_usage_windows_total", {{"result", result}}, windows);
}

} // namespace mulberrywall::metering
