#include "mulberrywall/Policy/PromptCache.h"

#include <algorithm>

namespace mulberrywall::policy
{

/// Evicts the least recently used prefixes while their total length exceeds the capacity of the cache.
static void evictLeastRecentlyUsed(PromptCache &cache, std::uint64_t capacity)
{
    while (cache.cachedTokens > capacity && !cache.prefixes.empty()) {
        const auto oldest = std::min_element(
            cache.prefixes.begin(), cache.prefixes.end(), [](const auto &left, const auto &right) { return left.second.usedAt < right.second.usedAt; });
        cache.cachedTokens -= oldest->second.tokens;
        cache.prefixes.erase(oldest);
    }
}

bool hasCachedPrefix(const EndpointState &endpoint, std::uint64_t prefix)
{
    return prefix != 0 && endpoint.prompts.prefixes.contains(prefix);
}

void recordPrefix(Pool &pool, EndpointState &endpoint, std::uint64_t prefix, std::uint32_t tokens, TimePoint now)
{
    if (prefix == 0 || tokens == 0) {
        return;
    }
    PromptCache &cache = endpoint.prompts;
    const auto [entry, added] = cache.prefixes.try_emplace(prefix, CachedPrefix {.tokens = tokens});
    entry->second.usedAt = now;
    if (!added) {
        return;
    }
    cache.cachedTokens += tokens;
    evictLeastRecentlyUsed(cache, pool.options.tuning.placement.cacheCapacityTokens);
    while (!pool.newPrefixes.empty() && now - pool.newPrefixes.front().recordedAt > pool.options.tuning.placement.newPrefixLifetime) {
        pool.newPrefixes.pop_front();
    }
    pool.newPrefixes.push_back({.prefix = {.endpoint = endpoint.spec.id, .prefixHash = prefix, .tokens = tokens}, .recordedAt = now});
}

std::uint32_t prefillTokensFor(const EndpointState &endpoint, const Submission &submission)
{
    const std::uint32_t shared = std::min(submission.prefixTokens.value_or(0), submission.promptTokens);
    return hasCachedPrefix(endpoint, submission.prefixHash) ? submission.promptTokens - shared : submission.promptTokens;
}

void clearCachedPrefixes(EndpointState &endpoint)
{
    endpoint.prompts.prefixes.clear();
    endpoint.prompts.cachedTokens = 0;
}

std::vector<PeerPrefix> newPrefixes(const Pool &pool, TimePoint now)
{
    std::vector<PeerPrefix> result;
    for (const NewPrefix &entry : pool.newPrefixes) {
        if (now - entry.recordedAt <= pool.options.tuning.placement.newPrefixLifetime) {
            result.push_back(entry.prefix);
        }
    }
    return result;
}

} // namespace mulberrywall::policy
