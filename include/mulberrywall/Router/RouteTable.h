#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Http/Message.h"
#include "mulberrywall/Router/CallerRequest.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberrywall::router
{

/// One part of a prompt, in the order of the prompt. Requests that share parts share what engines cache of them.
struct PromptSegment
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a caller's request says, independent of the names of its fields.
struct RoutingFields
{
    support::RequestId id;
    std::string_view host;
    /// Bearer key; empty when the request has none.
    std::string_view key;
    std::optional<std::chrono::milliseconds> timeout;
    std::uint32_t promptTokens = 0;
    std::span<const PromptSegment> promptSegments;
};

/// Returns the route with the longest prefix of the path among those of the host, or nullptr.
const configuration::Route *findRoute(const configuration::SiteConfiguration &configuration, std::string_view host, std::string_view path);

/// Chooses a target by the weights; equal ids give equal targets. Returns nullptr when no target has a weight.
const configuration::RouteTarget *chooseTarget(const configuration::Route &route, const support::RequestId &id);

/// Names the class of a route's requests for organisations whose tier replaces that of the route.
support::ClassId classForTier(const support::ClassId &requestClass, support::Tier tier);

/// Returns the hash of the parts that other requests share, which is all but the last one; 0 when there are none.
std::uint64_t promptPrefixHash(std::span<const PromptSegment> segments);

/// Returns the tokens of those parts.
std::uint32_t promptPrefixTokens(std::span<const PromptSegment> segments);

/// Checks route and key and describes the request; the caller adds the request for the endpoint.
///
/// All problems have the verdict NotRun.
std::variant<CallerRequest, http::Problem> routeRequest(
    const RoutingFields &fields, std::string_view path, const configuration::SiteConfiguration &configuration, policy::TimePoint now);

} // namespace mulberrywall::router
