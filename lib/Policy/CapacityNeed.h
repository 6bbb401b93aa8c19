#pragma once

#include "mulberrywall/Policy/Autoscaling.h"

/// Number of endpoints that the demand needs.
namespace mulberrywall::policy
{

/// Endpoints of the pool over all cells.
struct CapacityTotals
{
    unsigned ready = 0;
    unsigned starting = 0;
    /// Ready endpoints where none can be ordered.
    unsigned fixed = 0;
    bool servesSpot = false;
    /// Whether further spot endpoints can probably be had.
    bool mayOrderSpot = false;
};

[[nodiscard]] CapacityTotals totalsOf(const PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTuning &tuning, TimePoint now);

/// Records the demand and whether requests are refused or wait for long.
void recordNeed(PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTotals &totals, const CapacityTuning &tuning, TimePoint now);

/// Endpoints that are needed, without fixed ones.
struct Requirement
{
    unsigned total = 0;
    /// The total without a reserve of cheap endpoints.
    unsigned withoutReserve = 0;
    /// Endpoints that must remain after the loss of any data centre.
    unsigned afterLoss = 0;
};

/// Returns the endpoints that the recorded demand requires, and updates the figures.
[[nodiscard]] Requirement requirementOf(
    PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTotals &totals, const CapacityTuning &tuning, TimePoint now);

/// Whether the demand of all routers has been known for a whole window.
[[nodiscard]] bool isDemandKnown(const PoolCapacityState &pool, const CapacityTuning &tuning, TimePoint now);

/// Whether a decrease is justified by what is known of the demand.
[[nodiscard]] bool mayDecrease(const PoolCapacityState &pool, const CapacityTuning &tuning, TimePoint now);

} // namespace mulberrywall::policy
