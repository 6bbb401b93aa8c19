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

/// Estimates by class and organisation, by class, and for the pool.
struct LengthEstimates
{
    std::map<std::pair<support::ClassId, support::OrganisationId>, LengthEstimate> byOrganisation;
    std::map<support::ClassId, LengthEstimate> byClass;
    LengthEstimate pool;
    /// Median over finished requests of their work, see workOf.
    QuantileEstimate medianWork {.probability = 0.5};
};

/// Remembers which estimates have learnt already that a running request lies above their upper quantile.
struct LengthObservation
{
    bool aboveOrganisation = false;
    bool aboveClass = false;
    bool abovePool = false;
};

/// Learns from the tokens of a request that still runs, so that long requests count before they end.
void recordRunningLength(
    LengthEstimates &estimates, const Submission &submission, std::uint64_t outputTokens, LengthObservation &observation, const LengthTuning &tuning);

/// Learns from a request that ran to its end; a plain service call counts as one token.
void recordFinalLength(LengthEstimates &estimates,
    const Submission &submission,
    std::uint64_t outputTokens,
    const LengthObservation &observation,
    const LengthTuning &tuning,
    TimePoint now);

/// Returns the most specific estimate with enough samples, or nullptr when there is none.
const LengthEstimate *lengthEstimate(const LengthEstimates &estimates, const Submission &submission, const LengthTuning &tuning);

/// Returns the expected output tokens of a request that has produced so many already.
double expectedRemainingTokens(const LengthEstimate *estimate, std::uint64_t outputTokens, const LengthTuning &tuning);

/// Returns the work of a request in output tokens: its output and the cost of its prompt.
double workOf(const Submission &submission, double outputTokens, const LengthTuning &tuning);

/// Returns the estimated work of a request that has not started.
double estimatedWork(const LengthEstimates &estimates, const Submission &submission, const LengthTuning &tuning);

} // namespace mulberrywall::policy
