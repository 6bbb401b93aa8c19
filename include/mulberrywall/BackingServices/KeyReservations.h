#pragma once

#include "mulberrywall/BackingServices/TableClient.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Encoding and evaluation of the rows that reserve idempotency keys, without I/O. ReservationBatch stores the rows.
namespace mulberrywall::backingservices
{

inline constexpr std::string_view reservationTable = "claims";

/// Identifies an attempt that must run at most once per idempotency key.
struct ReservationRequest
{
    support::OrganisationId organisation;
    /// Hash of the idempotency key in hexadecimal; becomes part of the row's key.
    std::string keyHash;
    /// Unique for each attempt; identifies the holder of the reservation after a lost response.
    std::string attemptId;
    /// Hash of method, target and body in hexadecimal.
    std::string bodyHash;
};

/// Response that is replayed for later requests with the same key.
struct StoredResponse
{
    unsigned status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

/// Contents of a row that reserves an idempotency key.
struct KeyReservation
{
    std::string attemptId;
    std::string bodyHash;
    std::optional<StoredResponse> response;

    friend bool operator==(const KeyReservation &, const KeyReservation &) = default;
};

enum class ReservationOutcome : std::uint8_t {
    /// This attempt holds the reservation and may be dispatched once.
    Reserved,
    /// An earlier attempt has completed; its response is replayed.
    Completed,
    /// An earlier attempt has reserved the key and no response is stored; the caller gets 409, may have run.
    ReservedByOther,
    /// The key was used with a different request body; the caller gets 422, not run.
    BodyMismatch,
    /// The reservation could not be committed and confirmed in time; the caller gets 503, not run. The attempt must not be
    /// dispatched.
    Unavailable,
};

struct ReservationResult
{
    ReservationOutcome outcome = ReservationOutcome::Unavailable;
    /// Version of the row; set if the outcome is Reserved. Required to complete or release the reservation.
    std::uint64_t version = 0;
    /// Set if the outcome is Completed.
    std::optional<StoredResponse> response;
    std::string detail;
};

/// Returns the key of the row that reserves the request's idempotency key.
std::string reservationRowKey(const ReservationRequest &request);

std::string encodeReservation(const KeyReservation &reservation);

/// Parses a row value. Returns std::nullopt if the text is not a reservation or its stored response cannot be sent.
std::optional<KeyReservation> parseReservation(std::string_view text);

/// Determines the outcome for the request from the existing row.
///
/// A row that cannot be parsed counts as reserved by another attempt, since that attempt may have run.
ReservationResult resolveReservation(const ReservationRequest &request, const Row &row);

} // namespace mulberrywall::backingservices
