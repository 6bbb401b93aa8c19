#pragma once

#include <string>
#include <string_view>

namespace mulberrywall::support
{

/// Hash of the sources of the program, as `cmake -P cmake/SourceHash.cmake` prints it. The build defines it in each program, not
/// in the libraries, which would all be linked anew after each change.
extern const char *const sourceHash;

/// What a running program was built from. It tells a program that was not built again from one that was.
struct BuildInfo
{
    std::string_view version;
    /// "unknown" in a program that has not called setSourceHash, such as a test.
    std::string_view sources;
    /// Hash of the linked program itself, in hexadecimal. It differs between two programs of the same sources if one of them contains
    /// outdated object files, or if their compilers differ. Empty if the linker wrote none.
    std::string binary;
    std::string_view compiler;
};

/// Records the hash of the program's sources. To be called at the start of the program, before other threads exist.
void setSourceHash(std::string_view hash);

[[nodiscard]] BuildInfo buildInfo();

/// Returns the build on one line, for --version.
[[nodiscard]] std::string describe(const BuildInfo &build);

/// Logs the build, as the first line of a program.
void logBuild();

} // namespace mulberrywall::support
