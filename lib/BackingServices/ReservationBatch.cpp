#include "mulberrywall/BackingServices/ReservationBatch.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <deque>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace mulberrywall::backingservices
{

namespace asio = boost::asio;

namespace
{

using Clock = std::chrono::steady_clock;

/// Wait before a read-back or a refused commit is tried again.
constexpr std::chrono::milliseconds retryDelay {50};
/// Time that the cleanup of an abandoned claim goes on; then the row stays and the key answers "may have run".
constexpr std::chrono::seconds cleanupTimeout {30};

enum class PendingWriteKind : std::uint8_t {
    Reserve,
    Complete,
    Release,
};

/// One row change with the caller that waits for it.
struct PendingWrite
{
    PendingWriteKind kind = PendingWriteKind::Reserve;
    ReservationRequest request;
    WriteOperation operation;
    Clock::time_point deadline;
    /// An earlier commit of this entry may have been applied, or may yet be.
    bool mayHaveBeenApplied = false;
    std::function<void(ReservationResult)> onReservation;
    std::function<void(ReservationUpdate)> onUpdate;
};

using PendingWritePtr = std::shared_ptr<PendingWrite>;

class TableReservationBatch final : public ReservationBatch, public std::enable_shared_from_this<TableReservationBatch>
{
public:
    TableReservationBatch(const asio::any_io_executor &executor, const ReservationBatchOptions &options)
        : executor_(executor),
          options_(options),
          table_(executor, options.service)
    {
    }

    void reserve(ReservationRequest request, std::function<void(ReservationResult)> handler) override
    {
        auto entry = std::make_shared<PendingWrite>();
        entry->kind = PendingWriteKind::Reserve;
        entry->operation.kind = WriteOperationKind::InsertIfAbsent;
        entry->operation.key = reservationRowKey(request);
        entry->operation.value = encodeReservation({.attemptId = request.attemptId, .bodyHash = request.bodyHash});
        entry->request = std::move(request);
        entry->onReservation = std::move(handler);
        submit(entry);
    }

    void completeReservation(
        const ReservationRequest &request, std::uint64_t version, StoredResponse response, std::function<void(ReservationUpdate)> handler) override
    {
        auto entry = std::make_shared<PendingWrite>();
        entry->kind = PendingWriteKind::Complete;
        entry->operation.kind = WriteOperationKind::PutIfVersion;
        entry->operation.key = reservationRowKey(request);
        entry->operation.version = version;
        entry->operation.value = encodeReservation({.attemptId = request.attemptId, .bodyHash = request.bodyHash, .response = std::move(response)});
        entry->request = request;
        entry->onUpdate = std::move(handler);
        submit(entry);
    }

    void releaseReservation(const ReservationRequest &request, std::uint64_t version, std::function<void(ReservationUpdate)> handler) override
    {
        submit(makeRelease(request, version, std::move(handler)));
    }

private:
    static PendingWritePtr makeRelease(const ReservationRequest &request, std::uint64_t version, std::function<void(ReservationUpdate)> handler)
    {
        auto entry = std::make_shared<PendingWrite>();
        entry->kind = PendingWriteKind::Release;
        entry->operation.kind = WriteOperationKind::DeleteIfVersion;
        entry->operation.key = reservationRowKey(request);
        entry->operation.version = version;
        entry->request = request;
        entry->onUpdate = std::move(handler);
        return entry;
    }

    void submit(const PendingWritePtr &entry)
    {
        entry->deadline = Clock::now() + options_.timeout;
        bool isFull = false;
        {
            const std::lock_guard lock(mutex_);
            isFull = pending_.size() >= options_.maxPending;
            if (!isFull) {
                pending_.push_back(entry);
            }
        }
        if (isFull) {
            settleUnavailable(entry, "too many claims are waiting");
            return;
        }
        flush();
    }

    /// Queues an entry again, whatever the number of waiting ones.
    void resubmit(const PendingWritePtr &entry)
    {
        {
            const std::lock_guard lock(mutex_);
            pending_.push_back(entry);
        }
        flush();
    }

    /// Sends the next batch, or lets a timer do so when one was sent a moment ago.
    void flush()
    {
        std::vector<PendingWritePtr> batch;
        bool needsTimer = false;
        std::chrono::nanoseconds wait {};
        {
            const std::lock_guard lock(mutex_);
            if (isTimerSet_) {
                return;
            }
            const Clock::time_point now = Clock::now();
            if (now >= nextCommit_) {
                batch = takeBatch();
                nextCommit_ = now + options_.interval;
            }
            needsTimer = !pending_.empty() || !remainders_.empty();
            isTimerSet_ = needsTimer;
            wait = nextCommit_ - now;
        }
        if (!batch.empty()) {
            commit(std::move(batch));
        }
        if (!needsTimer) {
            return;
        }
        after(wait, [self = shared_from_this()] {
            {
                const std::lock_guard lock(self->mutex_);
                self->isTimerSet_ = false;
            }
            self->flush();
        });
    }

    /// A commit may name each key once, so later entries of a key wait for the next batch. Needs the mutex.
    std::vector<PendingWritePtr> takeBatch()
    {
        if (!remainders_.empty()) {
            std::vector<PendingWritePtr> remainder = std::move(remainders_.front());
            remainders_.pop_front();
            return remainder;
        }
        std::vector<PendingWritePtr> batch;
        std::deque<PendingWritePtr> rest;
        std::set<std::string_view> keys;
        for (PendingWritePtr &entry : pending_) {
            if (batch.size() < options_.maxRows && keys.insert(entry->operation.key).second) {
                batch.push_back(std::move(entry));
            } else {
                rest.push_back(std::move(entry));
            }
        }
        pending_ = std::move(rest);
        return batch;
    }

    void commit(std::vector<PendingWritePtr> batch)
    {
        const Clock::time_point now = Clock::now();
        const auto expired = std::stable_partition(batch.begin(), batch.end(), [now](const PendingWritePtr &entry) { return entry->deadline > now; });
        for (auto entry = expired; entry != batch.end(); ++entry) {
            settleUnavailable(*entry, "the table service did not answer in time");
        }
        batch.erase(expired, batch.end());
        if (batch.empty()) {
            return;
        }
        std::vector<WriteOperation> operations;
        operations.reserve(batch.size());
        for (const PendingWritePtr &entry : batch) {
            operations.push_back(entry->operation);
        }
        table_.commit(
            reservationTable, operations, [self = shared_from_this(), batch = std::move(batch)](const CommitResult &result) { self->onCommit(batch, result); });
    }

    void onCommit(const std::vector<PendingWritePtr> &batch, const CommitResult &result)
    {
        switch (result.status) {
        case CommitStatus::Applied:
            for (const PendingWritePtr &entry : batch) {
                settleApplied(entry, result.version);
            }
            return;
        case CommitStatus::Conflict:
            onConflict(batch, result);
            return;
        case CommitStatus::NotApplied:
            for (const PendingWritePtr &entry : batch) {
                retryLater(entry, [self = shared_from_this(), entry] { self->resubmit(entry); });
            }
            return;
        case CommitStatus::Unknown:
            for (const PendingWritePtr &entry : batch) {
                entry->mayHaveBeenApplied = true;
                readBack(entry);
            }
            return;
        }
    }

    /// Nothing of the batch was applied: entries in conflict are decided by the row, the others are sent again.
    void onConflict(const std::vector<PendingWritePtr> &batch, const CommitResult &result)
    {
        std::vector<bool> isInConflict(batch.size());
        for (const CommitConflict &conflict : result.conflicts) {
            if (conflict.operation < batch.size() && !isInConflict[conflict.operation]) {
                isInConflict[conflict.operation] = true;
                decide(batch[conflict.operation], conflict.current);
            }
        }
        std::vector<PendingWritePtr> remainder;
        for (std::size_t index = 0; index < batch.size(); ++index) {
            if (!isInConflict[index]) {
                remainder.push_back(batch[index]);
            }
        }
        if (remainder.empty()) {
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            remainders_.push_back(std::move(remainder));
        }
        flush();
    }

    /// Decides an entry by the row that the table has.
    void decide(const PendingWritePtr &entry, const std::optional<Row> &current)
    {
        switch (entry->kind) {
        case PendingWriteKind::Reserve:
            if (!current) {
                // The row was released in the meantime, or the commit whose response was lost has not been applied.
                retryLater(entry, [self = shared_from_this(), entry] { self->resubmit(entry); });
                return;
            }
            settle(entry, resolveReservation(entry->request, *current));
            return;
        case PendingWriteKind::Complete:
            decideUpdate(entry, current, current && current->value == entry->operation.value);
            return;
        case PendingWriteKind::Release:
            // The version of the row is known to be this attempt's, and nobody else deletes it.
            decideUpdate(entry, current, !current);
            return;
        }
    }

    void decideUpdate(const PendingWritePtr &entry, const std::optional<Row> &current, bool isInEffect)
    {
        if (isInEffect) {
            settle(entry, ReservationUpdate::Done);
            return;
        }
        if (current && current->version == entry->operation.version) {
            retryLater(entry, [self = shared_from_this(), entry] { self->resubmit(entry); });
            return;
        }
        settle(entry, ReservationUpdate::NotOwner);
    }

    void readBack(const PendingWritePtr &entry)
    {
        table_.read(reservationTable, entry->operation.key, [self = shared_from_this(), entry](ReadResult result) {
            switch (result.status) {
            case ReadStatus::Found:
                self->decide(entry, std::move(result.row));
                return;
            case ReadStatus::Absent:
                self->decide(entry, std::nullopt);
                return;
            case ReadStatus::Unavailable:
                self->retryLater(entry, [self, entry] { self->readBack(entry); });
                return;
            }
        });
    }

    void retryLater(const PendingWritePtr &entry, std::function<void()> retry)
    {
        if (Clock::now() + retryDelay >= entry->deadline) {
            settleUnavailable(entry, "the table service did not confirm the claim in time");
            return;
        }
        after(retryDelay, std::move(retry));
    }

    void after(std::chrono::nanoseconds delay, std::function<void()> function)
    {
        auto timer = std::make_shared<asio::steady_timer>(asio::make_strand(executor_), std::chrono::ceil<std::chrono::milliseconds>(delay));
        timer->async_wait([timer, function = std::move(function)](const boost::system::error_code &error) {
            if (!error) {
                function();
            }
        });
    }

    void settleApplied(const PendingWritePtr &entry, std::uint64_t version)
    {
        if (entry->kind == PendingWriteKind::Reserve) {
            settle(entry, ReservationResult {.outcome = ReservationOutcome::Reserved, .version = version});
            return;
        }
        settle(entry, ReservationUpdate::Done);
    }

    void settleUnavailable(const PendingWritePtr &entry, const std::string &detail)
    {
        if (entry->kind != PendingWriteKind::Reserve) {
            settle(entry, ReservationUpdate::Unavailable);
            return;
        }
        if (entry->mayHaveBeenApplied) {
            abandon(entry->request, Clock::now() + cleanupTimeout);
        }
        settle(entry, ReservationResult {.outcome = ReservationOutcome::Unavailable, .detail = detail});
    }

    /// Removes the claim of an attempt that will never be dispatched, so that a resend is not answered "may have run".
    void abandon(const ReservationRequest &request, Clock::time_point deadline)
    {
        if (Clock::now() >= deadline) {
            support::log(support::Severity::Warning, "could not remove an abandoned claim; its key answers may-have-run", {{"attempt", request.attemptId}});
            return;
        }
        table_.read(reservationTable, reservationRowKey(request), [self = shared_from_this(), request, deadline](const ReadResult &result) {
            const bool isOwn = result.status == ReadStatus::Found && resolveReservation(request, result.row).outcome == ReservationOutcome::Reserved;
            if (isOwn) {
                self->submit(makeRelease(request, result.row.version, [self, request, deadline](ReservationUpdate update) {
                    if (update == ReservationUpdate::Unavailable) {
                        self->abandon(request, deadline);
                    }
                }));
                return;
            }
            if (result.status == ReadStatus::Found) {
                return;
            }
            // An absent row can still appear while the commit is under way, so it is looked for until the deadline.
            self->after(std::chrono::seconds(1), [self, request, deadline] { self->abandon(request, deadline); });
        });
    }

    void settle(const PendingWritePtr &entry, ReservationResult result) const
    {
        asio::post(executor_, [entry, result = std::move(result)]() mutable { entry->onReservation(std::move(result)); });
    }

    void settle(const PendingWritePtr &entry, ReservationUpdate update) const
    {
        asio::post(executor_, [entry, update] { entry->onUpdate(update); });
    }

    asio::any_io_executor executor_;
    ReservationBatchOptions options_;
    TableClient table_;
    std::mutex mutex_;
    std::deque<PendingWritePtr> pending_;
    /// What is left of batches with conflicts. New entries do not join them, since each could bring a new conflict.
    std::deque<std::vector<PendingWritePtr>> remainders_;
    Clock::time_point nextCommit_;
    bool isTimerSet_ = false;
};

} // namespace

std::shared_ptr<ReservationBatch> ReservationBatch::create(const asio::any_io_executor &executor, const ReservationBatchOptions &options)
{
    return std::make_shared<TableReservationBatch>(executor, options);
}

} // namespace mulberrywall::backingservices
