#pragma once

#include "mulberrywall/Configuration/Revision.h"
#include "mulberrywall/Support/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberrywall::configuration
{

/// Renders the changes from one revision to a later one as JSON, with a checksum of the later revision.
///
/// Returns std::nullopt if the two revisions do not have the same sites; a delta cannot express this.
std::optional<std::string> renderDelta(const Revision &before, const Revision &after);

/// Applies a delta and returns the later revision. Returns an error if the delta is malformed, is based on another revision
/// or has a wrong checksum.
support::Result<Revision> applyDelta(const Revision &before, std::string_view delta);

} // namespace mulberrywall::configuration
