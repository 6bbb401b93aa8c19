#include "mulberrywall/Router/OrganisationTiers.h"

#include <algorithm>
#include <compare>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::router
{

namespace
{

/// Position of a class in the order of tiers.
struct Precedence
{
    support::Tier organisationTier = 0;
    support::Tier classTier = 0;

    friend auto operator<=>(const Precedence &, const Precedence &) = default;
};

std::set<support::Tier> organisationTiers(const configuration::SiteConfiguration &site)
{
    std::set<support::Tier> tiers;
    for (const configuration::Organisation &organisation : site.organisations) {
        if (organisation.tier) {
            tiers.insert(*organisation.tier);
        }
    }
    return tiers;
}

/// Adds the copies that differ in precedence from their originals. Returns the precedence of each class of the site, in the
/// order of the classes.
std::vector<Precedence> addClassCopies(configuration::SiteConfiguration &site)
{
    std::vector<Precedence> precedences;
    for (const configuration::RequestClass &requestClass : site.classes) {
        precedences.push_back({.organisationTier = requestClass.tier, .classTier = requestClass.tier});
    }
    const std::vector<configuration::RequestClass> originals = site.classes;
    for (const support::Tier tier : organisationTiers(site)) {
        for (const configuration::RequestClass &original : originals) {
            if (tier == original.tier) {
                // The original has the same precedence, and routes fall back to it.
                continue;
            }
            configuration::RequestClass copy = original;
            copy.id = classForTier(original.id, tier);
            site.classes.push_back(std::move(copy));
            precedences.push_back({.organisationTier = tier, .classTier = original.tier});
        }
    }
    return precedences;
}

} // namespace

support::ClassId classForTier(const support::ClassId &requestClass, support::Tier tier)
{
    return support::ClassId(requestClass.value() + "/tier-" + std::to_string(tier));
}

void orderClassesByOrganisationTier(configuration::SiteConfiguration &site)
{
    constexpr unsigned lowest = std::numeric_limits<support::Tier>::max();
    const std::vector<Precedence> precedences = addClassCopies(site);
    std::map<Precedence, support::Tier> ranks;
    for (const Precedence &precedence : precedences) {
        ranks.emplace(precedence, 0);
    }
    unsigned rank = 0;
    for (auto &[precedence, tier] : ranks) {
        tier = static_cast<support::Tier>(std::min(rank++, lowest));
    }
    for (std::size_t index = 0; index < site.classes.size(); ++index) {
        site.classes[index].tier = ranks.at(precedences[index]);
    }
}

} // namespace mulberrywall::router
