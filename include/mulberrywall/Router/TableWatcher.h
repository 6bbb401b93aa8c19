#pragma once

#include "mulberrywall/Permits/StoreReport.h"
#include "mulberrywall/Permits/TableChanges.h"
#include "mulberrywall/Router/RecentChanges.h"
#include "mulberrywall/Router/TableDigest.h"
#include "mulberrywall/Support/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::router
{

using permits::TableRow;

enum class TableStatus : std::uint8_t {
    Ok,
    /// The store has truncated its history after the given version, so that the whole table must be
    /// read.
    HistoryTruncated,
    /// No response, or a response that does not contain the state of the table.
    Unavailable,
};

struct TableResult
{
    TableStatus status = TableStatus::Unavailable;
    std::vector<TableRow> rows;
    /// Version of the store at which the rows were read.
    std::uint64_t version = 0;
    /// Reason why the table is unavailable.
    std::string reason;
};

using TableHandler = std::function<void(TableResult)>;

/// Functions that read a table of a store. Each handler is called once, from any thread, but never
/// inside the function.
struct TableSource
{
    std::function<void(TableHandler)> readAll;
    /// Long poll: returns as soon as there is a change after the version, or without rows when the wait
    /// has elapsed.
    std::function<void(std::uint64_t version, std::chrono::milliseconds wait, TableHandler)> awaitChanges;
};

enum class RowsKind : std::uint8_t {
    /// All rows of the table; a row that is not included does not exist.
    Snapshot,
    /// The changed rows in the order of their changes; may be empty.
    Changes,
};

struct TableWatcherOptions
{
    /// Name of the table in logs.
    std::string name;
    /// Maximum wait of one long poll. It bounds the age of the local copy, together with the latency of
    /// one response.
    std::chrono::milliseconds wait {2'000};
    /// Maximum wait while other routers rely on this one's reports. A confirmation is as old as one wait when it arrives and
    /// twice as old before the next one, which has to stay below maximumPeerAge at the receivers of its reports.
    std::chrono::milliseconds relayedWait {700};
    /// Delay between a change and the next call, so that one call reads all changes that occur in the
    /// meantime.
    std::chrono::milliseconds coalescingInterval {200};
    /// The same for the time after the start of the process, in which a router does not know yet whether it can rely on peers.
    /// Hundreds of routers may start at once, while all endpoints register.
    std::chrono::milliseconds startInterval {1'000};
    std::chrono::milliseconds startDuration {3'000};
    /// A router that relies on its peers queries the store itself if it has received no freshness
    /// report of the table for maximumPeerSilence, or if the reported freshness is older than
    /// maximumPeerAge.
    std::chrono::milliseconds maximumPeerSilence {1'000};
    std::chrono::milliseconds maximumPeerAge {2'500};
    RecentChangesOptions recentChanges;
    std::chrono::milliseconds initialRetryDelay {100};
    std::chrono::milliseconds maximumRetryDelay {1'000};
    /// The same while a router that relies on its peers hears from them: they tell when the store responds again.
    std::chrono::milliseconds maximumRetryDelayWithPeers {4'000};
};

struct TableWatcherHandlers
{
    /// Called for every response with the time at which its request was sent, and without rows when a
    /// peer's report confirms the local copy. The rows were current at that time or later.
    std::function<void(RowsKind kind, const std::vector<TableRow> &rows, support::BootClock::time_point sentAt)> onRows;
    /// Called before onRows when the store responds again after it was unavailable, to this router or to a peer.
    std::function<void()> onRecovered;
};

/// Whether a router queries the store itself or relies on the freshness that its peers report.
enum class WatchMode : std::uint8_t {
    /// Queries the store with the normal wait, and takes the changes that peers pass on only while the store does not serve it.
    Independent,
    /// Queries the store so often that peers can rely on the reported freshness.
    Relayed,
    /// Queries the store only when peers report a change or stop reporting.
    RelyOnPeers,
};

/// Watches a table of a store by long polls. All handlers run on one strand.
///
/// Not every router needs to query the store: a router that has read the latest change, and receives
/// from a peer that there was no later one at some time, has the same information as from a response of
/// the store.
class TableWatcher : public std::enable_shared_from_this<TableWatcher>
{
public:
    TableWatcher(boost::asio::io_context &context, TableWatcherOptions options, TableSource source, TableWatcherHandlers handlers);

    void start();
    void stop();
    void setMode(WatchMode mode);
    /// Records the freshness that another router reported, which was confirmed at `receivedAt` minus
    /// its age, or later, and the changes that it passed on.
    void recordPeerReport(const permits::TableFreshness &peer, std::vector<permits::TableChanges> changes, support::BootClock::time_point receivedAt);

    /// Returns up to which version the table was read; nothing before the first response. Thread-safe.
    [[nodiscard]] std::optional<permits::TableFreshness> freshness() const;
    /// Returns the changes to pass on to a peer whose copy is current up to the version, of those that were read at least
    /// minimumAge ago; see router::changesAfter(). Thread-safe.
    [[nodiscard]] std::vector<permits::TableChanges> changesAfter(std::uint64_t version, std::chrono::milliseconds minimumAge) const;

private:
    using TimePoint = support::BootClock::time_point;

    /// What the watcher waits for; in all phases but Calling it is the timer.
    enum class Phase : std::uint8_t {
        Calling,
        /// The interval after a change.
        Coalescing,
        /// The end of the time for which this router relies on its peers.
        Suspended,
        /// The delay after a failed call.
        Retrying,
    };

    /// Reads the whole table if that is still to be done, and waits for changes otherwise.
    void callStore();
    void readAll();
    void awaitChanges();
    void onResult(RowsKind kind, support::BootClock::time_point sentAt, const TableResult &result);
    void onUnavailable(const TableResult &result);
    void retryLater();
    void onPeerReport(const permits::TableFreshness &peer, std::span<const permits::TableChanges> changes, TimePoint receivedAt);
    /// Applies the changes unless the copy already contains them or lacks an earlier change.
    void applyPeerChanges(const permits::TableChanges &changes, TimePoint confirmedAt);
    /// Returns whether a confirmation by a peer is the first one after an outage of the store.
    [[nodiscard]] bool endsOutage(TimePoint confirmedAt) const;
    void onRecovered(std::string_view source);
    /// Handles the end of an outage that peers have found first.
    void onRecoveredByPeers();
    /// Returns whether this router applies the changes that peers pass on.
    [[nodiscard]] bool takesChangesOfPeers() const;
    [[nodiscard]] bool hearsPeers(TimePoint now) const;
    /// Records the whole table, and as a change what differs from the previous copy if there is one.
    void recordSnapshot(const TableResult &result);
    /// Records that the table changed at the version or between it and the previous one that was read.
    void recordChange(std::uint64_t version);
    /// The same with the changed rows, which are kept for peers.
    void recordChange(permits::TableChanges changes);
    /// Records that the local copy contained all changes up to the version at the given time.
    void recordVersion(std::uint64_t version, TimePoint confirmedAt);
    /// Queries the store, or suspends the calls while peers report their freshness.
    void continueWatching();
    void waitUntil(TimePoint time);
    void suspend();
    /// Calls the action after the delay, instead of the one that was scheduled before.
    void schedule(Phase phase, TimePoint::duration delay, void (TableWatcher::*action)());
    [[nodiscard]] bool reliesOnPeers(TimePoint now) const;
    /// Returns the time from a change to the next call.
    [[nodiscard]] std::chrono::milliseconds currentInterval() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::uint64_t lastChangeVersion() const;
    /// Returns the time as of which the store's state was last confirmed, or that of the start if it never was.
    [[nodiscard]] TimePoint lastConfirmedAt() const;

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    TableWatcherOptions options_;
    TableSource source_;
    TableWatcherHandlers handlers_;
    /// State that freshness() returns; protected by mutex_, which is the last in the lock order and also protects
    /// recentChanges_.
    struct VersionState
    {
        std::uint64_t version = 0;
        /// Version of the latest change that was read.
        std::uint64_t lastChangeVersion = 0;
        std::optional<TimePoint> confirmedAt;
    };
    mutable std::mutex mutex_;
    VersionState versionState_;
    RecentChanges recentChanges_;
    WatchMode mode_ = WatchMode::Independent;
    /// Time until which the freshness reported by peers is recent enough to rely on.
    TimePoint reliesOnPeersUntil_;
    /// Version of the latest change that a peer has reported.
    std::uint64_t latestPeerChange_ = 0;
    /// Time of the latest report of a peer.
    TimePoint peerReportAt_;
    /// Latest time as of which a peer has confirmed the store's state, also if this router's copy lacks some changes.
    TimePoint latestPeerConfirmation_;
    /// Rows of the local copy; nothing before the first read.
    std::optional<TableDigest> digest_;
    Phase phase_ = Phase::Calling;
    /// True if the whole table was read, so that the changes since the version suffice.
    bool snapshotRead_ = false;
    bool available_ = true;
    /// True if peers have found the end of the outage while the store still does not serve this router.
    bool recoveredByPeers_ = false;
    /// Number of the wait that the timer is for.
    std::uint64_t latestWait_ = 0;
    TimePoint startedAt_;
    std::chrono::milliseconds retryDelay_;
    support::BootClock::time_point unavailableSince_;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
