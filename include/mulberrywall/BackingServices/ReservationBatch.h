#pragma once

#include "mulberrywall/BackingServices/KeyReservations.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace mulberrywall::backingservices
{

struct ReservationBatchOptions
{
    BackingServiceOptions service;
    /// Rows of one commit.
    std::size_t maxRows = 128;
    /// Least time between two commits of a router. Ten routers at this interval stay below 500 writes a second.
    std::chrono::milliseconds interval {20};
    /// Longest time until a claim is decided; also bounds completions and releases.
    std::chrono::milliseconds timeout {1'500};
    /// Entries waiting for a commit; more are refused as unavailable.
    std::size_t maxPending = 8'192;
};

/// Outcome of a completion or a release.
enum class ReservationUpdate : std::uint8_t {
    Done,
    /// The row is not, or no longer, that of the attempt; nothing was changed.
    NotOwner,
    /// It could not be confirmed; the claim may stay as it was, which blocks the key but runs nothing twice.
    Unavailable,
};

/// Commits claims, completions and releases of a router in batches.
///
/// Thread-safe. Each handler runs once, without a lock held, on the executor. Its mutex is ReservationBatch of the lock order.
class ReservationBatch
{
public:
    static std::shared_ptr<ReservationBatch> create(const boost::asio::any_io_executor &executor, const ReservationBatchOptions &options);

    ReservationBatch() = default;
    ReservationBatch(const ReservationBatch &) = delete;
    ReservationBatch &operator=(const ReservationBatch &) = delete;
    ReservationBatch(ReservationBatch &&) = delete;
    ReservationBatch &operator=(ReservationBatch &&) = delete;
    virtual ~ReservationBatch() = default;

    /// Claims the key before the attempt is dispatched. A lost response is resolved by reading the row back.
    virtual void reserve(ReservationRequest request, std::function<void(ReservationResult)> handler) = 0;
    /// Stores the response of a claim that this attempt holds at the given version.
    virtual void completeReservation(
        const ReservationRequest &request, std::uint64_t version, StoredResponse response, std::function<void(ReservationUpdate)> handler)
        = 0;
    /// Deletes the claim that this attempt holds at the given version, after a proven NotRun.
    virtual void releaseReservation(const ReservationRequest &request, std::uint64_t version, std::function<void(ReservationUpdate)> handler) = 0;
};

} // namespace mulberrywall::backingservices
