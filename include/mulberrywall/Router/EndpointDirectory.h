#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Permits/PoolOwner.h"
#include "mulberrywall/Platform/InstanceList.h"

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

/// What is known about whether one endpoint leaves. A mark stays for the incarnation that it was set for.
struct LeavingMarks
{
    /// Set by an operator or by the endpoint itself.
    bool endpointLeaves = false;
    /// Incarnation that the endpoint last reported; empty when it reports none.
    std::string incarnation;
    /// Instance that the platform's list last had at the endpoint's address.
    std::string instance;
    bool instanceLeaves = false;
};

[[nodiscard]] bool isLeaving(const LeavingMarks &marks);

/// Takes the endpoint's own report; a new incarnation that does not leave clears the mark.
void recordReport(LeavingMarks &marks, std::string_view incarnation, bool leaving);

/// Takes the entry of the instance list; another instance at the address clears all marks.
void recordInstance(LeavingMarks &marks, std::string_view instance, platform::InstanceState state);

/// Who said that an endpoint leaves.
enum class LeavingOrigin : std::uint8_t {
    /// An operator's command to this router, or the endpoint itself.
    Local,
    /// Another router, which tells all the others as well.
    Peer,
};

/// Knows which endpoints leave and keeps the pools informed.
///
/// Thread-safe; its mutex is the first in the lock order, so that the pools see the sets in the order of the changes.
class EndpointDirectory
{
public:
    /// The announcement is called, without a lock, for each endpoint that is marked here first; it may be empty.
    EndpointDirectory(permits::PoolTable &pools, std::function<void(const support::EndpointId &)> announce);

    /// Marks an endpoint on an operator's command, its own refusal or another router's announcement.
    void markLeaving(const support::EndpointId &endpoint, LeavingOrigin origin);
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
    std::function<void(const support::EndpointId &)> announce_;
    mutable std::mutex mutex_;
    std::map<support::EndpointId, LeavingMarks> marks_;
    std::vector<platform::Instance> instances_;
    std::set<support::EndpointId> published_;
};

} // namespace mulberrywall::router
