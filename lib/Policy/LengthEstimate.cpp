#include "mulberrywall/Policy/LengthEstimate.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

/// Expected remaining output of a request beyond its upper quantile, as a share of the output so far: output lengths have
/// a heavy tail, so that the expected remaining length grows with the length produced.
constexpr double tailShare = 0.5;

LengthEstimate *organisationEstimate(LengthEstimates &estimates, const Submission &submission, const LengthTuning &tuning)
{
    const std::pair key(submission.requestClass, submission.organisation);
    const auto found = estimates.byOrganisation.find(key);
    if (found != estimates.byOrganisation.end()) {
        return &found->second;
    }
    if (estimates.byOrganisation.size() >= tuning.maximumEstimates) {
        return nullptr;
    }
    return &estimates.byOrganisation[key];
}

void recordRunning(LengthEstimate &estimate, double outputTokens, bool &above)
{
    if (!above && estimate.upper.samples > 0 && outputTokens > valueOr(estimate.upper, 0.0)) {
        observeAbove(estimate.upper);
        above = true;
    }
}

void recordFinal(LengthEstimate &estimate, double outputTokens, bool alreadyAbove, TimePoint now)
{
    observe(estimate.mean, outputTokens, now);
    if (!alreadyAbove) {
        observe(estimate.upper, outputTokens);
    }
}

} // namespace

void recordRunningLength(
    LengthEstimates &estimates, const Submission &submission, std::uint64_t outputTokens, LengthObservation &observation, const LengthTuning &tuning)
{
    const auto tokens = static_cast<double>(outputTokens);
    if (LengthEstimate *estimate = organisationEstimate(estimates, submission, tuning)) {
        recordRunning(*estimate, tokens, observation.aboveOrganisation);
    }
    recordRunning(estimates.byClass[submission.requestClass], tokens, observation.aboveClass);
    recordRunning(estimates.pool, tokens, observation.abovePool);
}

void recordFinalLength(LengthEstimates &estimates,
    const Submission &submission,
    std::uint64_t outputTokens,
    const LengthObservation &observation,
    const LengthTuning &tuning,
    TimePoint now)
{
    const double tokens = std::max(1.0, static_cast<double>(outputTokens));
    if (LengthEstimate *estimate = organisationEstimate(estimates, submission, tuning)) {
        recordFinal(*estimate, tokens, observation.aboveOrganisation, now);
    }
    recordFinal(estimates.byClass[submission.requestClass], tokens, observation.aboveClass, now);
    recordFinal(estimates.pool, tokens, observation.abovePool, now);
    observe(estimates.medianWork, workOf(submission, tokens, tuning));
}

const LengthEstimate *lengthEstimate(const LengthEstimates &estimates, const Submission &submission, const LengthTuning &tuning)
{
    const auto enough = [&](const LengthEstimate &estimate) {
        return estimate.mean.samples >= tuning.minimumSamples;
    };
    const auto organisation = estimates.byOrganisation.find({submission.requestClass, submission.organisation});
    if (organisation != estimates.byOrganisation.end() && enough(organisation->second)) {
        return &organisation->second;
    }
    const auto requestClass = estimates.byClass.find(submission.requestClass);
    if (requestClass != estimates.byClass.end() && enough(requestClass->second)) {
        return &requestClass->second;
    }
    return enough(estimates.pool) ? &estimates.pool : nullptr;
}

double expectedRemainingTokens(const LengthEstimate *estimate, std::uint64_t outputTokens, const LengthTuning &tuning)
{
    const auto done = static_cast<double>(outputTokens);
    const double mean = estimate == nullptr ? tuning.defaultOutputTokens : estimate->mean.value;
    if (done < mean) {
        return mean - done;
    }
    const double upper = estimate == nullptr ? mean : valueOr(estimate->upper, mean);
    return done < upper ? upper - done : tailShare * done;
}

double workOf(const Submission &submission, double outputTokens, const LengthTuning &tuning)
{
    return outputTokens + tuning.promptTokenCost * submission.promptTokens;
}

double estimatedWork(const LengthEstimates &estimates, const Submission &submission, const LengthTuning &tuning)
{
    return workOf(submission, expectedRemainingTokens(lengthEstimate(estimates, submission, tuning), 0, tuning), tuning);
}

} // namespace mulberrywall::policy
