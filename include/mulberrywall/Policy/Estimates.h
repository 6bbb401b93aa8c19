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

/// Adds a value. The first values are averaged evenly; later ones count with at least the minimum weight, so a
/// smaller one gives a steadier mean and a larger one a fresher mean.
void observe(Average &average, double value, TimePoint now, double minimumWeight = 0.1);

/// Returns whether the mean has enough samples and the last one is recent enough.
bool isFresh(const Average &average, std::uint64_t minimumSamples, std::chrono::milliseconds lifetime, TimePoint now);

/// Running quantile of a positive quantity by stochastic approximation on a logarithmic scale.
///
/// Unlike the P-square estimator of Boost.Accumulators it follows a changing distribution and accepts the partial
/// observation "above the current value", which a request that still runs provides.
struct QuantileEstimate
{
    double probability = 0.5;
    double logValue = 0.0;
    std::uint64_t samples = 0;
};

/// Adds a value; values below 1e-6 count as 1e-6.
void observe(QuantileEstimate &estimate, double value);

/// Adds an observation of which only is known that it lies above the estimate.
void observeAbove(QuantileEstimate &estimate);

/// Returns the estimated quantile, or the fallback without observations.
double valueOr(const QuantileEstimate &estimate, double fallback);

double secondsBetween(TimePoint from, TimePoint to);

} // namespace mulberrywall::policy
