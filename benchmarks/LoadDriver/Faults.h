#pragma once

#include "Driver.h"

namespace mulberrywall::load
{

/// Injects the scenario's faults at their times after the start. Returns the number of tokens that killed engines had
/// produced, since the token counters of an engine are lost when it is killed.
///
/// Blocks until the last fault, so it runs on a thread of its own. No other thread may use the deployment meanwhile.
std::uint64_t injectFaults(harness::Deployment &deployment, const std::vector<Fault> &faults, RouterTargets &routers, Clock::time_point start);

} // namespace mulberrywall::load
