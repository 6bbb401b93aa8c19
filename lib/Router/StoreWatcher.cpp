#include "mulberrywall/Router/StoreWatcher.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace mulberrywall::router
{

/// Problem of a row whose reader has thrown an exception, which is logged apart.
static const std::string unexpectedException = "unexpected exception";

StoreWatcher::StoreWatcher(boost::asio::io_context &context, StoreWatcherOptions options, StoreWatcherSources sources, StoreWatcherHandlers handlers)
    : context_(context),
      strand_(boost::asio::make_strand(context)),
      expiryTimer_(strand_),
      options_(options),
      sources_(std::move(sources)),
      handlers_(std::move(handlers))
{
}

void StoreWatcher::start()
{
    const auto self = shared_from_this();
    configurationWatcher_ = std::make_shared<TableWatcher>(context_,
        TableWatcherOptions {.name = "configuration", .wait = options_.configurationWait, .startInterval = options_.startInterval},
        sources_.configuration,
        TableWatcherHandlers {.onRows =
                                  [self](RowsKind kind, const std::vector<TableRow> &rows, support::BootClock::time_point sentAt) {
                                      boost::asio::dispatch(self->strand_, [self, kind, rows, sentAt] { self->onConfigurationRows(kind, rows, sentAt); });
                                  },
            .onRecovered =
                [] {
                }});
    endpointWatcher_ = std::make_shared<TableWatcher>(context_,
        TableWatcherOptions {.name = "endpoints",
            .wait = options_.endpointsWait,
            .relayedWait = options_.relayedEndpointsWait,
            .startInterval = options_.startInterval,
            .maximumPeerAge = options_.maximumEndpointsPeerAge},
        sources_.endpoints,
        TableWatcherHandlers {.onRows =
                                  [self](RowsKind kind, const std::vector<TableRow> &rows, support::BootClock::time_point) {
                                      boost::asio::dispatch(self->strand_, [self, kind, rows] { self->onEndpointRows(kind, rows); });
                                  },
            .onRecovered =
                [self] {
                    boost::asio::dispatch(self->strand_, [self] { recordStoreRecovered(self->registry_, std::chrono::steady_clock::now()); });
                }});
    configurationWatcher_->start();
    endpointWatcher_->start();
}

void StoreWatcher::stop()
{
    configurationWatcher_->stop();
    endpointWatcher_->stop();
    boost::asio::dispatch(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->expiryTimer_.cancel();
    });
}

void StoreWatcher::setMode(WatchMode mode)
{
    configurationWatcher_->setMode(mode);
    endpointWatcher_->setMode(mode);
}

void StoreWatcher::recordPeerReport(const permits::StoreReport &peer, support::BootClock::time_point receivedAt)
{
    if (peer.freshness.configuration) {
        configurationWatcher_->recordPeerReport(*peer.freshness.configuration, peer.changes.configuration, receivedAt);
    }
    if (peer.freshness.endpoints) {
        endpointWatcher_->recordPeerReport(*peer.freshness.endpoints, peer.changes.endpoints, receivedAt);
    }
}

permits::StoreFreshness StoreWatcher::freshness() const
{
    return {.configuration = configurationWatcher_->freshness(), .endpoints = endpointWatcher_->freshness()};
}

static std::vector<permits::TableChanges> changesAfter(
    const TableWatcher &watcher, const std::optional<permits::TableFreshness> &peer, std::chrono::milliseconds minimumAge)
{
    return peer ? watcher.changesAfter(peer->version, minimumAge) : std::vector<permits::TableChanges>();
}

permits::StoreChanges StoreWatcher::changesAfter(const permits::StoreFreshness &peer, std::chrono::milliseconds minimumAge) const
{
    return {.configuration = router::changesAfter(*configurationWatcher_, peer.configuration, minimumAge),
        .endpoints = router::changesAfter(*endpointWatcher_, peer.endpoints, minimumAge)};
}

void StoreWatcher::recordConfigurationProblem(const RowProblem &problem)
{
    configurationReadable_ = false;
    support::log(support::Severity::Error, "the configuration cannot be parsed; the last one stays in force", {{"reason", problem.text}});
}

void StoreWatcher::onConfigurationRows(RowsKind kind, const std::vector<TableRow> &rows, support::BootClock::time_point sentAt)
{
    if (stopped_) {
        return;
    }
    bool isListed = false;
    for (const TableRow &row : rows) {
        std::optional<std::variant<configuration::SiteConfiguration, RowProblem>> parsed = RowProblem {unexpectedException};
        support::logExceptions("read configuration", [&] { parsed = sources_.readConfiguration(row); });
        if (!parsed) {
            continue;
        }
        isListed = true;
        if (const auto *problem = std::get_if<RowProblem>(&*parsed)) {
            recordConfigurationProblem(*problem);
            continue;
        }
        configurationReadable_ = true;
        hasConfiguration_ = true;
        auto &configuration = std::get<configuration::SiteConfiguration>(*parsed);
        configuration.endpoints = published_;
        handlers_.configurationChanged(std::move(configuration));
    }
    if (kind == RowsKind::Snapshot && !isListed && hasConfiguration_) {
        recordConfigurationProblem({"the whole table has no row with it"});
    }
    // After a row that could not be parsed, or its removal, the last configuration is known to be replaced, and later responses
    // without changes do not confirm it either.
    if (configurationReadable_) {
        handlers_.configurationConfirmed(sentAt);
    }
}

bool StoreWatcher::recordRow(const TableRow &row, EndpointRegistry::TimePoint now)
{
    const support::EndpointId id(row.key);
    if (row.deleted) {
        support::log(support::Severity::Info, "endpoint entry removed", {{"endpoint", row.key}});
        return removeEntry(registry_, id, now);
    }
    std::variant<RegisteredEndpoint, RowProblem> parsed = RowProblem {unexpectedException};
    support::logExceptions("read endpoint entry", [&] { parsed = sources_.readEndpoint(row); });
    if (const auto *problem = std::get_if<RowProblem>(&parsed)) {
        support::log(support::Severity::Warning, "endpoint entry cannot be parsed; treating it as removed", {{"endpoint", row.key}, {"reason", problem->text}});
        return removeEntry(registry_, id, now);
    }
    auto &entry = std::get<RegisteredEndpoint>(parsed);
    const bool leaving = entry.leaving;
    const std::string address = entry.endpoint.address;
    const bool changed = recordEntry(registry_, std::move(entry));
    if (changed) {
        support::log(support::Severity::Info, "endpoint entry changed", {{"endpoint", row.key}, {"address", address}, {"leaving", leaving}});
    }
    return changed;
}

bool StoreWatcher::removeMissing(const std::vector<TableRow> &rows, EndpointRegistry::TimePoint now)
{
    std::set<support::EndpointId> listed;
    for (const TableRow &row : rows) {
        listed.emplace(row.key);
    }
    std::vector<support::EndpointId> missing;
    for (const auto &[id, entry] : registry_.entries) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    bool changed = false;
    for (const support::EndpointId &id : missing) {
        support::log(support::Severity::Info, "endpoint entry is missing", {{"endpoint", id.value()}});
        changed = removeEntry(registry_, id, now) || changed;
    }
    return changed;
}

void StoreWatcher::onEndpointRows(RowsKind kind, const std::vector<TableRow> &rows)
{
    if (stopped_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    bool changed = kind == RowsKind::Snapshot && removeMissing(rows, now);
    for (const TableRow &row : rows) {
        changed = recordRow(row, now) || changed;
    }
    if (changed) {
        publishEndpoints();
    }
    if (changed || kind == RowsKind::Snapshot) {
        publishRegistry();
    }
    armExpiryTimer();
}

void StoreWatcher::publishRegistry()
{
    if (handlers_.registryChanged) {
        handlers_.registryChanged(registeredEndpoints(registry_));
    }
}

void StoreWatcher::publishEndpoints()
{
    std::vector<configuration::Endpoint> usable = usableEndpoints(registry_);
    if (usable == published_) {
        return;
    }
    published_ = std::move(usable);
    handlers_.endpointsChanged(published_);
}

void StoreWatcher::armExpiryTimer()
{
    const auto next = nextExpiry(registry_);
    if (!next) {
        return;
    }
    expiryTimer_.expires_at(*next);
    expiryTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->stopped_) {
            return;
        }
        if (removeExpired(self->registry_, std::chrono::steady_clock::now())) {
            self->publishEndpoints();
            self->publishRegistry();
        }
        self->armExpiryTimer();
    });
}

} // namespace mulberrywall::router
