#include "mulberrywall/Router/TableFollower.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace mulberrywall::router
{

using support::BootClock;

static std::string_view toString(FollowMode mode)
{
    switch (mode) {
    case FollowMode::Independent:
        return "independent";
    case FollowMode::Relayed:
        return "relayed";
    case FollowMode::RelyOnPeers:
        return "rely on peers";
    }
    return "unknown";
}

TableFollower::TableFollower(boost::asio::io_context &context, TableFollowerOptions options, TableSource source, TableFollowerHandlers handlers)
    : strand_(boost::asio::make_strand(context)),
      timer_(strand_),
      options_(std::move(options)),
      source_(std::move(source)),
      handlers_(std::move(handlers)),
      retryDelay_(options_.initialRetryDelay)
{
}

void TableFollower::start()
{
    boost::asio::post(strand_, [self = shared_from_this()] { self->readAll(); });
}

void TableFollower::stop()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
    });
}

void TableFollower::readAll()
{
    source_.readAll([self = shared_from_this(), sentAt = BootClock::now()](TableAnswer answer) {
        boost::asio::post(self->strand_, [self, sentAt, answer = std::move(answer)] { self->onAnswer(RowsKind::Whole, sentAt, answer); });
    });
}

void TableFollower::awaitChanges()
{
    parked_ = false;
    const std::chrono::milliseconds longest = mode_ == FollowMode::Relayed ? std::min(options_.wait, options_.relayedWait) : options_.wait;
    // After a loss the first answer should come at once: until then nothing proves what is known.
    const std::chrono::milliseconds wait = available_ ? longest : std::chrono::milliseconds(0);
    source_.awaitChanges(version(), wait, [self = shared_from_this(), sentAt = BootClock::now()](TableAnswer answer) {
        boost::asio::post(self->strand_, [self, sentAt, answer = std::move(answer)] { self->onAnswer(RowsKind::Changes, sentAt, answer); });
    });
}

void TableFollower::onAnswer(RowsKind kind, TimePoint sentAt, const TableAnswer &answer)
{
    if (stopped_) {
        return;
    }
    switch (answer.status) {
    case TableStatus::Unavailable:
        onUnavailable(answer);
        return;
    case TableStatus::HistoryGone:
        support::log(support::Severity::Warning, "the store dropped its history; reading the whole table", {{"table", options_.name}, {"version", version()}});
        complete_ = false;
        readAll();
        return;
    case TableStatus::Ok:
        break;
    }
    if (!std::exchange(available_, true)) {
        const auto lost = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - lostAt_);
        support::log(support::Severity::Info, "the store answers again", {{"table", options_.name}, {"lostMs", lost.count()}});
        handlers_.onRegained();
    }
    retryDelay_ = options_.initialRetryDelay;
    complete_ = true;
    const bool changed = kind == RowsKind::Whole || !answer.rows.empty();
    if (changed) {
        const std::scoped_lock lock(mutex_);
        known_.changedAt = std::max(known_.changedAt, answer.version);
    }
    noteKnown(answer.version, sentAt);
    handlers_.onRows(kind, answer.rows, sentAt);
    if (changed) {
        waitUntil(BootClock::now() + options_.changesInterval);
        return;
    }
    goOn();
}

void TableFollower::goOn()
{
    const TimePoint now = BootClock::now();
    if (reliesOnPeers(now)) {
        park();
        return;
    }
    awaitChanges();
}

void TableFollower::park()
{
    waitUntil(peersUntil_);
    parked_ = true;
}

void TableFollower::waitUntil(TimePoint time)
{
    parked_ = false;
    timer_.expires_after(std::max(time - BootClock::now(), TimePoint::duration::zero()));
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->stopped_) {
            self->goOn();
        }
    });
}

bool TableFollower::reliesOnPeers(TimePoint now) const
{
    return mode_ == FollowMode::RelyOnPeers && available_ && now < peersUntil_ && version() >= peersChangedAt_;
}

void TableFollower::noteKnown(std::uint64_t version, TimePoint provenAt)
{
    const std::scoped_lock lock(mutex_);
    // Answers of one call each come in order, but a store that lost its memory must not take this router back.
    known_.version = std::max(known_.version, version);
    known_.provenAt = std::max(known_.provenAt.value_or(provenAt), provenAt);
}

std::uint64_t TableFollower::version() const
{
    const std::scoped_lock lock(mutex_);
    return known_.version;
}

std::optional<permits::TableFreshness> TableFollower::progress() const
{
    const std::scoped_lock lock(mutex_);
    if (!known_.provenAt) {
        return std::nullopt;
    }
    // Rounded up, so that the age never understates.
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - *known_.provenAt);
    return permits::TableFreshness {.version = known_.version, .lastChangeVersion = known_.changedAt, .age = age};
}

void TableFollower::setMode(FollowMode mode)
{
    boost::asio::post(strand_, [self = shared_from_this(), mode] {
        if (std::exchange(self->mode_, mode) == mode) {
            return;
        }
        support::log(support::Severity::Info, "way of following the store changed", {{"table", self->options_.name}, {"mode", toString(mode)}});
        if (self->parked_) {
            self->waitUntil(BootClock::now());
        }
    });
}

void TableFollower::recordPeer(const permits::TableFreshness &peer, TimePoint heardAt)
{
    boost::asio::post(strand_, [self = shared_from_this(), peer, heardAt] { self->onPeer(peer, heardAt); });
}

void TableFollower::onPeer(const permits::TableFreshness &peer, TimePoint heardAt)
{
    if (stopped_ || !complete_) {
        return;
    }
    const TimePoint now = BootClock::now();
    peersChangedAt_ = std::max(peersChangedAt_, peer.lastChangeVersion);
    if (version() < peer.lastChangeVersion) {
        // Otherwise a call is under way, or about to be made.
        if (parked_) {
            waitUntil(now + options_.changesInterval);
        }
        return;
    }
    const TimePoint provenAt = heardAt - peer.age;
    peersUntil_ = std::max(peersUntil_, std::min(now + options_.maximumPeerSilence, provenAt + options_.maximumPeerAge));
    noteKnown(peer.version, provenAt);
    handlers_.onRows(RowsKind::Changes, {}, provenAt);
    if (parked_ && reliesOnPeers(now)) {
        park();
    }
}

void TableFollower::onUnavailable(const TableAnswer &answer)
{
    if (std::exchange(available_, false)) {
        lostAt_ = BootClock::now();
        support::log(support::Severity::Warning,
            "the store does not answer; going on with what is known",
            {{"table", options_.name}, {"version", version()}, {"reason", answer.reason}});
    }
    retryLater();
}

/// Spreads the retries of all routers over the delay, because they lose the store at the same time.
static std::chrono::milliseconds spread(std::chrono::milliseconds delay)
{
    static thread_local std::minstd_rand generator {std::random_device {}()};
    std::uniform_int_distribution<std::int64_t> distribution(delay.count() / 2, delay.count());
    return std::chrono::milliseconds(distribution(generator));
}

void TableFollower::retryLater()
{
    timer_.expires_after(spread(retryDelay_));
    retryDelay_ = std::min(2 * retryDelay_, options_.maximumRetryDelay);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->stopped_) {
            return;
        }
        if (self->complete_) {
            self->awaitChanges();
        } else {
            self->readAll();
        }
    });
}

} // namespace mulberrywall::router
