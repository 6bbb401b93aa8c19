#include "mulberrywall/Support/BuildInfo.h"

#include "mulberrywall/Support/Log.h"

#include <array>
#include <cstddef>
#include <cstdio>
#include <cstring>
#include <span>

#include <elf.h>
#include <link.h>

namespace mulberrywall::support
{

namespace
{

std::string_view &recordedSourceHash()
{
    static std::string_view hash = "unknown";
    return hash;
}

std::string toHexadecimal(std::span<const std::byte> bytes)
{
    std::string text;
    for (const std::byte value : bytes) {
        std::array<char, 3> digits {};
        std::snprintf(digits.data(), digits.size(), "%02x", std::to_integer<unsigned>(value));
        text += digits.data();
    }
    return text;
}

/// Returns the size with the padding that follows names and descriptors of notes.
std::size_t padded(std::size_t size)
{
    constexpr std::size_t alignment = 4;
    return (size + alignment - 1) / alignment * alignment;
}

/// Returns the content of the first note with the linker's build id, or an empty span.
std::span<const std::byte> findBuildId(std::span<const std::byte> notes)
{
    while (notes.size() >= sizeof(ElfW(Nhdr))) {
        ElfW(Nhdr) header {};
        std::memcpy(&header, notes.data(), sizeof(header));
        const std::size_t content = sizeof(header) + padded(header.n_namesz);
        const std::size_t end = content + padded(header.n_descsz);
        if (end > notes.size()) {
            return {};
        }
        if (header.n_type == NT_GNU_BUILD_ID) {
            return notes.subspan(content, header.n_descsz);
        }
        notes = notes.subspan(end);
    }
    return {};
}

/// Stores the build id of the first loaded object, which is the program itself, and ends the iteration.
int storeBuildId(dl_phdr_info *object, std::size_t /*size*/, void *result)
{
    for (const ElfW(Phdr) & segment : std::span(object->dlpi_phdr, object->dlpi_phnum)) {
        if (segment.p_type != PT_NOTE) {
            continue;
        }
        const auto *notes = reinterpret_cast<const std::byte *>(object->dlpi_addr + segment.p_vaddr); // NOLINT(performance-no-int-to-ptr)
        const std::span<const std::byte> id = findBuildId({notes, segment.p_memsz});
        if (!id.empty()) {
            *static_cast<std::string *>(result) = toHexadecimal(id);
            break;
        }
    }
    return 1;
}

} // namespace

void setSourceHash(std::string_view hash)
{
    recordedSourceHash() = hash;
}

BuildInfo buildInfo()
{
    std::string binary;
    ::dl_iterate_phdr(storeBuildId, &binary);
    return {.version = MULBERRYWALL_VERSION, .sources = recordedSourceHash(), .binary = std::move(binary), .compiler = __VERSION__};
}

std::string describe(const BuildInfo &build)
{
    return std::string(build.version) + " (sources " + std::string(build.sources) + ", binary " + build.binary + ", compiler " + std::string(build.compiler)
        + ")";
}

void logBuild()
{
    const BuildInfo build = buildInfo();
    log(Severity::Info, "starting", {{"version", build.version}, {"sources", build.sources}, {"binary", build.binary}, {"compiler", build.compiler}});
}

} // namespace mulberrywall::support
