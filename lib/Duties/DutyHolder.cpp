#include "mulberrywall/Duties/DutyHolder.h"

#include "mulberrywall/Duties/Succession.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberrywall::duties
{

namespace asio = boost::asio;
using support::log;
using support::Severity;

/// Name of the value of the lease row that counts the hand-overs since a holder got a response from the control API.
static constexpr std::string_view handOversName = "handOvers";

static std::uint64_t handOversIn(const LeaseRow &row)
{
    const auto found = row.values.find(handOversName);
    return found == row.values.end() ? 0 : found->second;
}

static std::int64_t toMilliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

DutyHolder::DutyHolder(asio::io_context &context, DutyHolderOptions options, DutyStore store, DutyHolderHandlers handlers, support::MetricsRegistry &metrics)
    : options_(std::move(options)),
      store_(std::move(store)),
      handlers_(std::move(handlers)),
      metrics_(metrics),
      strand_(asio::make_strand(context)),
      timer_(strand_)
{
    // The random part makes the holder id unique for each run of the process, so that a restarted process does not treat the lease row of
    // its previous run as its own.
    state_.self = options_.instance.value() + "/" + support::makeRandomId();
}

void DutyHolder::start()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->isStarted_ = true;
        self->state_.nextAccessAt = readLeaseClocks().monotonic + self->options_.startDelay;
        self->metrics_.setGauge("mulberrywall_duty_holder", 0);
        self->advance();
    });
}

void DutyHolder::stop()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->isStopped_ = true;
        self->timer_.cancel();
    });
}

void DutyHolder::release(std::function<void()> handler)
{
    asio::post(strand_, [self = shared_from_this(), handler = std::move(handler)]() mutable {
        if (!self->isStarted_ || self->isStopped_ || self->onReleased_) {
            handler();
            return;
        }
        self->onReleased_ = std::move(handler);
        {
            const std::scoped_lock lock(self->mutex_);
            beginRelease(self->state_, readLeaseClocks());
        }
        self->failWrites();
        self->reportLeaseChange();
        self->advance();
    });
}

void DutyHolder::setMembers(std::vector<membership::Member> live)
{
    asio::post(strand_, [self = shared_from_this(), live = std::move(live)] {
        const std::vector<membership::Member> candidates = dutyCandidates(live);
        self->isCandidate_ = containsInstance(candidates, self->options_.instance.value());
        self->hasOtherCandidates_ = candidates.size() > 1;
        const auto &observed = self->state_.observedRow;
        const bool isGone = observed && !observed->row.holder.empty() && !containsInstance(live, instanceOf(observed->row.holder));
        if (isGone && std::exchange(self->goneVersion_, observed->version) != observed->version) {
            const std::scoped_lock lock(self->mutex_);
            onHolderGone(self->state_, self->options_.lease, readLeaseClocks());
        }
        self->advance();
    });
}

void DutyHolder::recordCall(CallOutcome outcome)
{
    asio::post(strand_, [self = shared_from_this(), outcome] {
        if (!self->state_.isHeld) {
            return;
        }
        duties::recordCall(self->reachability_, outcome, readLeaseClocks().monotonic);
        switch (outcome) {
        case CallOutcome::Answered:
            self->onAnswered();
            return;
        case CallOutcome::Unanswered:
            self->handOverIfUnanswered();
            return;
        }
    });
}

void DutyHolder::storeUnderLease(DutyWrite write, DutyWriteHandler handler)
{
    asio::post(strand_, [self = shared_from_this(), write = std::move(write), handler = std::move(handler)]() mutable {
        if (!self->state_.isHeld) {
            handler(DutyWriteOutcome::LeaseLost);
            return;
        }
        self->queue_.push_back({.write = std::move(write), .handler = std::move(handler)});
        if (!self->attempt_ && !self->state_.unconfirmedWrite) {
            const std::scoped_lock lock(self->mutex_);
            self->state_.nextAccessAt = std::min(self->state_.nextAccessAt, readLeaseClocks().monotonic);
        }
        self->advance();
    });
}

std::optional<DutyPermission> DutyHolder::mayAct() const
{
    const std::scoped_lock lock(mutex_);
    return duties::mayAct(state_, options_.lease, readLeaseClocks());
}

LeaseValues DutyHolder::values() const
{
    const std::scoped_lock lock(mutex_);
    return state_.isHeld ? state_.row.values : LeaseValues();
}

bool DutyHolder::takesPart() const
{
    return state_.isHeld || state_.isReleasing || (isCandidate_ && !onReleased_);
}

void DutyHolder::advance()
{
    if (!isStarted_ || isStopped_ || isAwaitingStore_) {
        return;
    }
    if (!takesPart()) {
        timer_.cancel();
        finishRelease();
        return;
    }
    handOverIfReplaced();
    LeaseStep step;
    {
        const std::scoped_lock lock(mutex_);
        step = nextStep(state_, options_.lease, readLeaseClocks());
    }
    settleAttempt();
    reportLeaseChange();
    if (!takesPart()) {
        finishRelease();
        return;
    }
    switch (step.kind) {
    case LeaseStepKind::Wait:
        wait(step.until);
        return;
    case LeaseStepKind::Read:
        read();
        return;
    case LeaseStepKind::Write:
        write(std::move(step));
        return;
    }
}

void DutyHolder::wait(TimePoint until)
{
    timer_.expires_at(until);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->advance();
        }
    });
}

void DutyHolder::read()
{
    isAwaitingStore_ = true;
    store_.read([self = shared_from_this()](const LeaseReadResult &result) { asio::post(self->strand_, [self, result] { self->onReadResult(result); }); });
}

void DutyHolder::write(LeaseStep step)
{
    attachQueuedWrites(step);
    isAwaitingStore_ = true;
    const LeaseTime sentAt = readLeaseClocks();
    store_.write(encodeLease(step.row),
        step.expectedVersion,
        attempt_ ? attempt_->rows : std::vector<DutyRow>(),
        [self = shared_from_this(), row = step.row, sentAt](
            const LeaseWriteResult &result) { asio::post(self->strand_, [self, row, sentAt, result] { self->onWriteResult(row, result, sentAt); }); });
}

/// Adds the row, or replaces an earlier one with the same key: a transaction may contain each key only once.
static void mergeRow(std::vector<DutyRow> &rows, const DutyRow &row)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&row](const DutyRow &other) { return other.key == row.key; });
    if (found != rows.end()) {
        *found = row;
        return;
    }
    rows.push_back(row);
}

void DutyHolder::attachQueuedWrites(LeaseStep &step)
{
    // A repeated write contains what the first one contained; a write that takes over or releases the lease contains only the lease row.
    if (step.isRepeated || !state_.isHeld || queue_.empty()) {
        return;
    }
    attempt_ = Attempt {.sequence = step.row.sequence, .writes = std::exchange(queue_, {})};
    for (const QueuedWrite &queued : attempt_->writes) {
        for (const DutyRow &row : queued.write.rows) {
            mergeRow(attempt_->rows, row);
        }
        for (const auto &[name, value] : queued.write.values) {
            step.row.values[name] = value;
        }
    }
}

void DutyHolder::onReadResult(const LeaseReadResult &result)
{
    isAwaitingStore_ = false;
    {
        const std::scoped_lock lock(mutex_);
        onRead(state_, options_.lease, result, readLeaseClocks());
    }
    settleAttempt();
    advance();
}

void DutyHolder::onWriteResult(const LeaseRow &row, const LeaseWriteResult &result, const LeaseTime &sentAt)
{
    isAwaitingStore_ = false;
    const LeaseTime now = readLeaseClocks();
    const bool wasHeld = state_.isHeld;
    const LeaseTime validBefore = state_.validUntil;
    {
        const std::scoped_lock lock(mutex_);
        onWrite(state_, options_.lease, row, result, sentAt, now);
        if (onReleased_) {
            // The lease was acquired by a write that was under way when the release began.
            beginRelease(state_, now);
        }
    }
    if (wasHeld && result.status == LeaseWriteStatus::Applied && hasReached(validBefore, now + options_.lease.margin)) {
        log(Severity::Warning, "lease of the duties renewed late", {{"fence", row.fencing}, {"responseMs", toMilliseconds(now.boot - sentAt.boot)}});
    }
    settleAttempt();
    advance();
}

void DutyHolder::settleAttempt()
{
    if (!state_.isHeld) {
        failWrites();
        return;
    }
    if (!attempt_ || state_.unconfirmedWrite) {
        return;
    }
    Attempt attempt = std::move(*attempt_);
    attempt_.reset();
    if (state_.row.sequence == attempt.sequence) {
        for (const QueuedWrite &queued : attempt.writes) {
            queued.handler(DutyWriteOutcome::Stored);
        }
        return;
    }
    // Certainly not applied; sent again with the next renewal, before what was queued meanwhile.
    std::move(queue_.begin(), queue_.end(), std::back_inserter(attempt.writes));
    queue_ = std::move(attempt.writes);
}

void DutyHolder::failWrites()
{
    std::vector<QueuedWrite> failed = attempt_ ? std::move(attempt_->writes) : std::vector<QueuedWrite>();
    attempt_.reset();
    std::move(queue_.begin(), queue_.end(), std::back_inserter(failed));
    queue_.clear();
    for (const QueuedWrite &queued : failed) {
        queued.handler(DutyWriteOutcome::LeaseLost);
    }
}

void DutyHolder::handOverIfReplaced()
{
    if (isCandidate_ || !state_.isHeld) {
        replacedSince_.reset();
        return;
    }
    const LeaseTime now = readLeaseClocks();
    if (!replacedSince_) {
        replacedSince_ = now.monotonic;
        return;
    }
    if (now.monotonic - *replacedSince_ < options_.handOverDelay) {
        return;
    }
    log(Severity::Info, "hands the duties over because other routers come first", {{"fence", state_.fencing}});
    const std::scoped_lock lock(mutex_);
    beginRelease(state_, now);
}

void DutyHolder::onAnswered()
{
    if (handOversIn(state_.row) > 0) {
        storeUnderLease({.values = {{std::string(handOversName), 0}}}, [](DutyWriteOutcome) {});
    }
}

void DutyHolder::handOverIfUnanswered()
{
    const LeaseTime now = readLeaseClocks();
    const std::uint64_t handOvers = handOversIn(state_.row);
    if (!hasOtherCandidates_ || !shouldHandOver(reachability_, options_.reachability, handOvers, now.monotonic)) {
        return;
    }
    log(Severity::Warning,
        "hands the duties over because the control API does not respond",
        {{"fence", state_.fencing}, {"unansweredCalls", reachability_.unansweredCalls}});
    {
        const std::scoped_lock lock(mutex_);
        state_.row.values[std::string(handOversName)] = handOvers + 1;
        beginRelease(state_, now);
    }
    failWrites();
    reportLeaseChange();
    advance();
}

void DutyHolder::reportLeaseChange()
{
    const std::optional<std::uint64_t> fence = state_.isHeld ? std::optional(state_.fencing) : std::nullopt;
    const TimePoint now = readLeaseClocks().monotonic;
    if (fence && fence == reportedFence_) {
        metrics_.setGauge("mulberrywall_duty_lease_age_seconds", std::chrono::duration<double>(now - acquiredAt_).count());
    }
    if (fence == reportedFence_) {
        return;
    }
    const std::optional<std::uint64_t> before = std::exchange(reportedFence_, fence);
    metrics_.setGauge("mulberrywall_duty_holder", fence ? 1 : 0);
    metrics_.setGauge("mulberrywall_duty_lease_age_seconds", 0);
    if (before) {
        log(state_.isReleasing ? Severity::Info : Severity::Warning,
            state_.isReleasing ? "releases the lease of the duties" : "lost the lease of the duties",
            {{"fence", *before}});
        metrics_.increment("mulberrywall_duty_leases_ended_total", {{"reason", state_.isReleasing ? "released" : "lost"}});
        handlers_.lostLease();
    }
    if (fence) {
        reachability_ = {};
        acquiredAt_ = now;
        metrics_.setGauge("mulberrywall_duty_fence", static_cast<double>(*fence));
        log(Severity::Info, "acquired the lease of the duties", {{"fence", *fence}, {"actsInMs", toMilliseconds(state_.actsFrom - now)}});
        handlers_.becameHolder(*fence);
    }
}

void DutyHolder::finishRelease()
{
    if (onReleased_ && !isStopped_) {
        isStopped_ = true;
        log(Severity::Info, "takes no part in the duties any more");
        onReleased_();
    }
}

} // namespace mulberrywall::duties
