#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <algorithm>
#include <cstdint>

/// Cost of a prompt on an engine, which weighs a cached prefix against the wait.
///
/// Addresses loads whose prompts share long prefixes (13,300 of 17,000 tokens) while engines have backlogs and little memory.
/// docs/design/cached-prefix.md explains the parts.
namespace mulberrywall::policy
{

/// What is known about an engine and a prompt.
struct PrefixCostInputs
{
    /// Prefill speed of the engine in tokens per second.
    double tokensPerSecond = 1.0;
    std::uint32_t promptTokens = 0;
    /// Tokens of the prompt that the engine will have cached when the request starts.
    std::uint32_t cachedTokens = 0;
    /// The most tokens of the prompt that any engine has cached.
    std::uint32_t cachedAnywhereTokens = 0;
    /// Pending tokens that the engine prefills before those of the prompt.
    double tokensAhead = 0.0;
    /// Requests that run there, and those that it runs at once; 0 if that is unknown.
    unsigned runningRequests = 0;
    unsigned slots = 0;
    /// Tokens that fit into the engine's memory; those that running requests hold, with the prefixes in use; all cached ones.
    std::uint64_t memoryTokens = 0;
    std::uint64_t heldTokens = 0;
    std::uint64_t usedPrefixTokens = 0;
    std::uint64_t allPrefixTokens = 0;
    /// Mean time for which a request runs.
    double holdSeconds = 0.0;
    /// First-token target of the request; 0 if it has none.
    double targetSeconds = 0.0;
};

/// Parts of the cost, in seconds.
struct PrefixCost
{
    double wait = 0.0;
    double prefill = 0.0;
    double memory = 0.0;
    /// Wait for a slot.
    double slot = 0.0;
    /// Price of prefilling what another engine has cached.
    double repetition = 0.0;
    /// Price of evicting cached prefixes.
    double eviction = 0.0;

    /// Returns the expected time until the first token.
    [[nodiscard]] double firstToken() const
    {
        return wait + prefill + std::max(memory, slot);
    }
    [[nodiscard]] double total() const
    {
        return firstToken() + repetition + eviction;
    }
};

PrefixCost prefixCost(const PrefixCostInputs &inputs, const PlacementTuning &tuning);

/// Returns what this router knows about the engine and the prompt; cachedAnywhereTokens is added by the caller.
PrefixCostInputs prefixCostInputs(const Pool &pool, const EndpointState &endpoint, const Submission &submission, const EndpointLoad &load, TimePoint now);

/// Returns the most tokens of the request's prefix that any engine has cached.
std::uint32_t cachedAnywhere(const Pool &pool, const Submission &submission);

} // namespace mulberrywall::policy
