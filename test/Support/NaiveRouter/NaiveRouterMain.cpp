#include "Naive/NaivePolicy.h"

#include "mulberrywall/Router/RouterProgram.h"

namespace
{

using namespace mulberrywall;

/// Retries every error before the first token, even if the request may have run. Fails the request
/// once the maximum number of attempts is reached.
router::NextStep retryAnyError(const router::FailedAttempt &attempt)
{
    const bool mayRetry = attempt.deliveredTokens == 0 && attempt.attemptsWithoutToken < attempt.maximumAttempts;
    return mayRetry ? router::NextStep::Retry : router::NextStep::Fail;
}

} // namespace

int main(int argc, char **argv)
{
    const router::RouterProgram program {
        .name = "naive-router",
        .description = "baseline for comparisons: FIFO queue, round-robin endpoint selection, retries of every error",
        .policy = naive::naivePolicy(),
        .decideNextStep = retryAnyError,
        .cooperation = router::Cooperation::Standalone,
    };
    return router::runRouterProgram(program, argc, argv);
}
