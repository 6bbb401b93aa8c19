#include "mulberrywall/Policy/PromptCache.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

/// Evicts the least recently used prefixes while their total length exceeds the capacity of the cache.
void evictLeastRecentlyUsed(PromptCache &cache, std::uint64_t capacity)
{
    while (cache.cachedTokens > capacity && !cache.prefixes.empty()) {
        const auto oldest = std::min_element(
            cache.prefixes.begin(), cache.prefixes.end(), [](const auto &left, const auto &right) { return left.second.usedAt < right.second.usedAt; });
        cache.cachedTokens -= oldest->second.tokens;
        cache.prefixes.erase(oldest);
    }
}

std::uint64_t cacheCapacity(const Pool &pool, const PromptCache &cache)
{
    const std::uint64_t memory = engineMemory(pool);
    if (!pool.options.tuning.placement.weighsPrefixCost) {
        return memory;
    }
    return memory - std::min(memory, std::max(cache.heldTokens, cache.heldTokensOfAll));
}

/// Returns the segments of the prefix; one segment if only the whole prefix is known.
std::vector<PrefixSegment> segmentsOf(const Submission &submission)
{
    if (!submission.prefixSegments.empty()) {
        return submission.prefixSegments;
    }
    if (submission.prefixHash == 0) {
        return {};
    }
    return {{.hash = submission.prefixHash, .tokens = submission.prefixTokens.value_or(0)}};
}

void reportNewPrefix(Pool &pool, const PeerPrefix &prefix, bool isOwn, TimePoint now)
{
    while (!pool.newPrefixes.empty() && now - pool.newPrefixes.front().recordedAt > pool.options.tuning.placement.newPrefixLifetime) {
        pool.newPrefixes.pop_front();
    }
    pool.newPrefixes.push_back({.prefix = prefix, .recordedAt = now, .isOwn = isOwn});
}

/// Marks the prefix and the shorter ones that it contains as used. Deeper segments count as used earlier, so that they are
/// evicted first.
void touch(PromptCache &cache, std::uint64_t prefix, TimePoint now)
{
    // No prompt has more segments; guards against a cycle by colliding hashes.
    constexpr unsigned maximumDepth = 64;
    for (unsigned depth = 0; prefix != 0 && depth < maximumDepth; ++depth) {
        const auto found = cache.prefixes.find(prefix);
        if (found == cache.prefixes.end()) {
            return;
        }
        found->second.usedAt = std::max(found->second.usedAt, now + TimePoint::duration(depth));
        prefix = found->second.parent;
    }
}

/// Adds a prefix, or the segments before one that is known as a whole. Returns whether the cache has changed.
bool add(PromptCache &cache, const PeerPrefix &prefix, TimePoint now)
{
    const auto [entry, added] = cache.prefixes.try_emplace(prefix.prefixHash, CachedPrefix {.tokens = prefix.tokens, .parent = prefix.parent, .usedAt = now});
    if (added) {
        cache.cachedTokens += prefix.tokens;
        return true;
    }
    const bool wasWhole = entry->second.parent == 0 && prefix.parent != 0;
    if (wasWhole) {
        cache.cachedTokens += prefix.tokens;
        cache.cachedTokens -= entry->second.tokens;
        entry->second.tokens = prefix.tokens;
        entry->second.parent = prefix.parent;
    }
    return wasWhole;
}

std::uint32_t prefixLength(const Submission &submission)
{
    return std::min(submission.prefixTokens.value_or(0), submission.promptTokens);
}

} // namespace

std::uint64_t engineMemory(const Pool &pool)
{
    return pool.options.engineMemoryTokens > 0 ? pool.options.engineMemoryTokens : pool.options.tuning.placement.engineMemoryTokens;
}

/// Returns the last cached segment for which the condition holds and the tokens up to it.
template <typename Condition>
static std::uint32_t cachedTokensIf(const EndpointState &endpoint, const Submission &submission, Condition condition)
{
    const auto &prefixes = endpoint.prompts.prefixes;
    const auto holds = [&](std::uint64_t hash) {
        const auto found = prefixes.find(hash);
        return found != prefixes.end() && condition(found->second);
    };
    if (submission.prefixHash != 0 && holds(submission.prefixHash)) {
        return prefixLength(submission);
    }
    std::uint32_t tokens = 0;
    std::uint32_t cached = 0;
    for (const PrefixSegment &segment : submission.prefixSegments) {
        tokens += segment.tokens;
        cached = holds(segment.hash) ? tokens : cached;
    }
    return std::min(cached, prefixLength(submission));
}

std::uint32_t cachedPrefixTokens(const EndpointState &endpoint, const Submission &submission)
{
    return cachedTokensIf(endpoint, submission, [](const CachedPrefix &) { return true; });
}

std::uint64_t tokensUsedSince(const EndpointState &endpoint, TimePoint since)
{
    std::uint64_t tokens = 0;
    for (const auto &[hash, prefix] : endpoint.prompts.prefixes) {
        tokens += prefix.usedAt >= since ? prefix.tokens : 0;
    }
    return tokens;
}

std::uint32_t survivingPrefixTokens(const Pool &pool, const EndpointState &endpoint, const Submission &submission, std::uint64_t heldTokens)
{
    const std::uint64_t memory = engineMemory(pool);
    if (endpoint.prompts.cachedTokens + heldTokens <= memory) {
        return cachedPrefixTokens(endpoint, submission);
    }
    return cachedTokensIf(endpoint, submission, [&](const CachedPrefix &prefix) { return tokensUsedSince(endpoint, prefix.usedAt) + heldTokens <= memory; });
}

void recordPrefix(Pool &pool, EndpointState &endpoint, const Submission &submission, TimePoint now)
{
    PromptCache &cache = endpoint.prompts;
    std::uint64_t parent = 0;
    for (const PrefixSegment &segment : segmentsOf(submission)) {
        if (segment.tokens == 0) {
            continue;
        }
        const PeerPrefix prefix {.endpoint = endpoint.spec.id, .prefixHash = segment.hash, .tokens = segment.tokens, .parent = parent};
        if (add(cache, prefix, now)) {
            reportNewPrefix(pool, prefix, true, now);
        }
        parent = segment.hash;
    }
    touch(cache, parent, now);
    evictLeastRecentlyUsed(cache, cacheCapacity(pool, cache));
}

void recordPeerPrefix(Pool &pool, EndpointState &endpoint, const PeerPrefix &prefix, TimePoint now)
{
    if (prefix.prefixHash == 0 || prefix.tokens == 0) {
        return;
    }
    PromptCache &cache = endpoint.prompts;
    if (add(cache, prefix, now)) {
        reportNewPrefix(pool, prefix, false, now);
    }
    touch(cache, prefix.prefixHash, now);
    evictLeastRecentlyUsed(cache, cacheCapacity(pool, cache));
}

std::uint32_t prefillTokensFor(const Pool &pool, const EndpointState &endpoint, const Submission &submission, std::uint64_t heldTokens)
{
    if (pool.options.tuning.placement.weighsPrefixCost) {
        return submission.promptTokens - survivingPrefixTokens(pool, endpoint, submission, heldTokens);
    }
    const bool isCached = submission.prefixHash != 0 && endpoint.prompts.prefixes.contains(submission.prefixHash);
    return submission.promptTokens - (isCached ? prefixLength(submission) : 0);
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

std::vector<PeerPrefix> newOwnPrefixes(const Pool &pool, TimePoint now)
{
    std::vector<PeerPrefix> result;
    for (const NewPrefix &entry : pool.newPrefixes) {
        if (entry.isOwn && now - entry.recordedAt <= pool.options.tuning.placement.newPrefixLifetime) {
            result.push_back(entry.prefix);
        }
    }
    return result;
}

} // namespace mulberrywall::policy
