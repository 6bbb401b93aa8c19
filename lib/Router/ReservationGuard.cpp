#include "mulberrywall/Router/ReservationGuard.h"

#include "mulberrywall/Support/Log.h"

#include <utility>

namespace mulberrywall::router
{

using backingservices::ReservationOutcome;
using support::Verdict;

/// Limits the size of a stored row, because a batch of the table service contains up to 128 rows.
static constexpr std::size_t maxStoredBodyBytes = 8 * 1024;
static constexpr std::chrono::milliseconds unavailableRetryAfter {1'000};

bool needsKeyReservation(const CallerRequest &request)
{
    return request.requestClass.idempotency == configuration::Idempotency::NonIdempotent && !request.idempotencyKey.empty();
}

backingservices::ReservationRequest makeReservationRequest(const CallerRequest &request, std::string_view body)
{
    std::string contents(request.upstream.method_string());
    contents += ' ' + request.pool.value() + ' ';
    contents += request.upstream.target();
    contents += '\n';
    contents += body;
    return {
        .organisation = request.organisation.id, .keyHash = hashKey(request.idempotencyKey), .attemptId = request.id.value(), .bodyHash = hashKey(contents)};
}

Verdict verdictOf(ReservationOutcome outcome)
{
    switch (outcome) {
    case ReservationOutcome::Completed:
        return Verdict::Completed;
    case ReservationOutcome::ReservedByOther:
        return Verdict::MayHaveRun;
    case ReservationOutcome::Reserved:
    case ReservationOutcome::BodyMismatch:
    case ReservationOutcome::Unavailable:
        return Verdict::NotRun;
    }
    return Verdict::MayHaveRun;
}

std::string_view toString(ReservationOutcome outcome)
{
    switch (outcome) {
    case ReservationOutcome::Reserved:
        return "claimed";
    case ReservationOutcome::Completed:
        return "replayed";
    case ReservationOutcome::ReservedByOther:
        return "claimed-by-other";
    case ReservationOutcome::BodyMismatch:
        return "key-reused";
    case ReservationOutcome::Unavailable:
        return "claims-unavailable";
    }
    return "unknown";
}

static http::Problem makeReservationProblem(const backingservices::ReservationResult &result)
{
    const Verdict verdict = verdictOf(result.outcome);
    switch (result.outcome) {
    case ReservationOutcome::ReservedByOther:
        return {.status = http::Status::conflict,
            .title = "key in use",
            .detail = "an earlier request with this idempotency key runs or has ended without a stored response; check whether it took effect",
            .verdict = verdict};
    case ReservationOutcome::BodyMismatch:
        return {.status = http::Status::unprocessable_entity,
            .title = "key reused",
            .detail = "this idempotency key was used with another request; send a new key",
            .verdict = verdict};
    case ReservationOutcome::Reserved:
    case ReservationOutcome::Completed:
    case ReservationOutcome::Unavailable:
        break;
    }
    return {.status = http::Status::service_unavailable,
        .title = "claims unavailable",
        .detail = "the idempotency key could not be claimed (" + result.detail + "); send the request again later",
        .verdict = verdict};
}

http::Response makeReservationResponse(const backingservices::ReservationResult &result, const support::RequestId &request)
{
    if (result.outcome == ReservationOutcome::Completed && result.response) {
        http::Response response(static_cast<http::Status>(result.response->status), 11);
        response.set(http::Field::content_type, result.response->contentType);
        response.set(http::header::outcome, support::toString(Verdict::Completed));
        response.set(http::header::requestId, request.value());
        response.body() = result.response->body;
        return response;
    }
    http::Problem problem = makeReservationProblem(result);
    problem.requestId = request.value();
    return http::makeRetryLaterResponse(problem, result.outcome == ReservationOutcome::Unavailable ? unavailableRetryAfter : std::chrono::milliseconds(0));
}

ReservationGuard::ReservationGuard(std::shared_ptr<backingservices::ReservationBatch> batch, backingservices::ReservationRequest request)
    : batch_(std::move(batch)),
      request_(std::move(request))
{
}

void ReservationGuard::reserve(std::function<void(backingservices::ReservationResult)> handler)
{
    batch_->reserve(request_, std::move(handler));
}

bool ReservationGuard::onResult(const backingservices::ReservationResult &result)
{
    isHeld_ = result.outcome == ReservationOutcome::Reserved;
    version_ = result.version;
    return isHeld_;
}

void ReservationGuard::complete(const http::Response &response)
{
    if (!std::exchange(isHeld_, false) || response.body().size() > maxStoredBodyBytes) {
        return;
    }
    const std::string_view contentType = http::fieldValue(response, "Content-Type");
    batch_->completeReservation(request_,
        version_,
        {.status = response.result_int(), .contentType = std::string(contentType), .body = response.body()},
        [attempt = request_.attemptId](backingservices::ReservationUpdate update) {
            if (update != backingservices::ReservationUpdate::Done) {
                support::log(
                    support::Severity::Warning, "response was not stored with its idempotency key; a resent request gets status 409", {{"request", attempt}});
            }
        });
}

void ReservationGuard::release(std::function<void()> handler)
{
    if (!std::exchange(isHeld_, false)) {
        handler();
        return;
    }
    batch_->releaseReservation(request_, version_, [handler = std::move(handler)](backingservices::ReservationUpdate) { handler(); });
}

} // namespace mulberrywall::router
