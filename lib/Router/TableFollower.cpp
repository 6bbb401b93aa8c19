#include "mulberrywall/Router/TableFollower.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace mulberrywall::router
{

using support::BootClock;

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
    // After a loss the first answer should come at once: until then nothing proves what is known.
    const std::chrono::milliseconds wait = available_ ? options_.wait : std::chrono::milliseconds(0);
    source_.awaitChanges(version_, wait, [self = shared_from_this(), sentAt = BootClock::now()](TableAnswer answer) {
        boost::asio::post(self->strand_, [self, sentAt, answer = std::move(answer)] { self->onAnswer(RowsKind::Changes, sentAt, answer); });
    });
}

void TableFollower::onAnswer(RowsKind kind, BootClock::time_point sentAt, const TableAnswer &answer)
{
    if (stopped_) {
        return;
    }
    switch (answer.status) {
    case TableStatus::Unavailable:
        onUnavailable(answer);
        return;
    case TableStatus::HistoryGone:
        support::log(support::Severity::Warning, "the store dropped its history; reading the whole table", {{"table", options_.name}, {"version", version_}});
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
    // Answers of one call each come in order, but a store that lost its memory must not take this router back.
    version_ = std::max(version_, answer.version);
    complete_ = true;
    handlers_.onRows(kind, answer.rows, sentAt);
    awaitChanges();
}

void TableFollower::onUnavailable(const TableAnswer &answer)
{
    if (std::exchange(available_, false)) {
        lostAt_ = BootClock::now();
        support::log(support::Severity::Warning,
            "the store does not answer; going on with what is known",
            {{"table", options_.name}, {"version", version_}, {"reason", answer.reason}});
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
