#include "mulberrywall/Policy/CandidateOrder.h"

#include "mulberrywall/Policy/PromptCache.h"
#include "mulberrywall/Policy/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::policy
{

/// Returns the seed of the rendezvous order. Requests with a short prefix are spread one by one: keeping their prefix on few
/// engines would save little and load these engines with their streams.
static std::uint64_t orderSeed(const Pool &pool, const Submission &submission)
{
    const bool hasLongPrefix = submission.prefixTokens.value_or(0) >= pool.options.tuning.placement.minimumPrefixToKeepTokens;
    return hasLongPrefix ? submission.prefixHash : submission.spreadSeed;
}

static std::size_t maximumCompared(const Pool &pool, std::size_t candidates)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    return candidates <= tuning.maximumPoolComparedWhole ? candidates : tuning.maximumComparedEndpoints;
}

std::vector<EndpointState *> comparedCandidates(const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission)
{
    const std::uint64_t seed = orderSeed(pool, submission);
    const bool keepsPrefix = seed == submission.prefixHash;
    std::vector<std::pair<std::pair<bool, std::uint64_t>, EndpointState *>> order;
    order.reserve(candidates.size());
    for (EndpointState *endpoint : candidates) {
        // A part of the prefix does not count: all prompts that share a first segment would be compared on the few engines that have it.
        const bool isMissing = keepsPrefix && cachedPrefixTokens(*endpoint, submission) < submission.prefixTokens.value_or(0);
        order.push_back({{isMissing, rendezvousWeight(seed, endpoint->spec.id)}, endpoint});
    }
    const std::size_t compared = maximumCompared(pool, candidates.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(compared), order.end());
    std::vector<EndpointState *> result;
    result.reserve(compared);
    for (const auto &[key, endpoint] : std::span(order).first(compared)) {
        result.push_back(endpoint);
    }
    return result;
}

std::vector<EndpointState *> firstByRendezvous(std::span<EndpointState *const> candidates, std::uint64_t seed, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, EndpointState *>> order;
    order.reserve(candidates.size());
    for (EndpointState *endpoint : candidates) {
        order.emplace_back(rendezvousWeight(seed, endpoint->spec.id), endpoint);
    }
    const std::size_t first = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first), order.end());
    std::vector<EndpointState *> result;
    for (const auto &[weight, endpoint] : std::span(order).first(first)) {
        result.push_back(endpoint);
    }
    return result;
}

std::size_t minimumCompared(const Pool &pool, std::size_t candidates)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    return candidates <= tuning.maximumPoolComparedWhole ? candidates : tuning.minimumComparedEndpoints;
}

} // namespace mulberrywall::policy
