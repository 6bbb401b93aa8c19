#include "mulberrywall/Support/Heap.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace mulberrywall::support
{

void returnFreedMemory()
{
#ifdef __GLIBC__
    // Blocks of this size are mapped and unmapped one by one. Setting it also disables its growth with the size of freed blocks.
    constexpr int mapThresholdBytes = 128 * 1024;
    constexpr int trimThresholdBytes = 1024 * 1024;
    constexpr int maxArenas = 2;
    ::mallopt(M_MMAP_THRESHOLD, mapThresholdBytes);
    ::mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
    ::mallopt(M_ARENA_MAX, maxArenas);
#endif
}

} // namespace mulberrywall::support
