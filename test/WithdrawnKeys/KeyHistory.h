#pragma once

#include "Harness/TestClient.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace mulberrywall::withdrawnkeys
{

using harness::Clock;

/// The keys of each organisation, by its name.
using Organisations = std::map<std::string, std::set<std::string>>;

/// A version of the configuration, and the time in which it was the newest one.
struct KeyVersion
{
    /// std::nullopt if the document has no list of organisations, so that no keys are used.
    std::optional<Organisations> organisations;
    Clock::time_point writtenAt;
    /// Time of the acknowledgement of the next version.
    std::optional<Clock::time_point> supersededAt;
};

enum class RouteAccess : std::uint8_t {
    NeedsKey,
    Public,
};

/// A request as its caller sees it.
struct CallerRecord
{
    std::string id;
    /// Empty if the request has none.
    std::string key;
    RouteAccess access = RouteAccess::NeedsKey;
    Clock::time_point sentAt;
    Clock::time_point answeredAt;
    /// 0 without a response.
    unsigned status = 0;
};

/// A request as the endpoint that runs it sees it.
struct RunRecord
{
    std::string id;
    /// Name of the organisation that the router has added; empty if there is none.
    std::string organisation;
    /// Whether the request still has the field with the key.
    bool hasKey = false;
    Clock::time_point at;
};

/// All that happened in a run.
struct KeyHistory
{
    std::vector<KeyVersion> versions;
    std::vector<CallerRecord> requests;
    std::vector<RunRecord> runs;
};

/// Adds the version that was written between the two times, and ends the time of the one before.
void recordVersion(KeyHistory &history, std::optional<Organisations> organisations, Clock::time_point writtenAt, Clock::time_point acknowledgedAt);

/// Returns a line for each violation: a request that ran although no version which may have been in force allows it, as another
/// organisation, or with its key passed on; or a 401 although all of these versions allow the request. A version may be in force from
/// its writing until the limit after the acknowledgement of the next one.
std::vector<std::string> findViolations(const KeyHistory &history, std::chrono::milliseconds revocationLimit);

} // namespace mulberrywall::withdrawnkeys
