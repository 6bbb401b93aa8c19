#include "mulberrywall/Router/TableWatcher.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace mulberrywall::router
{

using support::BootClock;

static std::string_view toString(WatchMode mode)
{
    switch (mode) {
    case WatchMode::Independent:
        return "independent";
    case WatchMode::Relayed:
        return "relayed";
    case WatchMode::RelyOnPeers:
        return "rely on peers";
    }
    return "unknown";
}

TableWatcher::TableWatcher(boost::asio::io_context &context, TableWatcherOptions options, TableSource source, TableWatcherHandlers handlers)
    : strand_(boost::asio::make_strand(context)),
      timer_(strand_),
      options_(std::move(options)),
      source_(std::move(source)),
      handlers_(std::move(handlers)),
      recentChanges_ {.options = options_.recentChanges, .entries = {}},
      retryDelay_(options_.initialRetryDelay)
{
}

void TableWatcher::start()
{
    startedAt_ = BootClock::now();
    boost::asio::post(strand_, [self = shared_from_this()] { self->readAll(); });
}

void TableWatcher::stop()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
    });
}

void TableWatcher::readAll()
{
    phase_ = Phase::Calling;
    source_.readAll([self = shared_from_this(), sentAt = BootClock::now()](TableResult result) {
        boost::asio::post(self->strand_, [self, sentAt, result = std::move(result)] { self->onResult(RowsKind::Snapshot, sentAt, result); });
    });
}

void TableWatcher::awaitChanges()
{
    phase_ = Phase::Calling;
    const std::chrono::milliseconds longest = mode_ == WatchMode::Relayed ? std::min(options_.wait, options_.relayedWait) : options_.wait;
    // After an outage the first response must arrive at once, because nothing confirms the local copy
    // until then.
    const std::chrono::milliseconds wait = available_ ? longest : std::chrono::milliseconds(0);
    source_.awaitChanges(version(), wait, [self = shared_from_this(), sentAt = BootClock::now()](TableResult result) {
        boost::asio::post(self->strand_, [self, sentAt, result = std::move(result)] { self->onResult(RowsKind::Changes, sentAt, result); });
    });
}

void TableWatcher::onResult(RowsKind kind, TimePoint sentAt, const TableResult &result)
{
    if (stopped_) {
        return;
    }
    switch (result.status) {
    case TableStatus::Unavailable:
        onUnavailable(result);
        return;
    case TableStatus::HistoryTruncated:
        support::log(
            support::Severity::Warning, "the store has truncated its history; reading the whole table", {{"table", options_.name}, {"version", version()}});
        snapshotRead_ = false;
        readAll();
        return;
    case TableStatus::Ok:
        break;
    }
    if (!available_) {
        onRecovered("store");
    }
    retryDelay_ = options_.initialRetryDelay;
    snapshotRead_ = true;
    // A delayed response may be older than what peers have passed on in the meantime. Its rows would bring back removed
    // entries, and it confirms nothing about the later version.
    if (result.version < version()) {
        continueWatching();
        return;
    }
    const bool changed = kind == RowsKind::Snapshot || !result.rows.empty();
    if (kind == RowsKind::Snapshot) {
        recordSnapshot(result);
    } else if (changed) {
        recordRows(*digest_, result.rows);
        recordChange({.sinceVersion = lastChangeVersion(), .version = result.version, .rows = result.rows});
    }
    recordVersion(result.version, sentAt);
    handlers_.onRows(kind, result.rows, sentAt);
    if (changed) {
        waitUntil(BootClock::now() + currentInterval());
        return;
    }
    continueWatching();
}

void TableWatcher::onRecovered(std::string_view source)
{
    available_ = true;
    retryDelay_ = options_.initialRetryDelay;
    const auto unconfirmed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - lastConfirmedAt());
    support::log(support::Severity::Info, "the store responds again", {{"table", options_.name}, {"lostMs", unconfirmed.count()}, {"source", source}});
    handlers_.onRecovered();
}

void TableWatcher::onRecoveredByPeers()
{
    if (mode_ != WatchMode::Independent) {
        onRecovered("peer");
        return;
    }
    // This router goes on to call the store until it is served again.
    recoveredByPeers_ = true;
    support::log(support::Severity::Info, "the store responds to peers again", {{"table", options_.name}, {"version", version()}});
    handlers_.onRecovered();
}

bool TableWatcher::takesChangesOfPeers() const
{
    return mode_ != WatchMode::Independent || !available_;
}

std::chrono::milliseconds TableWatcher::currentInterval() const
{
    const bool isStarting = mode_ == WatchMode::Independent && BootClock::now() - startedAt_ < options_.startDuration;
    return isStarting ? std::max(options_.startInterval, options_.coalescingInterval) : options_.coalescingInterval;
}

void TableWatcher::continueWatching()
{
    const TimePoint now = BootClock::now();
    if (reliesOnPeers(now)) {
        suspend();
        return;
    }
    callStore();
}

void TableWatcher::callStore()
{
    if (snapshotRead_) {
        awaitChanges();
    } else {
        readAll();
    }
}

void TableWatcher::suspend()
{
    schedule(Phase::Suspended, reliesOnPeersUntil_ - BootClock::now(), &TableWatcher::continueWatching);
}

void TableWatcher::waitUntil(TimePoint time)
{
    schedule(Phase::Coalescing, time - BootClock::now(), &TableWatcher::continueWatching);
}

void TableWatcher::schedule(Phase phase, TimePoint::duration delay, void (TableWatcher::*action)())
{
    phase_ = phase;
    timer_.expires_after(std::max(delay, TimePoint::duration::zero()));
    // A wait that has ended cannot be cancelled, so that its handler may run after the next wait has begun.
    const std::uint64_t wait = ++latestWait_;
    timer_.async_wait([self = shared_from_this(), wait, action](const boost::system::error_code &error) {
        if (!error && !self->stopped_ && wait == self->latestWait_) {
            (*self.*action)();
        }
    });
}

bool TableWatcher::reliesOnPeers(TimePoint now) const
{
    return mode_ == WatchMode::RelyOnPeers && available_ && now < reliesOnPeersUntil_ && version() >= latestPeerChange_;
}

bool TableWatcher::hearsPeers(TimePoint now) const
{
    return mode_ == WatchMode::RelyOnPeers && now - peerReportAt_ <= options_.maximumPeerSilence;
}

void TableWatcher::recordSnapshot(const TableResult &result)
{
    if (!digest_) {
        recordRows(digest_.emplace(), result.rows);
        recordChange(result.version);
        return;
    }
    std::vector<TableRow> changed = replaceRows(*digest_, result.rows);
    if (!changed.empty()) {
        recordChange({.sinceVersion = lastChangeVersion(), .version = result.version, .rows = std::move(changed)});
    }
}

void TableWatcher::recordChange(std::uint64_t version)
{
    const std::scoped_lock lock(mutex_);
    versionState_.lastChangeVersion = std::max(versionState_.lastChangeVersion, version);
}

void TableWatcher::recordChange(permits::TableChanges changes)
{
    recordChange(changes.version);
    const std::scoped_lock lock(mutex_);
    recordChanges(recentChanges_, std::move(changes), BootClock::now());
}

std::vector<permits::TableChanges> TableWatcher::changesAfter(std::uint64_t version, std::chrono::milliseconds minimumAge) const
{
    const std::scoped_lock lock(mutex_);
    const TimePoint now = BootClock::now();
    return router::changesAfter(recentChanges_, version, now - minimumAge, now);
}

void TableWatcher::recordVersion(std::uint64_t version, TimePoint confirmedAt)
{
    const std::scoped_lock lock(mutex_);
    // Responses arrive in order because only one call is pending, but a store that lost its data must
    // not reset this router to an earlier version.
    versionState_.version = std::max(versionState_.version, version);
    versionState_.confirmedAt = std::max(versionState_.confirmedAt.value_or(confirmedAt), confirmedAt);
}

std::uint64_t TableWatcher::version() const
{
    const std::scoped_lock lock(mutex_);
    return versionState_.version;
}

std::uint64_t TableWatcher::lastChangeVersion() const
{
    const std::scoped_lock lock(mutex_);
    return versionState_.lastChangeVersion;
}

TableWatcher::TimePoint TableWatcher::lastConfirmedAt() const
{
    const std::scoped_lock lock(mutex_);
    return versionState_.confirmedAt.value_or(startedAt_);
}

std::optional<permits::TableFreshness> TableWatcher::freshness() const
{
    const std::scoped_lock lock(mutex_);
    if (!versionState_.confirmedAt) {
        return std::nullopt;
    }
    // Rounded up, so that the reported age is never too low.
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - *versionState_.confirmedAt);
    return permits::TableFreshness {.version = versionState_.version, .lastChangeVersion = versionState_.lastChangeVersion, .age = age};
}

void TableWatcher::setMode(WatchMode mode)
{
    boost::asio::post(strand_, [self = shared_from_this(), mode] {
        if (std::exchange(self->mode_, mode) == mode) {
            return;
        }
        support::log(support::Severity::Info, "watch mode of the table changed", {{"table", self->options_.name}, {"mode", toString(mode)}});
        // Peers that start at the same time wait for what a relaying router reads.
        if (self->phase_ == Phase::Suspended || (mode == WatchMode::Relayed && self->phase_ != Phase::Calling)) {
            self->waitUntil(BootClock::now());
        }
    });
}

void TableWatcher::recordPeerReport(const permits::TableFreshness &peer, std::vector<permits::TableChanges> changes, TimePoint receivedAt)
{
    boost::asio::post(strand_, [self = shared_from_this(), peer, changes = std::move(changes), receivedAt] { self->onPeerReport(peer, changes, receivedAt); });
}

void TableWatcher::applyPeerChanges(const permits::TableChanges &changes, TimePoint confirmedAt)
{
    if (version() < changes.sinceVersion || version() >= changes.version) {
        return;
    }
    recordRows(*digest_, changes.rows);
    recordChange(changes);
    recordVersion(changes.version, confirmedAt);
    handlers_.onRows(RowsKind::Changes, changes.rows, confirmedAt);
}

bool TableWatcher::endsOutage(TimePoint confirmedAt) const
{
    // Nobody asked the store successfully for so long that entries may have lapsed.
    const bool hasGap = confirmedAt - std::max(lastConfirmedAt(), latestPeerConfirmation_) > options_.maximumPeerAge;
    const bool followsFailure = !available_ && confirmedAt > unavailableSince_;
    switch (mode_) {
    case WatchMode::Independent:
        // While the store serves this router, the gap is the wait of a long poll.
        return (followsFailure && !recoveredByPeers_) || (!available_ && hasGap);
    case WatchMode::RelyOnPeers:
        return followsFailure || hasGap;
    case WatchMode::Relayed:
        break;
    }
    return hasGap;
}

void TableWatcher::onPeerReport(const permits::TableFreshness &peer, std::span<const permits::TableChanges> changes, TimePoint receivedAt)
{
    const TimePoint now = BootClock::now();
    peerReportAt_ = now;
    if (stopped_ || !snapshotRead_) {
        return;
    }
    const TimePoint confirmedAt = receivedAt - peer.age;
    // Entries that lapsed in an outage are missing in the rows that follow it, so that the end of the outage comes first.
    const bool isFirstAfterOutage = endsOutage(confirmedAt);
    latestPeerConfirmation_ = std::max(latestPeerConfirmation_, confirmedAt);
    if (isFirstAfterOutage) {
        onRecoveredByPeers();
    }
    if (takesChangesOfPeers()) {
        for (const permits::TableChanges &entry : changes) {
            // The peer has confirmed its own copy, not one that lacks its latest change.
            applyPeerChanges(entry, entry.version >= peer.lastChangeVersion ? confirmedAt : lastConfirmedAt());
        }
    }
    latestPeerChange_ = std::max(latestPeerChange_, peer.lastChangeVersion);
    if (version() < peer.lastChangeVersion) {
        // If the watcher is not suspended, a call is pending or scheduled.
        if (phase_ == Phase::Suspended) {
            waitUntil(now + options_.coalescingInterval);
        }
        return;
    }
    reliesOnPeersUntil_ = std::max(reliesOnPeersUntil_, std::min(now + options_.maximumPeerSilence, confirmedAt + options_.maximumPeerAge));
    recordVersion(peer.version, confirmedAt);
    handlers_.onRows(RowsKind::Changes, {}, confirmedAt);
    if ((phase_ == Phase::Suspended || phase_ == Phase::Retrying) && reliesOnPeers(now)) {
        suspend();
    }
}

void TableWatcher::onUnavailable(const TableResult &result)
{
    if (std::exchange(available_, false)) {
        recoveredByPeers_ = false;
        unavailableSince_ = BootClock::now();
        support::log(support::Severity::Warning,
            "the store does not respond; continuing with the last known rows",
            {{"table", options_.name}, {"version", version()}, {"reason", result.reason}});
    }
    retryLater();
}

/// Returns the delay with random jitter, because all routers lose the connection to the store at the
/// same time.
static std::chrono::milliseconds addJitter(std::chrono::milliseconds delay)
{
    static thread_local std::minstd_rand generator {std::random_device {}()};
    std::uniform_int_distribution<std::int64_t> distribution(delay.count() / 2, delay.count());
    return std::chrono::milliseconds(distribution(generator));
}

void TableWatcher::retryLater()
{
    const std::chrono::milliseconds maximumDelay = hearsPeers(BootClock::now()) ? options_.maximumRetryDelayWithPeers : options_.maximumRetryDelay;
    const std::chrono::milliseconds delay = addJitter(std::min(retryDelay_, maximumDelay));
    retryDelay_ = std::min(2 * retryDelay_, maximumDelay);
    schedule(Phase::Retrying, delay, &TableWatcher::callStore);
}

} // namespace mulberrywall::router
