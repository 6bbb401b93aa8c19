#pragma once

#include "mulberrywall/Platform/TableClient.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Rows and decisions of idempotency claims, without I/O. ClaimBatch stores them.
namespace mulberrywall::platform
{

inline constexpr std::string_view claimTable = "claims";

/// What a caller wants to run at most once.
struct ClaimRequest
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
struct Claim
{
    std::string attemptId;
    std::string bodyHash;
    std::optional<StoredResponse> response;

    friend bool operator==(const Claim &, const Claim &) = default;
};

enum class ClaimOutcome : std::uint8_t {
    /// The claim is this attempt's; it may be dispatched once.
    Claimed,
    /// An earlier attempt completed; its response is replayed.
    Completed,
    /// An earlier attempt claimed the key and has no stored response; answer 409, may have run.
    ClaimedByOther,
    /// The key was used with another body; answer 422, not run.
    OtherBody,
    /// The claim could not be committed and confirmed in time; answer 503, not run. The attempt must not be dispatched.
    Unavailable,
};

struct ClaimResult
{
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    /// Version of the claim row; set when claimed, needed to complete or release it.
    std::uint64_t version = 0;
    /// Set when completed.
    std::optional<StoredResponse> response;
    std::string detail;
};

/// Returns the row key of a claim.
std::string claimKey(const ClaimRequest &request);

std::string encodeClaim(const Claim &claim);

/// Returns nothing when the text is no claim or its response cannot be sent.
std::optional<Claim> parseClaim(std::string_view text);

/// Decides what the row that the table has means for the request.
///
/// A row that cannot be parsed counts as claimed by another attempt, since that attempt may have run.
ClaimResult resolveClaim(const ClaimRequest &request, const Row &row);

} // namespace mulberrywall::platform
