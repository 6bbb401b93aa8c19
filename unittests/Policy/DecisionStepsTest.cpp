#include "PolicyFixture.h"

#include "mulberrywall/Support/CountedMap.h"

#include <algorithm>

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

/// Counts the steps of decisions about prompts for two engines that cannot keep up, while the configuration has more and more routes
/// and organisations. Each organisation has a tier of its own, so that there is a class for each route and tier.
class DecisionStepsTest : public PolicyFixture
{
protected:
    struct Growth
    {
        unsigned routes = 3;
        support::Tier tiers = 10;
        unsigned organisations = 10;
    };

    static support::ClassId classOf(unsigned route, support::Tier tier)
    {
        return support::ClassId("route-" + std::to_string(route) + "/tier-" + std::to_string(tier));
    }

    void startWith(const Growth &growth)
    {
        PoolOptions options;
        for (unsigned route = 0; route < growth.routes; ++route) {
            for (support::Tier tier = 0; tier < growth.tiers; ++tier) {
                options.classes.push_back({.id = classOf(route, tier), .tier = tier, .firstTokenTarget = milliseconds(800)});
            }
        }
        for (unsigned index = 0; index < growth.organisations; ++index) {
            options.organisations.push_back({.id = organisation(index)});
        }
        start(options, {endpointSpec("engine-0", 64), endpointSpec("engine-1", 64)});
    }

    static support::OrganisationId organisation(unsigned index)
    {
        return support::OrganisationId("organisation-" + std::to_string(index));
    }

    /// Submits prompts of all organisations in turn, one in each interval, and returns the most steps of one decision.
    std::uint64_t mostSteps(const Growth &growth, unsigned prompts = 400, milliseconds interval = milliseconds(20))
    {
        startWith(growth);
        std::uint64_t most = 0;
        for (unsigned index = 0; index < prompts; ++index) {
            const auto tier = static_cast<support::Tier>(index % growth.tiers);
            Submission submission {.permit = ++permit_, .requestClass = classOf(index % 2, tier), .organisation = organisation(index % growth.organisations)};
            submission.prefixHash = permit_;
            submission.prefixTokens = 13'300;
            submission.promptTokens = 17'000;
            const std::uint64_t before = support::stepCount();
            const Decisions decisions = submit(submission, interval * index);
            most = std::max(most, support::stepCount() - before);
            rejected_ += static_cast<unsigned>(decisions.rejections.size());
        }
        return most;
    }

    /// Steps that a decision may take: at the target of 80 requests a second and router a few hundred elements cost nothing that could be
    /// measured against 3.2% of a core.
    static constexpr std::uint64_t maximumSteps = 1'000;

    PermitId permit_ = 0;
    unsigned rejected_ = 0;
};

/// Guards against a router that answers nobody while prompts wait, because each decision about one compares all classes with all
/// classes, and the configuration has grown by hundreds of routes.
TEST_F(DecisionStepsTest, DoNotGrowWithTheRoutes)
{
    const std::uint64_t few = mostSteps({.routes = 3});
    EXPECT_GT(rejected_, 0U) << "the engines have a backlog";
    EXPECT_EQ(mostSteps({.routes = 353}), few);
    EXPECT_LE(few, maximumSteps);
}

/// Guards against decisions whose cost grows with the number of organisations that have asked for prompts in the last seconds.
TEST_F(DecisionStepsTest, StayBoundedWithTheOrganisations)
{
    for (const unsigned organisations : {10U, 100U, 1'000U, 2'900U}) {
        EXPECT_LE(mostSteps({.tiers = 1, .organisations = organisations}, 2 * organisations, milliseconds(5)), maximumSteps) << organisations;
    }
}

} // namespace mulberrywall::policy
