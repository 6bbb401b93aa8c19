#pragma once

#include <cstdio>
#include <cstdlib>

namespace mulberrywall::fuzz
{

/// Aborts the process if the condition is false, so that libFuzzer reports the input that violated it.
inline void require(bool condition, const char *what)
{
    if (!condition) {
        std::fprintf(stderr, "violated: %s\n", what);
        std::abort();
    }
}

} // namespace mulberrywall::fuzz
