#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Verdict.h"

#include <cstdint>

namespace mulberrywall::router
{

/// What is known when the last running attempt of a request has failed.
struct FailedAttempt
{
    support::Verdict verdict = support::Verdict::MayHaveRun;
    configuration::Idempotency idempotency = configuration::Idempotency::Idempotent;
    /// Tokens that the caller has received, over all attempts.
    std::uint64_t deliveredTokens = 0;
    /// Whether the endpoint of the failed attempt can resume streams.
    bool endpointResumes = false;
    /// Attempts that reached an endpoint since the last one that delivered a token.
    unsigned attemptsWithoutToken = 1;
    unsigned maximumAttempts = 3;
    /// Attempts that made no connection, over the whole request.
    unsigned failedConnections = 0;
};

enum class NextStep : std::uint8_t {
    /// Run the request again from its beginning, if the retry budget allows it.
    Retry,
    /// Continue the stream behind the last delivered token.
    Resume,
    Fail,
};

/// Decides how a request goes on. A non-idempotent request is repeated only when the attempt provably has not run.
NextStep decideNextStep(const FailedAttempt &attempt);

} // namespace mulberrywall::router
