#include "mulberrywall/Router/ActiveConfiguration.h"

#include "mulberrywall/Configuration/LookupIndex.h"

#include <utility>

namespace mulberrywall::router
{

ConfigurationChange ActiveConfiguration::offer(configuration::SiteConfiguration candidate)
{
    candidate.index = configuration::makeLookupIndex(candidate);
    auto snapshot = std::make_shared<const configuration::SiteConfiguration>(std::move(candidate));
    const std::scoped_lock lock(mutex_);
    if (current_ && snapshot->revision <= current_->revision) {
        return ConfigurationChange::Stale;
    }
    current_ = std::move(snapshot);
    return ConfigurationChange::Accepted;
}

void ActiveConfiguration::setEndpoints(const std::vector<configuration::Endpoint> &endpoints)
{
    const std::scoped_lock lock(mutex_);
    if (!current_) {
        return;
    }
    configuration::SiteConfiguration changed = *current_;
    changed.endpoints = endpoints;
    current_ = std::make_shared<const configuration::SiteConfiguration>(std::move(changed));
}

ConfigurationSnapshot ActiveConfiguration::current() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

} // namespace mulberrywall::router
