#include "mulberrywall/Router/RouteTable.h"

#include "mulberrywall/Router/OrganisationTiers.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

static std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

const configuration::RouteTarget *chooseTarget(const configuration::Route &route, const support::RequestId &id)
{
    std::uint64_t totalWeight = 0;
    for (const configuration::RouteTarget &target : route.targets) {
        totalWeight += target.weight;
    }
    if (totalWeight == 0) {
        return nullptr;
    }
    std::uint64_t position = hashOf(id.value()) % totalWeight;
    for (const configuration::RouteTarget &target : route.targets) {
        if (position < target.weight) {
            return &target;
        }
        position -= target.weight;
    }
    return nullptr;
}

/// Returns all segments but the last one, which belongs to a single request or session.
static std::span<const PromptSegment> sharedSegments(std::span<const PromptSegment> segments)
{
    return segments.first(segments.empty() ? 0 : segments.size() - 1);
}

std::uint64_t promptPrefixHash(std::span<const PromptSegment> segments)
{
    const std::vector<policy::PrefixSegment> prefix = promptPrefixSegments(segments);
    return prefix.empty() ? 0 : prefix.back().hash;
}

std::vector<policy::PrefixSegment> promptPrefixSegments(std::span<const PromptSegment> segments)
{
    std::vector<policy::PrefixSegment> result;
    std::uint64_t hash = 0;
    for (const PromptSegment &segment : sharedSegments(segments)) {
        hash = hashOf(segment.id, hash);
        // The hash 0 stands for no prefix.
        result.push_back({.hash = hash == 0 ? 1 : hash, .tokens = segment.tokens});
    }
    return result;
}

std::vector<std::string> sharedSegmentIds(std::span<const PromptSegment> segments)
{
    std::vector<std::string> ids;
    for (const PromptSegment &segment : sharedSegments(segments)) {
        ids.push_back(segment.id);
    }
    return ids;
}

std::uint32_t promptPrefixTokens(std::span<const PromptSegment> segments)
{
    std::uint32_t tokens = 0;
    for (const PromptSegment &segment : sharedSegments(segments)) {
        tokens += segment.tokens;
    }
    return tokens;
}

static http::Problem makeProblem(const RoutingFields &fields, http::Status status, std::string title, std::string detail)
{
    return {.status = status, .title = std::move(title), .detail = std::move(detail), .verdict = support::Verdict::NotRun, .requestId = fields.id.value()};
}

/// Returns whether the request may run without the key of an organisation.
static bool runsWithoutOrganisation(const RoutingFields &fields, const configuration::Route &route, const configuration::SiteConfiguration &configuration)
{
    // A key is a claim that must be true even if none is needed: it may have been withdrawn, alone or with its organisation.
    if (!fields.key.empty()) {
        return false;
    }
    return route.isPublic || configuration.callerKeys == configuration::CallerKeys::NotUsed;
}

/// Returns the organisation of the key. Requests that run without one belong to one organisation without a name.
static std::variant<configuration::Organisation, http::Problem> findOrganisation(
    const RoutingFields &fields, const configuration::Route &route, const configuration::SiteConfiguration &configuration)
{
    const configuration::Organisation *organisation = nullptr;
    if (!fields.key.empty()) {
        organisation = configuration::findOrganisationByKeyHash(configuration, hashKey(fields.key));
    }
    if (organisation != nullptr) {
        return withoutKeys(*organisation);
    }
    if (runsWithoutOrganisation(fields, route, configuration)) {
        return configuration::Organisation {};
    }
    return makeProblem(fields,
        http::Status::unauthorized,
        fields.key.empty() ? "missing key" : "unknown key",
        "send a valid key of an organisation as 'Authorization: Bearer <key>'");
}

static const configuration::RequestClass *findClassFor(
    const configuration::SiteConfiguration &configuration, const configuration::Route &route, const configuration::Organisation &organisation)
{
    if (organisation.tier) {
        const auto *ofTier = configuration::findClass(configuration, classForTier(route.requestClass, *organisation.tier));
        if (ofTier != nullptr) {
            return ofTier;
        }
    }
    return configuration::findClass(configuration, route.requestClass);
}

/// Returns the earlier of the caller's deadline and the route's deadline, or TimePoint::max() if there
/// is neither.
static policy::TimePoint deadlineOf(const RoutingFields &fields, const configuration::Route &route, policy::TimePoint now)
{
    policy::TimePoint deadline = policy::TimePoint::max();
    if (route.timeout.count() > 0) {
        deadline = now + route.timeout;
    }
    if (fields.timeout) {
        deadline = std::min(deadline, now + *fields.timeout);
    }
    return deadline;
}

std::variant<CallerRequest, http::Problem> routeRequest(
    const RoutingFields &fields, std::string_view path, const configuration::SiteConfiguration &configuration, policy::TimePoint now)
{
    const configuration::Route *route = configuration::findRoute(configuration, fields.host, path);
    if (route == nullptr) {
        return makeProblem(
            fields, http::Status::not_found, "unknown route", "no route matches this host and path; correct them or ask the operator for a route");
    }
    auto organisation = findOrganisation(fields, *route, configuration);
    if (auto *problem = std::get_if<http::Problem>(&organisation)) {
        return std::move(*problem);
    }
    CallerRequest result {.id = fields.id, .organisation = std::get<configuration::Organisation>(std::move(organisation))};
    const configuration::RequestClass *requestClass = findClassFor(configuration, *route, result.organisation);
    const configuration::RouteTarget *target = chooseTarget(*route, fields.id);
    const configuration::Pool *pool = target == nullptr ? nullptr : configuration::findPool(configuration, target->pool);
    if (requestClass == nullptr || pool == nullptr) {
        return makeProblem(fields, http::Status::service_unavailable, "incomplete route", "the route has no class or no pool; ask the operator to correct it");
    }
    result.requestClass = *requestClass;
    result.pool = pool->id;
    result.poolKind = pool->kind;
    result.responseMode = route->streams ? ResponseMode::Stream : ResponseMode::Buffered;
    result.prefixHash = promptPrefixHash(fields.promptSegments);
    result.promptTokens = fields.promptTokens;
    if (pool->kind == configuration::PoolKind::ModelEngine) {
        result.prefixTokens = promptPrefixTokens(fields.promptSegments);
        result.prefixSegments = promptPrefixSegments(fields.promptSegments);
        result.sharedSegments = sharedSegmentIds(fields.promptSegments);
    }
    result.deadline = deadlineOf(fields, *route, now);
    result.maximumAttempts = route->maximumAttempts;
    result.isResumable = route->resumable;
    result.retryAllowance = {.budget = pool->id.value(), .percent = requestClass->retryBudgetPercent};
    return result;
}

} // namespace mulberrywall::router
