#include "mulberrywall/BackingServices/KeyReservations.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mulberrywall::backingservices
{

namespace json = boost::json;

/// Returns true if the response can be replayed unchanged: it must have a final status, no body where the status forbids
/// one, and no line break or zero byte in the content type.
static bool isReplayable(const StoredResponse &response)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    const bool isFinal = response.status >= 200 && response.status <= 599;
    const bool mayHaveBody = response.status != noContent && response.status != notModified;
    return isFinal && (mayHaveBody || response.body.empty()) && response.contentType.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos;
}

std::string reservationRowKey(const ReservationRequest &request)
{
    return request.organisation.value() + "/" + request.keyHash;
}

std::string encodeReservation(const KeyReservation &reservation)
{
    json::object object;
    object["attemptId"] = reservation.attemptId;
    object["bodyHash"] = reservation.bodyHash;
    if (reservation.response) {
        object["response"] = json::object {
            {"status", reservation.response->status},
            {"contentType", reservation.response->contentType},
            {"body", reservation.response->body},
        };
    }
    return json::serialize(object);
}

std::optional<KeyReservation> parseReservation(std::string_view text)
{
    try {
        const json::value document = json::parse(json::string_view(text.data(), text.size()));
        const json::object &object = document.as_object();
        KeyReservation reservation {
            .attemptId = std::string(object.at("attemptId").as_string()),
            .bodyHash = std::string(object.at("bodyHash").as_string()),
        };
        if (const json::value *response = object.if_contains("response")) {
            const json::object &members = response->as_object();
            reservation.response = StoredResponse {
                .status = members.at("status").to_number<unsigned>(),
                .contentType = std::string(members.at("contentType").as_string()),
                .body = std::string(members.at("body").as_string()),
            };
            if (!isReplayable(*reservation.response)) {
                return std::nullopt;
            }
        }
        return reservation;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

ReservationResult resolveReservation(const ReservationRequest &request, const Row &row)
{
    const std::optional<KeyReservation> reservation = parseReservation(row.value);
    if (!reservation) {
        return {.outcome = ReservationOutcome::ReservedByOther, .detail = "the claim row cannot be parsed"};
    }
    if (reservation->attemptId == request.attemptId) {
        return {.outcome = ReservationOutcome::Reserved, .version = row.version};
    }
    if (reservation->bodyHash != request.bodyHash) {
        return {.outcome = ReservationOutcome::BodyMismatch};
    }
    if (reservation->response) {
        return {.outcome = ReservationOutcome::Completed, .response = reservation->response};
    }
    return {.outcome = ReservationOutcome::ReservedByOther};
}

} // namespace mulberrywall::backingservices
