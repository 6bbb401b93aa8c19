#include "KeyHistory.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::withdrawnkeys
{

using std::chrono::milliseconds;

namespace
{

constexpr unsigned unauthorized = 401;

/// Returns the versions of which one may be in force for a request that is sent at the first time and handled until the second one.
std::vector<const KeyVersion *> versionsInForce(const KeyHistory &history, Clock::time_point sentAt, Clock::time_point until, milliseconds limit)
{
    std::vector<const KeyVersion *> result;
    for (const KeyVersion &version : history.versions) {
        const bool isTooOld = version.supersededAt && *version.supersededAt + limit < sentAt;
        if (!isTooOld && version.writtenAt <= until) {
            result.push_back(&version);
        }
    }
    return result;
}

/// Returns the organisation as which the version allows the request, or std::nullopt if it does not allow it.
std::optional<std::string> organisationOf(const KeyVersion &version, const CallerRecord &request)
{
    if (request.key.empty()) {
        const bool isAllowed = request.access == RouteAccess::Public || !version.organisations;
        return isAllowed ? std::optional<std::string>("") : std::nullopt;
    }
    if (!version.organisations) {
        return std::nullopt;
    }
    for (const auto &[name, keys] : *version.organisations) {
        if (keys.contains(request.key)) {
            return name;
        }
    }
    return std::nullopt;
}

std::string describe(const CallerRecord &request, const KeyHistory &history)
{
    const auto start = history.versions.empty() ? request.sentAt : history.versions.front().writtenAt;
    const auto time = std::chrono::duration_cast<milliseconds>(request.sentAt - start);
    const std::string route = request.access == RouteAccess::Public ? " on a public route" : "";
    return request.id + route + " with key '" + request.key + "', sent at " + std::to_string(time.count()) + " ms, status " + std::to_string(request.status);
}

std::optional<std::string> findViolation(const RunRecord &run, const CallerRecord &request, const KeyHistory &history, milliseconds limit)
{
    if (run.hasKey) {
        return "the key was passed on: " + describe(request, history);
    }
    const std::vector<const KeyVersion *> versions = versionsInForce(history, request.sentAt, run.at, limit);
    const bool isAllowed
        = std::any_of(versions.begin(), versions.end(), [&](const KeyVersion *version) { return organisationOf(*version, request) == run.organisation; });
    if (isAllowed) {
        return std::nullopt;
    }
    return "ran as organisation '" + run.organisation + "', which no version in force allows: " + describe(request, history);
}

std::optional<std::string> findViolation(const CallerRecord &request, const KeyHistory &history, milliseconds limit)
{
    if (request.status != unauthorized) {
        return std::nullopt;
    }
    const std::vector<const KeyVersion *> versions = versionsInForce(history, request.sentAt, request.answeredAt, limit);
    const bool isAllowed = std::all_of(versions.begin(), versions.end(), [&](const KeyVersion *version) { return organisationOf(*version, request); });
    if (!isAllowed) {
        return std::nullopt;
    }
    return "rejected although all versions in force allow it: " + describe(request, history);
}

} // namespace

void recordVersion(KeyHistory &history, std::optional<Organisations> organisations, Clock::time_point writtenAt, Clock::time_point acknowledgedAt)
{
    if (!history.versions.empty()) {
        history.versions.back().supersededAt = acknowledgedAt;
    }
    history.versions.push_back({.organisations = std::move(organisations), .writtenAt = writtenAt, .supersededAt = std::nullopt});
}

std::vector<std::string> findViolations(const KeyHistory &history, milliseconds revocationLimit)
{
    std::vector<std::string> violations;
    std::map<std::string, const CallerRecord *> requests;
    for (const CallerRecord &request : history.requests) {
        requests.emplace(request.id, &request);
        if (auto violation = findViolation(request, history, revocationLimit)) {
            violations.push_back(std::move(*violation));
        }
    }
    for (const RunRecord &run : history.runs) {
        const auto request = requests.find(run.id);
        if (request == requests.end()) {
            violations.push_back("ran, but no caller sent it: " + run.id);
            continue;
        }
        if (auto violation = findViolation(run, *request->second, history, revocationLimit)) {
            violations.push_back(std::move(*violation));
        }
    }
    return violations;
}

} // namespace mulberrywall::withdrawnkeys
