#pragma once

#include "mulberrywall/Configuration/Model.h"

/// Tiers of classes whose requests come from organisations with a tier of their own.
///
/// The tier of an organisation precedes that of the class but does not replace it: an organisation's short questions stay
/// ahead of its long reports.
namespace mulberrywall::router
{

/// Returns the id of the class that replaces a route's class for organisations with a tier of their own.
support::ClassId classForTier(const support::ClassId &requestClass, support::Tier tier);

/// Adds a copy of each class for each tier that an organisation has, unless it is that of the class, and numbers the tiers
/// of all classes from 0 without gaps.
///
/// The order is by the tier of the organisation first and by that of the class second. Requests of organisations without a
/// tier are ordered as if that of the class were also that of the organisation.
void orderClassesByOrganisationTier(configuration::SiteConfiguration &site);

} // namespace mulberrywall::router
