#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Error.h"

#include <functional>
#include <span>
#include <string_view>

namespace mulberrywall::configuration
{

/// Names a field of a configuration, for example section "classes", id "interactive", field "tier".
struct FieldPath
{
    std::string_view section;
    std::string_view id;
    std::string_view field;
};

/// Returns where a field was written; the location is empty for a configuration that came from no file.
using Locator = std::function<support::ErrorLocation(const FieldPath &)>;

/// Checks references, unique ids and the rules that span several fields. Ranges of single fields are the reader's.
support::Result<void> validate(const SiteConfiguration &configuration, const Locator &locate);

/// Checks that no two sites have the same data centre or share an endpoint id or address.
support::Result<void> validateSites(std::span<const SiteConfiguration> sites);

} // namespace mulberrywall::configuration
