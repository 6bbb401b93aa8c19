#pragma once

#include "mulberrywall/Platform/ClaimBatch.h"
#include "mulberrywall/Router/CallerRequest.h"

#include <functional>
#include <memory>
#include <string_view>

namespace mulberrywall::router
{

/// Returns true for a non-idempotent request with an idempotency key.
bool needsKeyReservation(const CallerRequest &request);

/// Hashes key and request; the attempt id is the request's id, which is unique for each time that a caller sends it.
platform::ClaimRequest makeReservationRequest(const CallerRequest &request);

support::Verdict verdictOf(platform::ClaimOutcome outcome);

/// Returns the name of an outcome for log lines and metrics.
std::string_view toString(platform::ClaimOutcome outcome);

/// Builds the answer to a request that may not be dispatched: the stored response or a problem.
http::Response makeReservationResponse(const platform::ClaimResult &result, const support::RequestId &request);

/// The claim of one request. Not thread-safe; handlers run on the claim batch's executor.
class ReservationGuard
{
public:
    ReservationGuard(std::shared_ptr<platform::ClaimBatch> batch, platform::ClaimRequest request);

    void reserve(std::function<void(platform::ClaimResult)> handler);
    /// Returns true when the request holds its claim and may be dispatched.
    bool onResult(const platform::ClaimResult &result);
    /// Stores a small response for later callers; of a larger one only the fact stays that the key was used.
    void complete(const http::Response &response);
    /// Deletes the claim after a proven NotRun. The handler runs also when nothing is claimed or the table is down.
    void release(std::function<void()> handler);

private:
    std::shared_ptr<platform::ClaimBatch> batch_;
    platform::ClaimRequest request_;
    bool isHeld_ = false;
    std::uint64_t version_ = 0;
};

} // namespace mulberrywall::router
