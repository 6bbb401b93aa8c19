#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::configuration
{

/// An accepted configuration of all sites; immutable after the commit.
struct Revision
{
    std::uint64_t number = 0;
    /// Number of the preceding revision, to which the change was applied; 0 for the first revision.
    std::uint64_t basedOn = 0;
    /// Random id of the push that created the revision; shows after a lost response which push took effect.
    std::string pushId;
    /// Ordered by data centre. SiteConfiguration::revision of each site equals number.
    std::vector<SiteConfiguration> sites;

    friend bool operator==(const Revision &, const Revision &) = default;
};

/// Returns the configuration of the site in the given data centre, or nullptr.
const SiteConfiguration *findSite(const Revision &revision, const support::DataCentreId &dataCentre);

/// Renders one site as JSON.
std::string toJson(const SiteConfiguration &site);

/// Renders a revision as JSON. Sections that are identical at all sites are written only once.
std::string toJson(const Revision &revision);

/// Parses and validates the JSON of one site. Unknown members are ignored, since a newer release may have written them.
support::Result<SiteConfiguration> siteFromJson(std::string_view text);

/// Parses and validates the JSON of a revision. Unknown members are ignored, since a newer release may have written them.
support::Result<Revision> revisionFromJson(std::string_view text);

} // namespace mulberrywall::configuration
