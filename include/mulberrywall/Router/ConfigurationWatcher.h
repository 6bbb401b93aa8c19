#pragma once

#include "mulberrywall/Configuration/Revision.h"
#include "mulberrywall/Permits/PeerNetwork.h"

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

/// Where revisions come from. Each handler is called once, from any worker thread.
struct ConfigurationSources
{
    /// Gives nothing while the platform is unavailable, and 0 when no revision was ever accepted. May be empty.
    std::function<void(std::function<void(std::optional<std::uint64_t>)>)> fetchHead;
    /// Reads a revision, as a delta when the known one is its predecessor. Gives a null pointer when the platform does not
    /// have it or does not answer. May be empty.
    std::function<void(std::uint64_t revision, RevisionPtr known, std::function<void(RevisionPtr)>)> fetchRevision;
    /// Gives the revision of a peer that has at least the given one. May be empty.
    std::function<void(std::uint64_t minimumRevision, std::function<void(std::optional<permits::ConfigurationDocument>)>)> fetchFromPeers;
    /// Routers of the own data centre, this one included. May be empty.
    std::function<std::size_t()> countRouters;
};

struct ConfigurationWatcherOptions
{
    /// Poll interval of one router in a data centre with up to routersPerInterval routers; it grows with their number,
    /// so that the reads of a data centre stay constant.
    std::chrono::milliseconds pollInterval {1'000};
    std::size_t routersPerInterval = 4;
    /// The poll interval never exceeds this; gossip covers the rest of the 8 s that a change may take.
    std::chrono::milliseconds maximumPollInterval {5'000};
    std::chrono::milliseconds retryInterval {500};
};

/// Finds accepted revisions and hands over each one that is higher than all before. Thread-safe.
class ConfigurationWatcher : public std::enable_shared_from_this<ConfigurationWatcher>
{
public:
    using RevisionHandler = std::function<void(RevisionPtr)>;

    ConfigurationWatcher(boost::asio::io_context &context, ConfigurationWatcherOptions options, ConfigurationSources sources, RevisionHandler onRevision);

    // Commands
    void start();
    void stop();
    /// Another router has announced the revision.
    void revisionAnnounced(std::uint64_t revision);

    // Queries
    /// Returns the highest revision as a document for a peer, or nothing when it is lower than the given one.
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
    /// Highest revision known to exist; used on the strand only, as are the two flags.
    std::uint64_t targetRevision_ = 0;
    bool fetching_ = false;
    bool stopped_ = false;
    mutable std::mutex mutex_;
    RevisionPtr latest_;
    /// Guards the document and is never held together with the other mutex.
    mutable std::mutex documentMutex_;
    /// Kept because a document has about 1 MB at the target size, and after a change many peers ask for the same one.
    mutable permits::ConfigurationDocument document_;
};

} // namespace mulberrywall::router
