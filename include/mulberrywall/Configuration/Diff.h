#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <span>
#include <string>
#include <vector>

namespace mulberrywall::configuration
{

/// Returns one line per change between two states of a site, without the revision number.
///
/// Lines start with "+" for a new item, "-" for a removed one and "~" for a changed field, which has both values.
std::vector<std::string> diffSite(const SiteConfiguration &before, const SiteConfiguration &after);

/// Returns one line per change, ended by a line feed and prefixed by the data centre or by "all" when every site of
/// both states has it. The text is empty when nothing differs.
std::string diffSites(std::span<const SiteConfiguration> before, std::span<const SiteConfiguration> after);

} // namespace mulberrywall::configuration
