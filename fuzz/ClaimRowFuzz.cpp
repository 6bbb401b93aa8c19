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

/// Guards against rows that end the process, let a request run twice, or cannot be replayed.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto claim = parseReservation(text);
    const ReservationResult result = resolveReservation(ownRequest, {.key = reservationRowKey(ownRequest), .version = 3, .value = text});
    const bool isOwn = claim && claim->attemptId == ownRequest.attemptId;
    require((result.outcome == ReservationOutcome::Reserved) == isOwn, "only the own claim lets the request run");
    require(result.outcome != ReservationOutcome::Unavailable, "a row decides the claim");
    if (!claim) {
        return 0;
    }
    const auto again = parseReservation(encodeReservation(*claim));
    require(again && *again == *claim, "a claim survives its row");
    if (claim->response) {
        http::Response response(static_cast<http::Status>(claim->response->status), 11);
        response.set(http::Field::content_type, claim->response->contentType);
        response.body() = claim->response->body;
        // Throws for a response that HTTP does not allow.
        response.prepare_payload();
    }
    return 0;
}
