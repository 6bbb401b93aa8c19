#pragma once

#include "mulberrywall/Policy/Autoscaling.h"

/// Orders of a pool's cells and what became of them.
namespace mulberrywall::policy
{

/// Price of an endpoint of the cell for one second, or nothing if none can be ordered there.
[[nodiscard]] std::optional<double> priceOf(const CapacitySpec &spec, const CapacityCell &cell);

/// Compares the registered endpoints with what was ordered: finds endpoints that were lost, reclaimed, or did not come.
void updateCells(PoolCapacityState &pool, const PoolCapacityInputs &inputs, const CapacityTuning &tuning, TimePoint now);

/// Endpoints that were ordered and are expected to register.
[[nodiscard]] unsigned startingEndpoints(const CapacityCellState &cell, TimePoint now);

/// Endpoints that serve and will go on to: without those that a decrease has yet to remove.
[[nodiscard]] unsigned lastingEndpoints(const CapacityCellState &cell, TimePoint now);

/// Whether an order of the kind recently had no effect in any data centre.
[[nodiscard]] bool isDoubtful(const PoolCapacityState &pool, bool spot, const CapacityTuning &tuning, TimePoint now);

/// Whether the cell may be ordered now.
[[nodiscard]] bool mayOrder(const CapacityCellState &cell, TimePoint now);

} // namespace mulberrywall::policy
