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
    /// Maximum number of rows in one commit.
    std::size_t maxRows = 128;
    /// Minimum time between two commits of a router. Ten routers with this interval stay below 500 writes per second.
    std::chrono::milliseconds interval {20};
    /// Maximum time until a reservation is granted or rejected; also applies to completions and releases.
    std::chrono::milliseconds timeout {1'500};
    /// Maximum number of writes that wait for a commit; further ones end at once with Unavailable.
    std::size_t maxPending = 8'192;
};

/// Outcome of completing or releasing a reservation.
enum class ReservationUpdate : std::uint8_t {
    Done,
    /// The row does not, or no longer, belong to the attempt; nothing was changed.
    NotOwner,
    /// The change could not be confirmed. The reservation may be unchanged, which blocks the key but runs no request twice.
    Unavailable,
};

/// Commits a router's key reservations, their completions and their releases in batches.
///
/// Thread-safe. Each handler runs once, on the executor, while no lock is held. In the lock order, its mutex is called
/// ReservationBatch.
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

    /// Reserves the key before the attempt is dispatched. If the response of the table service is lost, the row is read back
    /// to find out whether the reservation took effect.
    virtual void reserve(ReservationRequest request, std::function<void(ReservationResult)> handler) = 0;
    /// Stores the response in the reservation that this attempt holds at the given row version.
    virtual void completeReservation(
        const ReservationRequest &request, std::uint64_t version, StoredResponse response, std::function<void(ReservationUpdate)> handler)
        = 0;
    /// Deletes the reservation that this attempt holds at the given row version, after a confirmed NotRun.
    virtual void releaseReservation(const ReservationRequest &request, std::uint64_t version, std::function<void(ReservationUpdate)> handler) = 0;
};

} // namespace mulberrywall::backingservices
