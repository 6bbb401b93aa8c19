#include "mulberrywall/Router/RetryDecision.h"

namespace mulberrywall::router
{

using configuration::Idempotency;
using support::Verdict;

/// Each failed connection excludes one endpoint. After this many, the fault is one of the pool that
/// retries cannot solve.
static constexpr unsigned maximumFailedConnections = 8;

NextStep decideNextStep(const FailedAttempt &attempt)
{
    if (attempt.attemptsWithoutToken >= attempt.maximumAttempts || attempt.failedConnections >= maximumFailedConnections) {
        return NextStep::Fail;
    }
    const bool mayRunAgain = attempt.verdict == Verdict::NotRun || attempt.idempotency == Idempotency::Idempotent;
    if (!mayRunAgain) {
        return NextStep::Fail;
    }
    if (attempt.deliveredTokens == 0) {
        return NextStep::Retry;
    }
    // A resume that was refused does not change whether the stream can be resumed; this was checked
    // when the endpoint that produced the tokens failed.
    return attempt.endpointResumes || attempt.verdict == Verdict::NotRun ? NextStep::Resume : NextStep::Fail;
}

} // namespace mulberrywall::router
