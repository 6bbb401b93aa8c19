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

/// Delay before a read-back or a commit that was not applied is retried.
constexpr std::chrono::milliseconds retryDelay {50};
/// Time limit for removing an abandoned reservation. After it the row stays, and requests with its key are answered "may
/// have run".
constexpr std::chrono::seconds cleanupTimeout {30};

enum class PendingWriteKind : std::uint8_t {
    Reserve,
    Complete,
    Release,
};

/// A row change and the handler that waits for its result.
struct PendingWrite
{
    PendingWriteKind kind = PendingWriteKind::Reserve;
    ReservationRequest request;
    WriteOperation operation;
    Clock::time_point deadline;
    /// An earlier commit of this write may have been applied, or may still be applied.
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

    /// Queues a write again, regardless of maxPending.
    void resubmit(const PendingWritePtr &entry)
    {
        {
            const std::lock_guard lock(mutex_);
            pending_.push_back(entry);
        }
        flush();
    }

    /// Commits the next batch, or starts a timer for it if the minimum interval since the previous commit has not passed.
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
        runAfter(wait, [self = shared_from_this()] {
            {
                const std::lock_guard lock(self->mutex_);
                self->isTimerSet_ = false;
            }
            self->flush();
        });
    }

    /// Removes the next batch from the queue. A commit may contain each key only once, so that further writes of the same key
    /// wait for the next batch. The mutex must be held.
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

    /// Handles a commit of which nothing was applied: writes in conflict are resolved by the existing row, the others are
    /// committed again.
    void onConflict(const std::vector<PendingWritePtr> &batch, const CommitResult &result)
    {
        std::vector<bool> isConflicting(batch.size());
        for (const CommitConflict &conflict : result.conflicts) {
            if (conflict.operation < batch.size() && !isConflicting[conflict.operation]) {
                isConflicting[conflict.operation] = true;
                resolve(batch[conflict.operation], conflict.current);
            }
        }
        std::vector<PendingWritePtr> remainder;
        for (std::size_t index = 0; index < batch.size(); ++index) {
            if (!isConflicting[index]) {
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

    /// Determines the result of a write from the row that the table has now.
    void resolve(const PendingWritePtr &entry, const std::optional<Row> &current)
    {
        switch (entry->kind) {
        case PendingWriteKind::Reserve:
            if (!current) {
                // Either the row was deleted in the meantime or the commit whose response was lost has not been applied.
                retryLater(entry, [self = shared_from_this(), entry] { self->resubmit(entry); });
                return;
            }
            settle(entry, resolveReservation(entry->request, *current));
            return;
        case PendingWriteKind::Complete:
            resolveUpdate(entry, current, current && current->value == entry->operation.value);
            return;
        case PendingWriteKind::Release:
            // This attempt holds the row at this version and no other attempt deletes it, so an absent row means success.
            resolveUpdate(entry, current, !current);
            return;
        }
    }

    void resolveUpdate(const PendingWritePtr &entry, const std::optional<Row> &current, bool isApplied)
    {
        if (isApplied) {
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
                self->resolve(entry, std::move(result.row));
                return;
            case ReadStatus::Absent:
                self->resolve(entry, std::nullopt);
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
        runAfter(retryDelay, std::move(retry));
    }

    void runAfter(std::chrono::nanoseconds delay, std::function<void()> function)
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
            removeAbandoned(entry->request, Clock::now() + cleanupTimeout);
        }
        settle(entry, ReservationResult {.outcome = ReservationOutcome::Unavailable, .detail = detail});
    }

    /// Removes the reservation of an attempt that will never be dispatched, so that a repeated request is not answered "may
    /// have run".
    void removeAbandoned(const ReservationRequest &request, Clock::time_point deadline)
    {
        if (Clock::now() >= deadline) {
            support::log(support::Severity::Warning,
                "could not remove an abandoned key reservation; requests with its key are answered may-have-run",
                {{"attempt", request.attemptId}});
            return;
        }
        table_.read(reservationTable, reservationRowKey(request), [self = shared_from_this(), request, deadline](const ReadResult &result) {
            const bool isOwn = result.status == ReadStatus::Found && resolveReservation(request, result.row).outcome == ReservationOutcome::Reserved;
            if (isOwn) {
                self->submit(makeRelease(request, result.row.version, [self, request, deadline](ReservationUpdate update) {
                    if (update == ReservationUpdate::Unavailable) {
                        self->removeAbandoned(request, deadline);
                    }
                }));
                return;
            }
            if (result.status == ReadStatus::Found) {
                return;
            }
            // The row can still appear while the commit is in progress, so that it is read again until the deadline.
            self->runAfter(std::chrono::seconds(1), [self, request, deadline] { self->removeAbandoned(request, deadline); });
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
    /// Remaining writes of batches that had conflicts. New writes are not added to them, since each could cause a new
    /// conflict.
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
