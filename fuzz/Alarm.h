#pragma once

#include <csignal>

namespace mulberrywall::fuzz
{

/// Lets a system call that waits go on after libFuzzer's alarm, which would otherwise end it with an error. The alarm and the time limit
/// for an input stay in force.
inline void restartCallsAfterAlarm()
{
    struct sigaction action = {};
    ::sigaction(SIGALRM, nullptr, &action);
    action.sa_flags |= SA_RESTART;
    ::sigaction(SIGALRM, &action, nullptr);
}

} // namespace mulberrywall::fuzz
