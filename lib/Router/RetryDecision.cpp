#include "mulberrywall/Router/RetryDecision.h"

namespace mulberrywall::router
{

using configuration::Idempotency;
using support::Verdict;

/// Each failed connection excludes one endpoint; after this many the pool is in more trouble than a retry can solve.
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
    // A refused resume says nothing about the endpoint that produced the tokens so far, which was checked before.
    return attempt.endpointResumes || attempt.verdict == Verdict::NotRun ? NextStep::Resume : NextStep::Fail;
}

} // namespace mulberrywall::router
