#include "mulberrywall/Policy/PrefixCost.h"

#include "mulberrywall/Policy/Prefill.h"
#include "mulberrywall/Policy/PromptCache.h"

#include <algorithm>

namespace mulberrywall::policy
{

namespace
{

using Seconds = std::chrono::duration<double>;

double difference(std::uint64_t larger, std::uint64_t smaller)
{
    return larger > smaller ? static_cast<double>(larger - smaller) : 0.0;
}

/// Returns the time until running requests have freed the memory that the prompt needs.
double memoryWait(const PrefixCostInputs &inputs, std::uint64_t needed)
{
    const double missing = difference(inputs.heldTokens + inputs.usedPrefixTokens + needed, inputs.memoryTokens);
    if (missing == 0.0 || inputs.heldTokens == 0) {
        return 0.0;
    }
    return inputs.holdSeconds * std::min(1.0, missing / static_cast<double>(inputs.heldTokens));
}

/// Returns the time until one of the slots is free, if the running requests end at equal intervals.
double slotWait(const PrefixCostInputs &inputs)
{
    if (inputs.slots == 0 || inputs.runningRequests < inputs.slots) {
        return 0.0;
    }
    return inputs.holdSeconds * (inputs.runningRequests - inputs.slots + 1) / inputs.slots;
}

double repetitionPrice(const PrefixCostInputs &inputs, const PlacementTuning &tuning)
{
    const double seconds = difference(inputs.cachedAnywhereTokens, inputs.cachedTokens) / inputs.tokensPerSecond;
    const double price = tuning.repeatedPrefillWeight * seconds;
    return inputs.targetSeconds > 0.0 ? std::min(price, tuning.maximumTargetShare * inputs.targetSeconds) : seconds;
}

double evictionPrice(const PrefixCostInputs &inputs, std::uint64_t needed, const PlacementTuning &tuning)
{
    const double evicted = std::min(static_cast<double>(needed), difference(inputs.heldTokens + inputs.allPrefixTokens + needed, inputs.memoryTokens));
    return tuning.evictionWeight * evicted / inputs.tokensPerSecond;
}

} // namespace

PrefixCost prefixCost(const PrefixCostInputs &inputs, const PlacementTuning &tuning)
{
    const std::uint64_t needed = inputs.promptTokens - std::min(inputs.promptTokens, inputs.cachedTokens);
    const double batching = inputs.runningRequests * Seconds(tuning.delayPerRunningRequest).count();
    PrefixCost cost {.wait = inputs.tokensAhead / inputs.tokensPerSecond + batching,
        .prefill = static_cast<double>(needed) / inputs.tokensPerSecond,
        .repetition = repetitionPrice(inputs, tuning)};
    if (tuning.weighsPrefixCost) {
        cost.memory = memoryWait(inputs, needed);
        cost.eviction = evictionPrice(inputs, needed, tuning);
    }
    if (tuning.countsSlotsOfAllRouters) {
        cost.slot = slotWait(inputs);
    }
    return cost;
}

PrefixCostInputs prefixCostInputs(const Pool &pool, const EndpointState &endpoint, const Submission &submission, const EndpointLoad &load, TimePoint now)
{
    const ClassState *requestClass = findClass(pool, submission.requestClass);
    const support::Tier tier = requestClass == nullptr ? pool.classSet->summary.lowestTier : requestClass->spec.tier;
    const Seconds hold(pool.holdSeconds.value);
    PrefixCostInputs inputs {.tokensPerSecond = prefillSpeed(pool, endpoint),
        .promptTokens = submission.promptTokens,
        .tokensAhead = prefillTokensAhead(pool, endpoint, load.pendingPrefill, tier),
        .runningRequests = load.running,
        .slots = endpoint.spec.maximumConcurrency,
        .memoryTokens = engineMemory(pool),
        .heldTokens = load.heldTokens,
        .allPrefixTokens = endpoint.prompts.cachedTokens,
        .holdSeconds = hold.count(),
        .targetSeconds = requestClass == nullptr ? 0.0 : Seconds(requestClass->spec.firstTokenTarget).count()};
    inputs.cachedTokens = inputs.promptTokens - prefillTokensFor(pool, endpoint, submission, load.heldTokens);
    // Below its capacity the memory neither delays nor evicts, whichever prefixes are in use.
    if (inputs.heldTokens + inputs.allPrefixTokens + inputs.promptTokens > inputs.memoryTokens) {
        inputs.usedPrefixTokens = tokensUsedSince(endpoint, now - std::chrono::duration_cast<TimePoint::duration>(hold));
    }
    return inputs;
}

std::uint32_t cachedAnywhere(const Pool &pool, const Submission &submission)
{
    std::uint32_t most = 0;
    for (const auto &[id, endpoint] : pool.endpoints) {
        const std::uint32_t cached = submission.promptTokens - prefillTokensFor(pool, endpoint, submission, endpoint.prompts.heldTokensOfAll);
        most = std::max(most, cached);
    }
    return most;
}

} // namespace mulberrywall::policy
