#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::configuration
{

/// An accepted configuration of all sites; immutable once committed.
struct Revision
{
    std::uint64_t number = 0;
    /// Revision that the change was made against; 0 for the first one.
    std::uint64_t basedOn = 0;
    /// Random id of the push that created the revision; tells whose commit took effect after a lost response.
    std::string pushId;
    /// Ordered by data centre; the revision member of each site equals number.
    std::vector<SiteConfiguration> sites;

    friend bool operator==(const Revision &, const Revision &) = default;
};

/// Returns nullptr when the revision has no such site.
const SiteConfiguration *findSite(const Revision &revision, const support::DataCentreId &dataCentre);

/// Renders one site as JSON.
std::string toJson(const SiteConfiguration &site);

/// Renders a revision as JSON; sections that are the same at all sites are written once.
std::string toJson(const Revision &revision);

/// Parses and validates what toJson wrote. Unknown members are ignored, since a newer release may have written them.
support::Result<SiteConfiguration> siteFromJson(std::string_view text);

/// Parses and validates what toJson wrote. Unknown members are ignored, since a newer release may have written them.
support::Result<Revision> revisionFromJson(std::string_view text);

} // namespace mulberrywall::configuration
