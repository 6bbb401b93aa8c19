#include "mulberrywall/Router/ConfigurationWatcher.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

ConfigurationWatcher::ConfigurationWatcher(
    boost::asio::io_context &context, ConfigurationWatcherOptions options, std::function<void(configuration::SiteConfiguration)> handler)
    : strand_(boost::asio::make_strand(context)),
      options_(std::move(options)),
      handler_(std::move(handler)),
      store_(context.get_executor(), options_.platform),
      timer_(strand_)
{
}

void ConfigurationWatcher::start()
{
    boost::asio::post(strand_, [self = shared_from_this()] { self->poll(); });
}

void ConfigurationWatcher::stop()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
    });
}

void ConfigurationWatcher::setRouterCount(std::size_t routers)
{
    boost::asio::post(strand_, [self = shared_from_this(), routers] { self->routers_ = std::max<std::size_t>(routers, 1); });
}

void ConfigurationWatcher::noteRevision(std::uint64_t revision)
{
    boost::asio::post(strand_, [self = shared_from_this(), revision] { self->fetch(revision); });
}

void ConfigurationWatcher::poll()
{
    if (stopped_) {
        return;
    }
    store_.fetchHead([self = shared_from_this()](const configuration::HeadResult &result) {
        boost::asio::dispatch(self->strand_, [self, result] {
            if (result.status == platform::ReadStatus::Found) {
                self->fetch(result.head.revision);
            }
            self->arm();
        });
    });
}

void ConfigurationWatcher::arm()
{
    if (stopped_) {
        return;
    }
    timer_.expires_after(options_.interval * routers_);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->poll();
        }
    });
}

void ConfigurationWatcher::fetch(std::uint64_t revision)
{
    if (stopped_ || revision <= known_ || revision <= fetching_) {
        return;
    }
    fetching_ = revision;
    store_.fetchRevision(revision, [self = shared_from_this(), revision](const configuration::RevisionResult &result) {
        boost::asio::dispatch(self->strand_, [self, revision, result] { self->onRevision(revision, result); });
    });
}

void ConfigurationWatcher::onRevision(std::uint64_t revision, const configuration::RevisionResult &result)
{
    if (fetching_ == revision) {
        // A failed fetch is repeated when the next poll finds the revision.
        fetching_ = 0;
    }
    if (stopped_ || revision <= known_) {
        return;
    }
    if (result.status != platform::ReadStatus::Found) {
        support::log(support::Severity::Warning, "could not fetch a configuration revision; trying again", {{"revision", revision}, {"reason", result.detail}});
        return;
    }
    known_ = revision;
    const configuration::SiteConfiguration *site = configuration::findSite(*result.revision, options_.dataCentre);
    if (site == nullptr) {
        support::log(support::Severity::Error,
            "the configuration has no site for this data centre; add one or correct --data-centre",
            {{"revision", revision}, {"dataCentre", options_.dataCentre.value()}});
        return;
    }
    handler_(*site);
}

} // namespace mulberrywall::router
