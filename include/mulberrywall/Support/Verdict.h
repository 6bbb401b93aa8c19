#pragma once

#include <cstdint>
#include <string_view>

namespace mulberrywall::support
{

/// States whether a request may have run at an endpoint.
///
/// NotRun needs proof: no byte of the request was written to an endpoint, or the endpoint refused it
/// authoritatively. Whatever lacks that proof is MayHaveRun.
enum class Verdict : std::uint8_t {
    NotRun,
    MayHaveRun,
    Completed,
};

/// Returns the form used in the outcome header and in problem documents, for example "not-run".
std::string_view toString(Verdict verdict);

/// Returns the verdict of a request whose attempts ended in the two given ones.
Verdict combineVerdicts(Verdict first, Verdict second);

} // namespace mulberrywall::support
