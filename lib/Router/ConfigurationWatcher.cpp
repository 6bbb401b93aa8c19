#include "mulberrywall/Router/ConfigurationWatcher.h"

#include "mulberrywall/Support/Error.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

ConfigurationWatcher::ConfigurationWatcher(
    boost::asio::io_context &context, ConfigurationWatcherOptions options, ConfigurationSources sources, RevisionHandler onRevision)
    : strand_(boost::asio::make_strand(context)),
      options_(options),
      sources_(std::move(sources)),
      onRevision_(std::move(onRevision)),
      pollTimer_(strand_),
      retryTimer_(strand_)
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
        self->pollTimer_.cancel();
        self->retryTimer_.cancel();
    });
}

void ConfigurationWatcher::revisionAnnounced(std::uint64_t revision)
{
    boost::asio::post(strand_, [self = shared_from_this(), revision] { self->requestRevision(revision); });
}

std::optional<permits::ConfigurationDocument> ConfigurationWatcher::makeDocument(std::uint64_t minimumRevision) const
{
    const RevisionPtr revision = latest();
    if (!revision || revision->number < minimumRevision) {
        return std::nullopt;
    }
    const std::scoped_lock lock(documentMutex_);
    if (document_.revision < revision->number) {
        document_ = {.revision = revision->number, .json = configuration::toJson(*revision)};
    }
    return document_;
}

RevisionPtr ConfigurationWatcher::latest() const
{
    const std::scoped_lock lock(mutex_);
    return latest_;
}

std::uint64_t ConfigurationWatcher::latestRevision() const
{
    const RevisionPtr revision = latest();
    return revision ? revision->number : 0;
}

std::chrono::milliseconds ConfigurationWatcher::currentPollInterval() const
{
    const std::size_t routers = sources_.countRouters ? sources_.countRouters() : 1;
    const auto factor = static_cast<std::int64_t>((routers + options_.routersPerInterval - 1) / options_.routersPerInterval);
    return std::min(options_.maximumPollInterval, options_.pollInterval * std::max<std::int64_t>(1, factor));
}

void ConfigurationWatcher::poll()
{
    if (stopped_) {
        return;
    }
    if (!sources_.fetchHead) {
        onHead(std::nullopt);
        return;
    }
    sources_.fetchHead(
        [self = shared_from_this()](std::optional<std::uint64_t> head) { boost::asio::post(self->strand_, [self, head] { self->onHead(head); }); });
}

void ConfigurationWatcher::onHead(std::optional<std::uint64_t> head)
{
    if (head) {
        requestRevision(*head);
    } else if (latestRevision() == 0 && !fetching_) {
        // While the platform is unavailable, a router that has just started fetches the highest
        // revision of its peers.
        fetchFromPeers(1);
    }
    pollLater();
}

void ConfigurationWatcher::pollLater()
{
    pollTimer_.expires_after(currentPollInterval());
    pollTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->poll();
        }
    });
}

void ConfigurationWatcher::requestRevision(std::uint64_t revision)
{
    targetRevision_ = std::max(targetRevision_, revision);
    if (!fetching_ && !stopped_ && targetRevision_ > latestRevision()) {
        fetchFromPlatform(targetRevision_);
    }
}

/// Returns a null pointer for a document that this release cannot parse.
static RevisionPtr parseDocument(const permits::ConfigurationDocument &document)
{
    return support::leaf::try_handle_all(
        [&]() -> support::Result<RevisionPtr> {
            BOOST_LEAF_AUTO(parsed, configuration::revisionFromJson(document.json));
            return std::make_shared<const configuration::Revision>(std::move(parsed));
        },
        [&](const support::ErrorMessage &message) -> RevisionPtr {
            support::log(support::Severity::Error,
                "a peer sent an invalid configuration; update the older of the two routers",
                {{"revision", document.revision}, {"reason", message.text}});
            return nullptr;
        },
        []() -> RevisionPtr { return nullptr; });
}

/// Queries the platform before the peers, because the platform has a small delta while a peer sends the
/// whole document.
void ConfigurationWatcher::fetchFromPlatform(std::uint64_t revision)
{
    fetching_ = true;
    if (!sources_.fetchRevision) {
        fetchFromPeers(revision);
        return;
    }
    sources_.fetchRevision(revision, latest(), [self = shared_from_this(), revision](const RevisionPtr &fetched) {
        boost::asio::post(self->strand_, [self, revision, fetched] {
            if (fetched) {
                self->onFetchEnded(fetched);
                return;
            }
            self->fetchFromPeers(revision);
        });
    });
}

void ConfigurationWatcher::fetchFromPeers(std::uint64_t minimumRevision)
{
    fetching_ = true;
    if (!sources_.fetchFromPeers) {
        onFetchEnded(nullptr);
        return;
    }
    sources_.fetchFromPeers(minimumRevision, [self = shared_from_this()](const std::optional<permits::ConfigurationDocument> &document) {
        const RevisionPtr revision = document ? parseDocument(*document) : nullptr;
        boost::asio::post(self->strand_, [self, revision] { self->onFetchEnded(revision); });
    });
}

void ConfigurationWatcher::onFetchEnded(const RevisionPtr &revision)
{
    fetching_ = false;
    if (revision) {
        acceptRevision(revision);
    }
    if (stopped_ || targetRevision_ <= latestRevision()) {
        return;
    }
    retryTimer_.expires_after(options_.retryInterval);
    retryTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->requestRevision(self->targetRevision_);
        }
    });
}

void ConfigurationWatcher::acceptRevision(const RevisionPtr &revision)
{
    {
        const std::scoped_lock lock(mutex_);
        if (latest_ && revision->number <= latest_->number) {
            return;
        }
        latest_ = revision;
    }
    targetRevision_ = std::max(targetRevision_, revision->number);
    onRevision_(revision);
}

} // namespace mulberrywall::router
