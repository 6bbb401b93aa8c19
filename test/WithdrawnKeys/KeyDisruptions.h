#pragma once

#include "RouterPair.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::withdrawnkeys
{

enum class DisruptionKind : std::uint8_t {
    /// The process is killed and started again.
    Kill,
    /// The process is stopped as planned and started again.
    Stop,
    /// The process stands still.
    Pause,
    /// The settings file changes, with SIGHUP.
    Reload,
    /// The store does not respond to the router, which gets changes from the other one.
    SilentForOne,
    /// The store responds to no router.
    SilentForAll,
};

std::string_view toString(DisruptionKind kind);

/// A disruption; the next one begins at its end.
struct Disruption
{
    DisruptionKind kind = DisruptionKind::Kill;
    std::size_t router = 0;
    /// Time after which its effect ends, or, for those without one, the time until the next one.
    std::chrono::milliseconds duration {0};
};

/// Returns disruptions of all kinds in random order. Those that leave a router without the store last longer than its lease.
std::vector<Disruption> makeDisruptions(std::uint64_t seed);

/// Carries out the disruption and blocks for its duration.
void carryOut(RouterPair &pair, const Disruption &disruption);

/// Returns the organisations after one random change: a key is added, dropped or moved, an organisation loses all its keys or goes, the
/// list becomes empty or is left out, or it comes back after that.
std::optional<Organisations> changeKeys(const std::optional<Organisations> &current, std::minstd_rand &generator);

} // namespace mulberrywall::withdrawnkeys
