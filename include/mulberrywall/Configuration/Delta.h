#pragma once

#include "mulberrywall/Configuration/Revision.h"
#include "mulberrywall/Support/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace mulberrywall::configuration
{

/// Renders what changed from one revision to a later one, as JSON with a checksum of the later one.
///
/// Returns nothing when the sites themselves differ; the whole revision is needed then.
std::optional<std::string> renderDelta(const Revision &before, const Revision &after);

/// Returns the later revision of a delta. The error names a delta that does not fit or whose checksum is wrong.
support::Result<Revision> applyDelta(const Revision &before, std::string_view delta);

} // namespace mulberrywall::configuration
