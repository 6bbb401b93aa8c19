#pragma once

#include "mulberrywall/BackingServices/ReservationBatch.h"
#include "mulberrywall/Router/CallerRequest.h"

#include <functional>
#include <memory>
#include <string_view>

namespace mulberrywall::router
{

/// Returns true for a non-idempotent request that has an idempotency key.
bool needsKeyReservation(const CallerRequest &request);

/// Builds the reservation from hashes of the key and the request. Its attempt id is the request id,
/// which differs each time that a caller sends the same request.
backingservices::ReservationRequest makeReservationRequest(const CallerRequest &request, std::string_view body);

/// Returns the verdict to report to a caller whose request was not dispatched.
support::Verdict verdictOf(backingservices::ReservationOutcome outcome);

/// Returns the name of an outcome for log lines and metrics.
std::string_view toString(backingservices::ReservationOutcome outcome);

/// Builds the response to a request that must not be dispatched: the stored response or a problem.
http::Response makeReservationResponse(const backingservices::ReservationResult &result, const support::RequestId &request);

/// Holds the key reservation of one request. Not thread-safe; handlers run on the batch's executor.
class ReservationGuard
{
public:
    ReservationGuard(std::shared_ptr<backingservices::ReservationBatch> batch, backingservices::ReservationRequest request);

    void reserve(std::function<void(backingservices::ReservationResult)> handler);
    /// Records the result of reserve(). Returns true if the key is reserved for this request, which may
    /// then be dispatched.
    bool onResult(const backingservices::ReservationResult &result);
    /// Stores the response for resent requests. If it is too large, only the reservation stays, which
    /// records that the key was used.
    void complete(const http::Response &response);
    /// Deletes the reservation of a request that certainly has not run. The handler is also called if
    /// there is no reservation or the table service is unavailable.
    void release(std::function<void()> handler);

private:
    std::shared_ptr<backingservices::ReservationBatch> batch_;
    backingservices::ReservationRequest request_;
    bool isHeld_ = false;
    std::uint64_t version_ = 0;
};

} // namespace mulberrywall::router
