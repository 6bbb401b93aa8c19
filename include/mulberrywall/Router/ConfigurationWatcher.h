#pragma once

#include "mulberrywall/Configuration/Revision.h"
#include "mulberrywall/Permits/PeerRpc.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace mulberrywall::router
{

using RevisionPtr = std::shared_ptr<const configuration::Revision>;

/// Functions that fetch revisions. Each passed handler is called once, from any worker thread.
struct ConfigurationSources
{
    /// Fetches the number of the latest revision: nothing while the platform is unavailable, 0 if no
    /// revision was ever accepted. May be empty.
    std::function<void(std::function<void(std::optional<std::uint64_t>)>)> fetchHead;
    /// Fetches a revision, as a delta if the cached one is its predecessor. The handler gets a null
    /// pointer if the platform does not have the revision or does not respond. May be empty.
    std::function<void(std::uint64_t revision, RevisionPtr cachedRevision, std::function<void(RevisionPtr)>)> fetchRevision;
    /// Fetches the revision of a peer whose revision is at least the given one. May be empty.
    std::function<void(std::uint64_t minimumRevision, std::function<void(std::optional<permits::ConfigurationDocument>)>)> fetchFromPeers;
    /// Returns the number of routers in this data centre, including this one. May be empty.
    std::function<std::size_t()> countRouters;
};

struct ConfigurationWatcherOptions
{
    /// Poll interval of each router in a data centre with up to routersPerInterval routers. With more
    /// routers it grows in proportion, so that the read rate of the data centre stays constant.
    std::chrono::milliseconds pollInterval {1'000};
    std::size_t routersPerInterval = 4;
    /// Upper bound of the poll interval. Gossip takes the rest of the 8 s within which a change must
    /// reach every router.
    std::chrono::milliseconds maximumPollInterval {5'000};
    std::chrono::milliseconds retryInterval {500};
};

/// Polls for accepted revisions and calls a handler for each one that is higher than all before.
/// Thread-safe.
class ConfigurationWatcher : public std::enable_shared_from_this<ConfigurationWatcher>
{
public:
    using RevisionHandler = std::function<void(RevisionPtr)>;

    ConfigurationWatcher(boost::asio::io_context &context, ConfigurationWatcherOptions options, ConfigurationSources sources, RevisionHandler onRevision);

    // Commands
    void start();
    void stop();
    /// Fetches the revision that another router has announced, unless this router already has it.
    void revisionAnnounced(std::uint64_t revision);

    // Queries
    /// Returns the highest revision as a document for a peer, or nothing if it is lower than the given
    /// one.
    [[nodiscard]] std::optional<permits::ConfigurationDocument> makeDocument(std::uint64_t minimumRevision) const;

private:
    void poll();
    void pollLater();
    void onHead(std::optional<std::uint64_t> head);
    void requestRevision(std::uint64_t revision);
    void fetchFromPlatform(std::uint64_t revision);
    void fetchFromPeers(std::uint64_t minimumRevision);
    void onFetchEnded(const RevisionPtr &revision);
    void acceptRevision(const RevisionPtr &revision);
    [[nodiscard]] RevisionPtr latest() const;
    [[nodiscard]] std::uint64_t latestRevision() const;
    [[nodiscard]] std::chrono::milliseconds currentPollInterval() const;

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    ConfigurationWatcherOptions options_;
    ConfigurationSources sources_;
    RevisionHandler onRevision_;
    boost::asio::steady_timer pollTimer_;
    boost::asio::steady_timer retryTimer_;
    /// Highest revision that is known to exist. Accessed only on the strand, like the next two members.
    std::uint64_t targetRevision_ = 0;
    bool fetching_ = false;
    bool stopped_ = false;
    mutable std::mutex mutex_;
    RevisionPtr latest_;
    /// Protects document_; never locked together with mutex_.
    mutable std::mutex documentMutex_;
    /// Cached because a document has about 1 MB at the target size and many peers request the same one
    /// after a change.
    mutable permits::ConfigurationDocument document_;
};

} // namespace mulberrywall::router
