#include "PolicyFixture.h"

#include "mulberrywall/Policy/LengthEstimate.h"

#include <cmath>
#include <random>

namespace mulberrywall::policy
{

// Guards against a running quantile that drifts away from the distribution it observes.
TEST(QuantileEstimateTest, ApproachesTheQuantileAndFollowsAChange)
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> lengths(5.0, 0.5);
    QuantileEstimate estimate {.probability = 0.9};
    for (int i = 0; i < 5'000; ++i) {
        observe(estimate, lengths(random));
    }
    const double expected = std::exp(5.0 + 1.2816 * 0.5);
    EXPECT_NEAR(valueOr(estimate, 0.0), expected, 0.25 * expected);
    for (int i = 0; i < 5'000; ++i) {
        observe(estimate, 10.0 * lengths(random));
    }
    EXPECT_NEAR(valueOr(estimate, 0.0), 10.0 * expected, 2.5 * expected);
}

// Guards against counting long requests only when they end, which hides a burst of them.
TEST(LengthEstimateTest, RunningRequestRaisesTheUpperQuantileOnce)
{
    const LengthTuning tuning;
    LengthEstimates estimates;
    const Submission submission = submissionOf(1, "tier0");
    for (int i = 0; i < 30; ++i) {
        recordFinalLength(estimates, submission, 100, {}, tuning, startTime);
    }
    const double before = valueOr(lengthEstimate(estimates, submission, tuning)->upper, 0.0);
    LengthObservation observation;
    recordRunningLength(estimates, submission, 500, observation, tuning);
    const double after = valueOr(lengthEstimate(estimates, submission, tuning)->upper, 0.0);
    EXPECT_GT(after, before);
    recordRunningLength(estimates, submission, 600, observation, tuning);
    EXPECT_EQ(valueOr(lengthEstimate(estimates, submission, tuning)->upper, 0.0), after);
}

// Guards against using one estimate for organisations with different lengths, and against estimates from few samples.
TEST(LengthEstimateTest, PrefersTheOrganisationOnceItHasEnoughSamples)
{
    const LengthTuning tuning;
    LengthEstimates estimates;
    Submission usual = submissionOf(1, "tier0");
    Submission other = usual;
    other.organisation = support::OrganisationId("other");
    EXPECT_EQ(estimatedWork(estimates, other, tuning), tuning.defaultOutputTokens);
    for (int i = 0; i < 100; ++i) {
        recordFinalLength(estimates, usual, 50, {}, tuning, startTime);
    }
    recordFinalLength(estimates, other, 1'000, {}, tuning, startTime);
    EXPECT_LT(estimatedWork(estimates, other, tuning), 200.0);
    for (int i = 0; i < 20; ++i) {
        recordFinalLength(estimates, other, 1'000, {}, tuning, startTime);
    }
    EXPECT_NEAR(estimatedWork(estimates, other, tuning), 1'000.0, 1.0);
    EXPECT_LT(estimatedWork(estimates, usual, tuning), 60.0);
}

} // namespace mulberrywall::policy
