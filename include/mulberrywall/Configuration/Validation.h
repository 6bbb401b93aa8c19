#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Error.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace mulberrywall::configuration
{

/// Identifies a field of a configuration, for example section "classes", id "interactive", field "tier".
struct FieldPath
{
    std::string_view section;
    std::string_view id;
    std::string_view field;
};

/// Returns the file and line where a field is set. The location is empty if the configuration was not read from a file.
using Locator = std::function<support::ErrorLocation(const FieldPath &)>;

/// Checks references, the uniqueness of ids, and rules that involve several fields. The ranges of single fields are checked
/// when the fields are parsed.
support::Result<void> validate(const SiteConfiguration &configuration, const Locator &locate);

/// Returns why the number of endpoints cannot be ordered by the specification, or an empty string if it can.
std::string describeScalingProblem(const ScalingSpec &scaling);

/// Checks that no two sites have the same data centre, and that no two endpoints have the same id or address.
support::Result<void> validateSites(std::span<const SiteConfiguration> sites);

} // namespace mulberrywall::configuration
