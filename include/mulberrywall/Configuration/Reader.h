#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Error.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::configuration
{

/// Text of a configuration file, and the file name to use in errors.
struct SourceText
{
    std::string_view name;
    std::string_view text;
};

/// Reads and merges the base file and a site's overlay.
///
/// Errors contain an ErrorMessage and an ErrorLocation with file and line.
support::Result<SiteConfiguration> readSite(std::string_view basePath, std::string_view overlayPath);

/// Parses and merges the texts of a base file and a site's overlay. Reports errors like readSite().
support::Result<SiteConfiguration> readSiteText(const SourceText &base, const SourceText &overlay);

/// Reads the base file and the overlays of all sites. Returns the sites ordered by data centre.
///
/// Also checks that no two sites have the same data centre, and that no two endpoints have the same id or address.
support::Result<std::vector<SiteConfiguration>> readSites(std::string_view basePath, std::span<const std::string> overlayPaths);

/// Returns the text of a file, or an error that contains the path.
support::Result<std::string> readFile(std::string_view path);

} // namespace mulberrywall::configuration
