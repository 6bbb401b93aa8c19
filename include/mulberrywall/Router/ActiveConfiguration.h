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
    /// The candidate was ignored, because its revision is not higher than the one in force.
    Stale,
};

/// Holds the configuration in force. Its revision never decreases. Thread-safe; takes no other lock
/// while it holds its mutex.
class ActiveConfiguration
{
public:
    /// Puts the candidate in force if there is no configuration yet or if its revision is higher than
    /// the current one.
    ConfigurationChange offer(configuration::SiteConfiguration candidate);

    /// Replaces the endpoints of the configuration in force; does nothing before the first
    /// configuration.
    void setEndpoints(const std::vector<configuration::Endpoint> &endpoints);

    /// Returns the configuration in force, or nullptr before the first one.
    [[nodiscard]] ConfigurationSnapshot current() const;

private:
    mutable std::mutex mutex_;
    ConfigurationSnapshot current_;
};

} // namespace mulberrywall::router
