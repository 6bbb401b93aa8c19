#pragma once

#include "mulberrywall/BackingServices/InstanceList.h"
#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Permits/OwnedPool.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::router
{

/// Hash of the incarnation name that an endpoint reports, short enough for gossip.
using IncarnationHash = std::uint64_t;

inline constexpr IncarnationHash unknownIncarnation = 0;

/// Returns the hash of the name, or unknownIncarnation if the name is empty.
[[nodiscard]] IncarnationHash hashIncarnation(std::string_view name);

/// Whether one endpoint is leaving. The state applies to the incarnation for which it was recorded.
struct LeavingState
{
    /// True if an operator, the endpoint itself or another router has stated that the endpoint is
    /// leaving.
    bool endpointIsLeaving = false;
    /// Incarnation for which endpointIsLeaving was set; unknownIncarnation if it was not stated.
    IncarnationHash leavingIncarnation = unknownIncarnation;
    /// Incarnation that the endpoint last reported to this router; unknownIncarnation if the report is
    /// stale.
    IncarnationHash incarnation = unknownIncarnation;
    std::chrono::steady_clock::time_point reportedAt;
    /// Incarnation of the endpoint in the configuration; 0 if it is unknown or not configured.
    std::int64_t configuredIncarnation = 0;
    /// Time of the latest configuration that contains the endpoint; empty if none did.
    std::optional<std::chrono::steady_clock::time_point> configuredAt;
    /// Instance that the platform's list last contained for the endpoint's address.
    std::string instance;
    bool instanceIsLeaving = false;
};

[[nodiscard]] bool isLeaving(const LeavingState &leavingState);

/// Records that the given incarnation is leaving, or the last reported one if the announcement names
/// none.
void recordAnnouncement(LeavingState &leavingState, IncarnationHash incarnation);

/// Records the endpoint's own report. An incarnation that is not leaving resets the state recorded for
/// another one.
void recordReport(LeavingState &leavingState, IncarnationHash incarnation, bool leaving);

/// Records the entry of the instance list. A different instance at the address resets the whole state.
void recordInstance(LeavingState &leavingState, std::string_view instance, backingservices::InstanceState state);

/// Records the endpoint's incarnation in the configuration. A different one resets what was stated about the earlier one.
void recordConfigured(LeavingState &leavingState, std::int64_t incarnation, std::chrono::steady_clock::time_point now);

/// Who stated that an endpoint is leaving.
enum class LeavingOrigin : std::uint8_t {
    /// An operator's command to this router.
    Operator,
    /// The endpoint's response to this router.
    Endpoint,
    /// Another router, whose announcement reaches all the others as well.
    Peer,
};

/// Tracks which endpoints are leaving and updates the pools.
///
/// Thread-safe. Its mutex is the first in the lock order, so that the pools receive the sets in the
/// order of the changes.
class EndpointDirectory
{
public:
    using AnnounceLeaving = std::function<void(const support::EndpointId &, IncarnationHash)>;

    /// The announcement is called without a lock for each operator's command, for each endpoint that
    /// this router is the first to record as leaving, and when a leaving endpoint first reports its
    /// incarnation to this router. It may be empty.
    EndpointDirectory(permits::PoolTable &pools, AnnounceLeaving announceLeaving);

    /// Records that an endpoint is leaving after an operator's command, the endpoint's own refusal or
    /// another router's announcement. If the incarnation is unknown, the owner of the pool announces
    /// it, because only the owner polls it.
    void markLeaving(const support::EndpointId &endpoint, LeavingOrigin origin, IncarnationHash incarnation = unknownIncarnation);
    void recordReport(const support::EndpointId &endpoint, std::string_view incarnation, bool leaving);
    /// Records the complete instance list. Entries are matched by address, and by port unless the port
    /// is 0.
    void recordInstances(std::vector<backingservices::ListedInstance> instances, const configuration::SiteConfiguration &configuration);
    /// Matches the last instance list against the endpoints of a new configuration.
    void applyConfiguration(const configuration::SiteConfiguration &configuration);

    [[nodiscard]] std::set<support::EndpointId> leaving() const;

private:
    /// Removes the states of endpoints that have left the configuration and will not return as the same incarnation.
    void matchIncarnations(const configuration::SiteConfiguration &configuration);
    void matchInstances(const configuration::SiteConfiguration &configuration);
    void publish();

    permits::PoolTable &pools_;
    AnnounceLeaving announceLeaving_;
    mutable std::mutex mutex_;
    std::map<support::EndpointId, LeavingState> leavingStates_;
    std::vector<backingservices::ListedInstance> instances_;
    std::map<support::EndpointId, std::int64_t> configuredIncarnations_;
    std::set<support::EndpointId> published_;
};

} // namespace mulberrywall::router
