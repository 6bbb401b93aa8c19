#pragma once

#include "mulberrywall/Permits/TableChanges.h"
#include "mulberrywall/Support/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

/// Changes of a table of the store that a router passes on to its peers, for changes that hundreds of routers need at the same
/// time and that come in quick succession.
///
/// Successive changes often replace the same row, such as the operator's configuration. Only its latest value is passed on, so
/// that several changes fit into a datagram that has room for one.
namespace mulberrywall::router
{

struct RecentChangesOptions
{
    /// Changes are passed on to peers that lack them for this long; a peer that has missed more reads the store.
    std::chrono::milliseconds lifetime {3'000};
    /// Maximum size of the rows that are passed on; more would not fit into a datagram.
    std::size_t maximumBytes = std::size_t {24} * 1024;
};

struct RecentChanges
{
    struct Entry
    {
        permits::TableChanges changes;
        support::BootClock::time_point recordedAt;
    };

    RecentChangesOptions options;
    /// Oldest first.
    std::deque<Entry> entries;
};

/// Records changes that were read from the store or received from a peer, and forgets those past their lifetime.
void recordChanges(RecentChanges &recent, permits::TableChanges changes, support::BootClock::time_point now);

/// Returns what brings a copy that is current up to the version forward: the changes after it as one, with the latest value of
/// each row, as far as they fit and were recorded up to the given time. Returns nothing if there are none or if the copy has
/// missed earlier ones.
std::vector<permits::TableChanges> changesAfter(
    const RecentChanges &recent, std::uint64_t version, support::BootClock::time_point recordedUpTo, support::BootClock::time_point now);

} // namespace mulberrywall::router
