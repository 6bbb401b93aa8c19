#pragma once

#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Router/RetryDecision.h"

#include <cstdint>
#include <string>

namespace mulberrywall::router
{

enum class Cooperation : std::uint8_t {
    /// The router shares pools with other routers and uses the platform.
    WithPeers,
    /// The router owns all pools of its configuration and uses neither peers nor the platform; for
    /// comparisons.
    Standalone,
};

/// Parameters in which the router programs differ.
struct RouterProgram
{
    std::string name;
    std::string description;
    const policy::PolicyFunctions &policy;
    NextStep (*decideNextStep)(const FailedAttempt &) = router::decideNextStep;
    Cooperation cooperation = Cooperation::WithPeers;
};

/// Parses the settings and serves until a termination signal; returns the exit code of the process.
int runRouterProgram(const RouterProgram &program, int argc, char **argv);

} // namespace mulberrywall::router
