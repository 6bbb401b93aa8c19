#pragma once

#include "mulberrywall/Policy/PolicyFunctions.h"

namespace mulberrywall::naive
{

/// Returns the functions of a baseline policy for tests and benchmarks: one FIFO queue that rejects
/// new requests when it is full, and round-robin selection among endpoints with a fixed number of
/// slots. It has no tiers, wait estimates or crash quarantine.
const policy::PolicyFunctions &naivePolicy();

} // namespace mulberrywall::naive
