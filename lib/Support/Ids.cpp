#include "mulberrywall/Support/Ids.h"

#include <array>
#include <cstdio>
#include <random>

namespace mulberrywall::support
{

std::string makeRandomId()
{
    thread_local std::random_device device;
    std::array<char, 33> text {};
    for (std::size_t offset = 0; offset < 32; offset += 8) {
        std::snprintf(text.data() + offset, 9, "%08x", device());
    }
    return {text.data(), 32};
}

} // namespace mulberrywall::support
