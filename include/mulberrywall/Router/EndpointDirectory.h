#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Permits/PoolOwner.h"
#include "mulberrywall/Platform/InstanceList.h"

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

/// Hash of the name that an endpoint gives its incarnation, short enough for gossip.
using IncarnationHash = std::uint64_t;

inline constexpr IncarnationHash unknownIncarnation = 0;

/// Returns unknownIncarnation for an empty name.
[[nodiscard]] IncarnationHash hashIncarnation(std::string_view name);

/// What is known about whether one endpoint leaves. A mark stays for the incarnation that it was set for.
struct LeavingState
{
    /// Set by an operator or by the endpoint itself.
    bool endpointIsLeaving = false;
    /// Incarnation for which endpointIsLeaving was set.
    IncarnationHash leavingIncarnation = unknownIncarnation;
    /// Incarnation that the endpoint reported to this router; unknown when the last report is old.
    IncarnationHash incarnation = unknownIncarnation;
    std::chrono::steady_clock::time_point reportedAt;
    /// Instance that the platform's list last had at the endpoint's address.
    std::string instance;
    bool instanceIsLeaving = false;
};

[[nodiscard]] bool isLeaving(const LeavingState &leavingState);

/// Marks the incarnation, or the reported one when the announcement names none.
void recordAnnouncement(LeavingState &leavingState, IncarnationHash incarnation);

/// Takes the endpoint's own report; an incarnation that does not leave clears the mark of another one.
void recordReport(LeavingState &leavingState, IncarnationHash incarnation, bool leaving);

/// Takes the entry of the instance list; another instance at the address clears all marks.
void recordInstance(LeavingState &leavingState, std::string_view instance, platform::InstanceState state);

/// Who said that an endpoint leaves.
enum class LeavingOrigin : std::uint8_t {
    /// An operator's command to this router.
    Operator,
    /// The endpoint's answer to this router.
    Endpoint,
    /// Another router, which tells all the others as well.
    Peer,
};

/// Knows which endpoints leave and keeps the pools informed.
///
/// Thread-safe; its mutex is the first in the lock order, so that the pools see the sets in the order of the changes.
class EndpointDirectory
{
public:
    using AnnounceLeaving = std::function<void(const support::EndpointId &, IncarnationHash)>;

    /// The announcement is called, without a lock, for each operator's command, for each endpoint that is marked here first
    /// and when a marked incarnation becomes known here; it may be empty.
    EndpointDirectory(permits::PoolTable &pools, AnnounceLeaving announceLeaving);

    /// Marks an endpoint on an operator's command, its own refusal or another router's announcement. Only the owner of its
    /// pool knows its incarnation and announces it when the mark names none.
    void markLeaving(const support::EndpointId &endpoint, LeavingOrigin origin, IncarnationHash incarnation = unknownIncarnation);
    void recordReport(const support::EndpointId &endpoint, std::string_view incarnation, bool leaving);
    /// Takes the whole instance list; entries are matched by address, and by port unless that is 0.
    void recordInstances(std::vector<platform::Instance> instances, const configuration::SiteConfiguration &configuration);
    /// Matches the last instance list with the endpoints of a new configuration.
    void applyConfiguration(const configuration::SiteConfiguration &configuration);

    [[nodiscard]] std::set<support::EndpointId> leaving() const;

private:
    void matchInstances(const configuration::SiteConfiguration &configuration);
    void publish();

    permits::PoolTable &pools_;
    AnnounceLeaving announceLeaving_;
    mutable std::mutex mutex_;
    std::map<support::EndpointId, LeavingState> leavingStates_;
    std::vector<platform::Instance> instances_;
    std::set<support::EndpointId> published_;
};

} // namespace mulberrywall::router
