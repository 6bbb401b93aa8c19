#pragma once

#include "mulberrywall/Policy/Types.h"

#include <cstdint>

namespace mulberrywall::policy
{

/// Exponentially weighted mean of a positive quantity.
struct Average
{
    double value = 0.0;
    std::uint64_t samples = 0;
    TimePoint observedAt;
};

/// Adds a value. The first values are averaged with equal weights; later ones have at least the minimum weight. A smaller
/// minimum weight makes the mean steadier, a larger one makes it follow changes faster.
void observe(Average &average, double value, TimePoint now, double minimumWeight = 0.1);

/// Returns whether the mean has at least the given number of samples and the latest one is within the lifetime.
bool isFresh(const Average &average, std::uint64_t minimumSamples, std::chrono::milliseconds lifetime, TimePoint now);

/// Running quantile of a positive quantity by stochastic approximation on a logarithmic scale.
///
/// Unlike the P-square estimator of Boost.Accumulators, it follows a changing distribution and accepts censored
/// observations ("above the current estimate"), which requests that are still running provide.
struct QuantileEstimate
{
    double probability = 0.5;
    double logValue = 0.0;
    std::uint64_t samples = 0;
};

/// Adds a value; values below 1e-6 count as 1e-6.
void observe(QuantileEstimate &estimate, double value);

/// Adds a censored observation: a value that is only known to be above the estimate.
void observeAbove(QuantileEstimate &estimate);

/// Returns the estimated quantile, or the fallback if there are no observations.
double valueOr(const QuantileEstimate &estimate, double fallback);

double secondsBetween(TimePoint from, TimePoint to);

} // namespace mulberrywall::policy
