#include "mulberrywall/BackingServices/KeyReservations.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mulberrywall::backingservices
{

namespace json = boost::json;

/// A response with another status, or with a line end in a header field, cannot be replayed as it was.
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

std::string encodeReservation(const KeyReservation &claim)
{
    json::object object;
    object["attemptId"] = claim.attemptId;
    object["bodyHash"] = claim.bodyHash;
    if (claim.response) {
        object["response"] = json::object {
            {"status", claim.response->status},
            {"contentType", claim.response->contentType},
            {"body", claim.response->body},
        };
    }
    return json::serialize(object);
}

std::optional<KeyReservation> parseReservation(std::string_view text)
{
    try {
        const json::value document = json::parse(json::string_view(text.data(), text.size()));
        const json::object &object = document.as_object();
        KeyReservation claim {
            .attemptId = std::string(object.at("attemptId").as_string()),
            .bodyHash = std::string(object.at("bodyHash").as_string()),
        };
        if (const json::value *response = object.if_contains("response")) {
            const json::object &members = response->as_object();
            claim.response = StoredResponse {
                .status = members.at("status").to_number<unsigned>(),
                .contentType = std::string(members.at("contentType").as_string()),
                .body = std::string(members.at("body").as_string()),
            };
            if (!isReplayable(*claim.response)) {
                return std::nullopt;
            }
        }
        return claim;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

ReservationResult resolveReservation(const ReservationRequest &request, const Row &row)
{
    const std::optional<KeyReservation> claim = parseReservation(row.value);
    if (!claim) {
        return {.outcome = ReservationOutcome::ReservedByOther, .detail = "the claim row cannot be parsed"};
    }
    if (claim->attemptId == request.attemptId) {
        return {.outcome = ReservationOutcome::Reserved, .version = row.version};
    }
    if (claim->bodyHash != request.bodyHash) {
        return {.outcome = ReservationOutcome::BodyMismatch};
    }
    if (claim->response) {
        return {.outcome = ReservationOutcome::Completed, .response = claim->response};
    }
    return {.outcome = ReservationOutcome::ReservedByOther};
}

} // namespace mulberrywall::backingservices
