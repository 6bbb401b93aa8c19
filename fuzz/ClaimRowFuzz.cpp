#include "Require.h"

#include "mulberrywall/BackingServices/KeyReservations.h"
#include "mulberrywall/Http/Message.h"

#include <cstdint>

namespace
{

using namespace mulberrywall;
using namespace mulberrywall::backingservices;
using fuzz::require;

const ReservationRequest ownRequest {.organisation = support::OrganisationId("acme"), .keyHash = "k", .attemptId = "a1", .bodyHash = "b1"};

} // namespace

/// Guards against stored key reservations that crash the process, let a request run twice, or hold a response that cannot
/// be replayed.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto reservation = parseReservation(text);
    const ReservationResult result = resolveReservation(ownRequest, {.key = reservationRowKey(ownRequest), .version = 3, .value = text});
    const bool isOwn = reservation && reservation->attemptId == ownRequest.attemptId;
    require((result.outcome == ReservationOutcome::Reserved) == isOwn, "a request runs only if the row is its own key reservation");
    require(result.outcome != ReservationOutcome::Unavailable, "an existing row always decides the outcome of a reservation");
    if (!reservation) {
        return 0;
    }
    const auto decoded = parseReservation(encodeReservation(*reservation));
    require(decoded && *decoded == *reservation, "encoding and parsing a reservation keeps every field");
    if (reservation->response) {
        http::Response response(static_cast<http::Status>(reservation->response->status), 11);
        response.set(http::Field::content_type, reservation->response->contentType);
        response.body() = reservation->response->body;
        // Throws if HTTP does not allow a body in this response.
        response.prepare_payload();
    }
    return 0;
}
