#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Error.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::configuration
{

/// Text of a configuration file and the name that errors give it.
struct SourceText
{
    std::string_view name;
    std::string_view text;
};

/// Reads the base file and a site's overlay and merges them.
///
/// Errors carry an ErrorMessage and an ErrorLocation with file and line.
support::Result<SiteConfiguration> readSite(std::string_view basePath, std::string_view overlayPath);

/// Merges the text of a base file and of a site's overlay; errors as for readSite.
support::Result<SiteConfiguration> readSiteText(const SourceText &base, const SourceText &overlay);

/// Reads the base file and the overlays of all sites, ordered by data centre.
///
/// Checks in addition that no two sites have the same data centre or share an endpoint id.
support::Result<std::vector<SiteConfiguration>> readSites(std::string_view basePath, std::span<const std::string> overlayPaths);

/// Returns the text of a file, or an error that names it.
support::Result<std::string> readFile(std::string_view path);

} // namespace mulberrywall::configuration
