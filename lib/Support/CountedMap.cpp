#include "mulberrywall/Support/CountedMap.h"

namespace mulberrywall::support
{

static thread_local std::uint64_t stepsOfThread = 0;

std::uint64_t stepCount()
{
    return stepsOfThread;
}

void countSteps(std::uint64_t steps)
{
    stepsOfThread += steps;
}

} // namespace mulberrywall::support
