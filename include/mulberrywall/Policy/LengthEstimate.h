#pragma once

#include "mulberrywall/Policy/Estimates.h"
#include "mulberrywall/Policy/Types.h"

#include <array>
#include <cstdint>
#include <map>
#include <utility>

namespace mulberrywall::policy
{

/// Running estimate of the output length of a group of requests, in tokens.
struct LengthEstimate
{
    Average mean;
    QuantileEstimate upper {.probability = 0.9};
};

/// Length estimates by class and organisation, by class, and for the pool.
struct LengthEstimates
{
    std::map<std::pair<support::ClassId, support::OrganisationId>, LengthEstimate> byOrganisation;
    std::map<support::ClassId, LengthEstimate> byClass;
    LengthEstimate pool;
    /// Median work of completed requests, see workOf.
    QuantileEstimate medianWork {.probability = 0.5};
};

/// Records which estimates have already counted a running request as above their upper quantile.
struct LengthObservation
{
    bool aboveOrganisation = false;
    bool aboveClass = false;
    bool abovePool = false;
};

/// Updates the estimates from a request that is still running, so that long requests count before they end.
void recordRunningLength(
    LengthEstimates &estimates, const Submission &submission, std::uint64_t outputTokens, LengthObservation &observation, const LengthTuning &tuning);

/// Updates the estimates from a completed request; a plain service call counts as one token.
void recordFinalLength(LengthEstimates &estimates,
    const Submission &submission,
    std::uint64_t outputTokens,
    const LengthObservation &observation,
    const LengthTuning &tuning,
    TimePoint now);

/// Returns the most specific estimate with enough samples, or nullptr if there is none.
const LengthEstimate *lengthEstimate(const LengthEstimates &estimates, const Submission &submission, const LengthTuning &tuning);

/// Returns the expected remaining output tokens of a request that has already produced the given number.
double expectedRemainingTokens(const LengthEstimate *estimate, std::uint64_t outputTokens, const LengthTuning &tuning);

/// Returns the work of a request in output tokens: its output and the cost of its prompt.
double workOf(const Submission &submission, double outputTokens, const LengthTuning &tuning);

/// Returns the estimated work of a request that has not started.
double estimatedWork(const LengthEstimates &estimates, const Submission &submission, const LengthTuning &tuning);

} // namespace mulberrywall::policy
