#pragma once

#include "mulberrywall/BackingServices/TableClient.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Rows and decisions of idempotency claims, without I/O. ReservationBatch stores them.
namespace mulberrywall::backingservices
{

inline constexpr std::string_view reservationTable = "claims";

/// What a caller wants to run at most once.
struct ReservationRequest
{
    support::OrganisationId organisation;
    /// Hash of the idempotency key in hexadecimal; becomes part of the row's key.
    std::string keyHash;
    /// Unique for each attempt; tells after a lost response whose claim took effect.
    std::string attemptId;
    /// Hash of method, target and body in hexadecimal.
    std::string bodyHash;
};

/// Response that is replayed to later callers with the same key.
struct StoredResponse
{
    unsigned status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

/// Contents of a claim row.
struct KeyReservation
{
    std::string attemptId;
    std::string bodyHash;
    std::optional<StoredResponse> response;

    friend bool operator==(const KeyReservation &, const KeyReservation &) = default;
};

enum class ReservationOutcome : std::uint8_t {
    /// The claim is this attempt's; it may be dispatched once.
    Reserved,
    /// An earlier attempt completed; its response is replayed.
    Completed,
    /// An earlier attempt claimed the key and has no stored response; answer 409, may have run.
    ReservedByOther,
    /// The key was used with another body; answer 422, not run.
    BodyMismatch,
    /// The claim could not be committed and confirmed in time; answer 503, not run. The attempt must not be dispatched.
    Unavailable,
};

struct ReservationResult
{
    ReservationOutcome outcome = ReservationOutcome::Unavailable;
    /// Version of the claim row; set when claimed, needed to complete or release it.
    std::uint64_t version = 0;
    /// Set when completed.
    std::optional<StoredResponse> response;
    std::string detail;
};

/// Returns the row key of a claim.
std::string reservationRowKey(const ReservationRequest &request);

std::string encodeReservation(const KeyReservation &claim);

/// Returns nothing when the text is no claim or its response cannot be sent.
std::optional<KeyReservation> parseReservation(std::string_view text);

/// Decides what the row that the table has means for the request.
///
/// A row that cannot be parsed counts as claimed by another attempt, since that attempt may have run.
ReservationResult resolveReservation(const ReservationRequest &request, const Row &row);

} // namespace mulberrywall::backingservices
