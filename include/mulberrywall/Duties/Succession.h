#pragma once

#include "mulberrywall/Membership/Types.h"
#include "mulberrywall/Support/Ids.h"

#include <cstddef>
#include <span>
#include <vector>

namespace mulberrywall::duties
{

/// Number of routers that may take over the duties. Usage counts are sent to each of them.
inline constexpr std::size_t maximumCandidates = 3;

/// Returns the routers that may hold the lease of the duties: the live members with the most processor, in the order of processor, then of
/// name. Members that are not live are ignored.
[[nodiscard]] std::vector<membership::Member> dutyCandidates(std::span<const membership::Member> members);

/// Returns whether the instance is among the members.
[[nodiscard]] bool containsInstance(std::span<const membership::Member> members, std::string_view instance);

} // namespace mulberrywall::duties
