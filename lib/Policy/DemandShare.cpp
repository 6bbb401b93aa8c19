#include "mulberrywall/Policy/DemandShare.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace mulberrywall::policy
{

namespace
{

double weightOf(const Pool &pool, const support::OrganisationId &organisation)
{
    constexpr double smallestWeight = 0.001;
    const auto found = pool.weights.find(organisation);
    return found == pool.weights.end() ? 1.0 : std::max(smallestWeight, found->second);
}

/// Returns the demand at the given time.
PromptDemand decayed(const PromptDemand &demand, const PlacementTuning &tuning, TimePoint now)
{
    const double seconds = secondsBetween(demand.updatedAt, now);
    const double kept = std::exp(-seconds / std::chrono::duration<double>(tuning.demandAveraging).count());
    return {.askedTokens = demand.askedTokens * kept, .admittedTokens = demand.admittedTokens * kept, .updatedAt = now};
}

/// What an organisation asks for, by weight.
struct WeightedDemand
{
    double tokensByWeight = 0.0;
    double weight = 1.0;
};

/// Returns the tokens for each unit of weight up to which all demands can be met from the available tokens.
double fairLevel(std::vector<WeightedDemand> demands, double available)
{
    std::sort(
        demands.begin(), demands.end(), [](const WeightedDemand &left, const WeightedDemand &right) { return left.tokensByWeight < right.tokensByWeight; });
    double weights = 0.0;
    for (const WeightedDemand &demand : demands) {
        weights += demand.weight;
    }
    for (const WeightedDemand &demand : demands) {
        if (demand.tokensByWeight * weights >= available) {
            return available / weights;
        }
        available -= demand.tokensByWeight * demand.weight;
        weights -= demand.weight;
    }
    return demands.empty() ? 0.0 : demands.back().tokensByWeight;
}

/// Makes room for another organisation. The one that asks for least by its weight is the furthest from exceeding a fair share.
void forgetLeastDemand(const Pool &pool, DemandByOrganisation &demands, TimePoint now)
{
    const auto tokensByWeight = [&](const auto &entry) {
        return decayed(entry.second, pool.options.tuning.placement, now).askedTokens / weightOf(pool, entry.first);
    };
    auto least = demands.begin();
    double leastTokens = std::numeric_limits<double>::infinity();
    for (auto entry = demands.begin(); entry != demands.end(); ++entry) {
        const double tokens = tokensByWeight(*entry);
        if (tokens < leastTokens) {
            least = entry;
            leastTokens = tokens;
        }
    }
    demands.erase(least);
}

} // namespace

void recordDemand(Pool &pool, const Submission &submission, support::Tier tier, PromptAnswer answer, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    DemandByOrganisation &ofTier = pool.promptDemand[tier];
    if (ofTier.size() >= tuning.maximumDemandingOrganisations && !ofTier.contains(submission.organisation)) {
        forgetLeastDemand(pool, ofTier, now);
    }
    PromptDemand &demand = ofTier[submission.organisation];
    demand = decayed(demand, tuning, now);
    demand.askedTokens += submission.promptTokens;
    demand.admittedTokens += answer == PromptAnswer::Admitted ? submission.promptTokens : 0;
}

double waitShare(const Pool &pool, const support::OrganisationId &organisation, support::Tier tier, TimePoint now)
{
    const PlacementTuning &tuning = pool.options.tuning.placement;
    const auto ofTier = pool.promptDemand.find(tier);
    if (!tuning.sharesAdmission || ofTier == pool.promptDemand.end()) {
        return 1.0;
    }
    std::vector<WeightedDemand> demands;
    double admitted = 0.0;
    double own = 0.0;
    for (const auto &[id, demand] : ofTier->second) {
        const PromptDemand current = decayed(demand, tuning, now);
        const double weight = weightOf(pool, id);
        demands.push_back({.tokensByWeight = current.askedTokens / weight, .weight = weight});
        admitted += current.admittedTokens;
        own = id == organisation ? demands.back().tokensByWeight : own;
    }
    double lowest = own;
    for (const WeightedDemand &demand : demands) {
        lowest = std::min(lowest, demand.tokensByWeight);
    }
    // If all are above their shares, only the differences between them count: less backlog for all would leave engines idle.
    const double fair = std::max(lowest, fairLevel(std::move(demands), admitted));
    return own <= fair || fair <= 0.0 ? 1.0 : fair / own;
}

} // namespace mulberrywall::policy
