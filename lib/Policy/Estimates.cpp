#include "mulberrywall/Policy/Estimates.h"

#include <algorithm>
#include <cmath>

namespace mulberrywall::policy
{

namespace
{

/// Step of the quantile estimate on the logarithmic scale after convergence.
constexpr double minimumStep = 0.05;
constexpr double smallestValue = 1e-6;

double step(const QuantileEstimate &estimate)
{
    return std::max(minimumStep, 1.0 / std::sqrt(static_cast<double>(estimate.samples) + 1.0));
}

} // namespace

void observe(Average &average, double value, TimePoint now, double minimumWeight)
{
    ++average.samples;
    const double weight = std::max(minimumWeight, 1.0 / static_cast<double>(average.samples));
    average.value += weight * (value - average.value);
    average.observedAt = now;
}

bool isFresh(const Average &average, std::uint64_t minimumSamples, std::chrono::milliseconds lifetime, TimePoint now)
{
    return average.samples >= std::max<std::uint64_t>(1, minimumSamples) && now - average.observedAt <= lifetime;
}

void observe(QuantileEstimate &estimate, double value)
{
    const double logarithm = std::log(std::max(value, smallestValue));
    if (estimate.samples == 0) {
        estimate.logValue = logarithm;
        estimate.samples = 1;
        return;
    }
    if (logarithm > estimate.logValue) {
        observeAbove(estimate);
        return;
    }
    if (logarithm < estimate.logValue) {
        estimate.logValue = std::max(logarithm, estimate.logValue - step(estimate) * (1.0 - estimate.probability));
    }
    ++estimate.samples;
}

void observeAbove(QuantileEstimate &estimate)
{
    estimate.logValue += step(estimate) * estimate.probability;
    ++estimate.samples;
}

double valueOr(const QuantileEstimate &estimate, double fallback)
{
    return estimate.samples == 0 ? fallback : std::exp(estimate.logValue);
}

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace mulberrywall::policy
