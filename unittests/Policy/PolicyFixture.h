#pragma once

#include "mulberrywall/Policy/PolicyFunctions.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::policy
{

/// Start time of all tests.
inline constexpr TimePoint startTime {std::chrono::hours {1}};

inline TimePoint at(std::chrono::milliseconds sinceStart)
{
    return startTime + sinceStart;
}

/// Returns a class of the tier, named "tier0", "tier1" and so on.
inline ClassSpec tierClass(support::Tier tier)
{
    return {.id = support::ClassId("tier" + std::to_string(tier)), .tier = tier};
}

inline EndpointSpec endpointSpec(const std::string &name, unsigned slots)
{
    return {.id = support::EndpointId(name), .maximumConcurrency = slots};
}

inline Submission submissionOf(PermitId permit, const std::string &requestClass)
{
    return {.permit = permit, .requestClass = support::ClassId(requestClass), .organisation = support::OrganisationId("org")};
}

/// Pool of the standard policy; has three tiers unless the options define classes.
class PolicyFixture : public testing::Test
{
protected:
    void start(PoolOptions options, std::vector<EndpointSpec> endpoints)
    {
        if (options.classes.empty()) {
            options.classes = {tierClass(0), tierClass(1), tierClass(2)};
        }
        pool = functions.create(options);
        functions.setEndpoints(pool.get(), endpoints, startTime);
    }

    Decisions submit(const Submission &submission, std::chrono::milliseconds time = {})
    {
        return functions.submit(pool.get(), submission, at(time));
    }

    Decisions complete(PermitId permit, std::chrono::milliseconds time, const Completion &completion = {})
    {
        return functions.complete(pool.get(), permit, completion, at(time));
    }

    Decisions progress(PermitId permit, std::uint64_t outputTokens, std::chrono::milliseconds time)
    {
        return functions.recordProgress(pool.get(), permit, {.outputTokens = outputTokens}, at(time));
    }

    /// Advances the pool at each of its wake-ups up to the given time. Returns the decisions made exactly at that time.
    Decisions advanceThroughWakeUps(std::chrono::milliseconds until)
    {
        Decisions last;
        for (auto wakeUp = functions.nextWakeUp(pool.get()); wakeUp && *wakeUp <= at(until); wakeUp = functions.nextWakeUp(pool.get())) {
            const Decisions decisions = functions.advance(pool.get(), *wakeUp);
            last = *wakeUp == at(until) ? decisions : Decisions {};
        }
        return last;
    }

    const PolicyFunctions &functions = standardPolicy();
    PoolHandle pool;
};

} // namespace mulberrywall::policy
