#pragma once

#include "mulberrywall/Policy/PolicyFunctions.h"

namespace mulberrywall::naive
{

/// Returns a baseline for tests and benchmarks: one FIFO queue that refuses newcomers when full, round robin over
/// endpoints with static slots, no tiers, no estimates and no crash suspects.
const policy::PolicyFunctions &naivePolicy();

} // namespace mulberrywall::naive
