#pragma once

#include <cstdio>
#include <cstdlib>

namespace mulberrywall::fuzz
{

/// Ends the process, which libFuzzer reports together with the input.
inline void require(bool condition, const char *what)
{
    if (!condition) {
        std::fprintf(stderr, "violated: %s\n", what);
        std::abort();
    }
}

} // namespace mulberrywall::fuzz
