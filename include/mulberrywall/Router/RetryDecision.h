#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Verdict.h"

#include <cstdint>

namespace mulberrywall::router
{

/// State of a request after its last running attempt has failed.
struct FailedAttempt
{
    support::Verdict verdict = support::Verdict::MayHaveRun;
    configuration::Idempotency idempotency = configuration::Idempotency::Idempotent;
    /// Number of tokens that all attempts together have delivered to the caller.
    std::uint64_t deliveredTokens = 0;
    /// True if the request or the endpoint of the failed attempt allows the stream to be resumed.
    bool endpointResumes = false;
    /// Number of attempts that connected to an endpoint since a token was last delivered.
    unsigned attemptsWithoutToken = 1;
    unsigned maximumAttempts = 3;
    /// Number of attempts of the request that could not connect.
    unsigned failedConnections = 0;
};

enum class NextStep : std::uint8_t {
    /// Run the request again from the start, if the retry budget allows it.
    Retry,
    /// Continue the stream after the last delivered token.
    Resume,
    Fail,
};

/// Decides how to continue a request. A non-idempotent request is repeated only if the failed attempt
/// certainly has not run.
NextStep decideNextStep(const FailedAttempt &attempt);

} // namespace mulberrywall::router
