#include "mulberrywall/Router/StoreFeed.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace mulberrywall::router
{

StoreFeed::StoreFeed(boost::asio::io_context &context, StoreFeedOptions options, StoreFeedSources sources, StoreFeedHandlers handlers)
    : context_(context),
      strand_(boost::asio::make_strand(context)),
      lapseTimer_(strand_),
      options_(options),
      sources_(std::move(sources)),
      handlers_(std::move(handlers))
{
}

void StoreFeed::start()
{
    const auto self = shared_from_this();
    configurationFollower_ = std::make_shared<TableFollower>(context_,
        TableFollowerOptions {.name = "configuration", .wait = options_.configurationWait},
        sources_.configuration,
        TableFollowerHandlers {.onRows =
                                   [self](RowsKind, const std::vector<TableRow> &rows, support::BootClock::time_point sentAt) {
                                       boost::asio::dispatch(self->strand_, [self, rows, sentAt] { self->onConfigurationRows(rows, sentAt); });
                                   },
            .onRegained =
                [] {
                }});
    endpointFollower_ = std::make_shared<TableFollower>(context_,
        TableFollowerOptions {.name = "endpoints", .wait = options_.endpointsWait},
        sources_.endpoints,
        TableFollowerHandlers {.onRows =
                                   [self](RowsKind kind, const std::vector<TableRow> &rows, support::BootClock::time_point) {
                                       boost::asio::dispatch(self->strand_, [self, kind, rows] { self->onEndpointRows(kind, rows); });
                                   },
            .onRegained =
                [self] {
                    boost::asio::dispatch(self->strand_, [self] { noteStoreRegained(self->registry_, std::chrono::steady_clock::now()); });
                }});
    configurationFollower_->start();
    endpointFollower_->start();
}

void StoreFeed::stop()
{
    configurationFollower_->stop();
    endpointFollower_->stop();
    boost::asio::dispatch(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->lapseTimer_.cancel();
    });
}

void StoreFeed::setMode(FollowMode mode)
{
    configurationFollower_->setMode(mode);
    endpointFollower_->setMode(mode);
}

void StoreFeed::recordPeer(const permits::StoreFreshness &peer, support::BootClock::time_point heardAt)
{
    if (peer.configuration) {
        configurationFollower_->recordPeer(*peer.configuration, heardAt);
    }
    if (peer.endpoints) {
        endpointFollower_->recordPeer(*peer.endpoints, heardAt);
    }
}

permits::StoreFreshness StoreFeed::progress() const
{
    return {.configuration = configurationFollower_->progress(), .endpoints = endpointFollower_->progress()};
}

void StoreFeed::onConfigurationRows(const std::vector<TableRow> &rows, support::BootClock::time_point sentAt)
{
    if (stopped_) {
        return;
    }
    for (const TableRow &row : rows) {
        auto read = sources_.readConfiguration(row);
        if (!read) {
            continue;
        }
        if (const auto *problem = std::get_if<RowProblem>(&*read)) {
            support::log(support::Severity::Error, "the configuration cannot be read; the last one stays in force", {{"reason", problem->text}});
            // The lease is not renewed: the last configuration is known to be replaced.
            return;
        }
        auto &configuration = std::get<configuration::SiteConfiguration>(*read);
        configuration.endpoints = published_;
        handlers_.configurationChanged(std::move(configuration));
    }
    handlers_.configurationProven(sentAt);
}

bool StoreFeed::recordRow(const TableRow &row, EndpointRegistry::TimePoint now)
{
    const support::EndpointId id(row.key);
    if (row.deleted) {
        support::log(support::Severity::Info, "endpoint entry removed", {{"endpoint", row.key}});
        return removeEntry(registry_, id, now);
    }
    auto read = sources_.readEndpoint(row);
    if (const auto *problem = std::get_if<RowProblem>(&read)) {
        support::log(support::Severity::Warning, "endpoint entry cannot be read; it names no endpoint", {{"endpoint", row.key}, {"reason", problem->text}});
        return removeEntry(registry_, id, now);
    }
    auto &entry = std::get<RegisteredEndpoint>(read);
    const bool leaving = entry.leaving;
    const std::string address = entry.endpoint.address;
    const bool changed = recordEntry(registry_, std::move(entry));
    if (changed) {
        support::log(support::Severity::Info, "endpoint entry changed", {{"endpoint", row.key}, {"address", address}, {"leaving", leaving}});
    }
    return changed;
}

bool StoreFeed::removeMissing(const std::vector<TableRow> &rows, EndpointRegistry::TimePoint now)
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

void StoreFeed::onEndpointRows(RowsKind kind, const std::vector<TableRow> &rows)
{
    if (stopped_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    bool changed = kind == RowsKind::Whole && removeMissing(rows, now);
    for (const TableRow &row : rows) {
        changed = recordRow(row, now) || changed;
    }
    if (changed) {
        publishEndpoints();
    }
    armLapse();
}

void StoreFeed::publishEndpoints()
{
    std::vector<configuration::Endpoint> usable = usableEndpoints(registry_);
    if (usable == published_) {
        return;
    }
    published_ = std::move(usable);
    handlers_.endpointsChanged(published_);
}

void StoreFeed::armLapse()
{
    const auto next = nextLapse(registry_);
    if (!next) {
        return;
    }
    lapseTimer_.expires_at(*next);
    lapseTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->stopped_) {
            return;
        }
        if (removeLapsed(self->registry_, std::chrono::steady_clock::now())) {
            self->publishEndpoints();
        }
        self->armLapse();
    });
}

} // namespace mulberrywall::router
