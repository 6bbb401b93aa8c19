#pragma once

#include <cstdint>
#include <string_view>

namespace mulberrywall::support
{

/// States whether a request may have run at an endpoint.
///
/// NotRun requires confirmation: either no byte of the request was written to an endpoint, or the endpoint refused the
/// request authoritatively. Without such a confirmation the verdict is MayHaveRun.
enum class Verdict : std::uint8_t {
    NotRun,
    MayHaveRun,
    Completed,
};

/// Returns the value used in the outcome header and in problem documents, for example "not-run".
std::string_view toString(Verdict verdict);

/// Returns the verdict of a request from the verdicts of two of its attempts: the one that implies more execution.
Verdict combineVerdicts(Verdict first, Verdict second);

} // namespace mulberrywall::support
