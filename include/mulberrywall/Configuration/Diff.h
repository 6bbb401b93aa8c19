#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <span>
#include <string>
#include <vector>

namespace mulberrywall::configuration
{

/// Returns one line per change between two configurations of a site. The revision number is not compared.
///
/// Lines start with "+" for a new item, "-" for a removed item and "~" for a changed field with its old and new value.
std::vector<std::string> diffSite(const SiteConfiguration &before, const SiteConfiguration &after);

/// Returns one line per change between two sets of sites. Each line ends with a line feed and starts with the data centre,
/// or with "all" if the change applies to all sites. Returns an empty string if nothing differs.
std::string diffSites(std::span<const SiteConfiguration> before, std::span<const SiteConfiguration> after);

} // namespace mulberrywall::configuration
