#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace mulberrywall::router
{

using ConfigurationSnapshot = std::shared_ptr<const configuration::SiteConfiguration>;

enum class ConfigurationChange : std::uint8_t {
    Accepted,
    /// The revision is not higher than the one in force.
    Stale,
};

/// Holds the configuration in force; its revision only grows. Thread-safe; no other lock is taken while it is held.
class ActiveConfiguration
{
public:
    /// Puts the configuration in force if nothing is in force yet or its revision is higher.
    ConfigurationChange offer(configuration::SiteConfiguration candidate);

    /// Replaces the endpoints of the configuration in force; does nothing before the first configuration.
    void setEndpoints(const std::vector<configuration::Endpoint> &endpoints);

    /// Returns nullptr before the first configuration.
    [[nodiscard]] ConfigurationSnapshot current() const;

private:
    mutable std::mutex mutex_;
    ConfigurationSnapshot current_;
};

} // namespace mulberrywall::router
