#pragma once

#include "Driver.h"

namespace mulberrywall::load
{

/// Carries out the scenario's faults at their times after the start and returns how many tokens the killed engines had
/// produced, since their counts end with them.
///
/// Blocks until the last fault; meant for a thread of its own. No other thread may use the deployment meanwhile.
std::uint64_t injectFaults(harness::Deployment &deployment, const std::vector<Fault> &faults, Routers &routers, Clock::time_point start);

} // namespace mulberrywall::load
