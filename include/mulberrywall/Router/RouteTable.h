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

/// One segment of a prompt. Requests whose prompts start with the same segments share the cached prefix
/// of an engine.
struct PromptSegment
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Fields of a caller's request that determine its route, independent of their names in the dialect.
struct RoutingFields
{
    support::RequestId id;
    std::string_view host;
    /// Bearer key; empty if the request has none.
    std::string_view key;
    std::optional<std::chrono::milliseconds> timeout;
    std::uint32_t promptTokens = 0;
    std::span<const PromptSegment> promptSegments;
};

/// Chooses a target at random by weight, seeded by the id, so that equal ids give equal targets.
/// Returns nullptr if all weights are 0.
const configuration::RouteTarget *chooseTarget(const configuration::Route &route, const support::RequestId &id);

/// Returns the hash of the prompt prefix that other requests may share, which is all segments but the
/// last one; 0 if the prompt has fewer than two segments.
std::uint64_t promptPrefixHash(std::span<const PromptSegment> segments);

/// Returns the segments of that prefix. The hash of the last one is promptPrefixHash.
std::vector<policy::PrefixSegment> promptPrefixSegments(std::span<const PromptSegment> segments);

/// Returns the ids of these segments, in order.
std::vector<std::string> sharedSegmentIds(std::span<const PromptSegment> segments);

/// Returns the number of tokens in that prefix.
std::uint32_t promptPrefixTokens(std::span<const PromptSegment> segments);

/// Finds the route, validates the key and builds the request, except for `CallerRequest::upstream`,
/// which the calling function adds.
///
/// All problems have the verdict NotRun.
std::variant<CallerRequest, http::Problem> routeRequest(
    const RoutingFields &fields, std::string_view path, const configuration::SiteConfiguration &configuration, policy::TimePoint now);

} // namespace mulberrywall::router
