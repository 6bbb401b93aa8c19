#include "mulberrywall/Router/RouterProgram.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <limits>
#include <string_view>
#include <vector>

namespace
{

using namespace mulberrywall;

constexpr double unbounded = 1e9;
constexpr std::uint64_t moreThanAnySample = std::numeric_limits<std::uint64_t>::max();

struct Mechanism
{
    std::string_view name;
    void (*switchOff)(policy::PoolOptions &options);
};

void admitAll(policy::PoolOptions &options)
{
    options.tuning.admission.slack = unbounded;
}

void dropMinimumShares(policy::PoolOptions &options)
{
    options.tuning.minimumShare.floor = 0.0;
    for (policy::ClassSpec &spec : options.classes) {
        spec.minimumShare = 0.0;
        // A tier without a share would still get one slot out of order past its maximum wait.
        spec.maximumWait = std::chrono::hours(24);
    }
}

void ignoreLength(policy::PoolOptions &options)
{
    options.tuning.longRequests = {.slotShare = 1.0, .workFactor = unbounded};
}

void ignoreSlowness(policy::PoolOptions &options)
{
    options.tuning.slowEndpoints.reduceBelow = 0.0;
}

void dropHedging(policy::PoolOptions &options)
{
    for (policy::ClassSpec &spec : options.classes) {
        spec.hedgeBudgetPercent = 0;
    }
}

void ignorePrefixes(policy::PoolOptions &options)
{
    options.tuning.selection.affinityMinimumSaving = unbounded;
}

/// Orders by target alone. Admission still estimates with the shares, whose order no longer holds.
void ignoreOrganisations(policy::PoolOptions &options)
{
    options.tuning.fairShare.allowanceInRequests = unbounded;
}

void fixConcurrency(policy::PoolOptions &options)
{
    options.tuning.concurrency.minimumTokens = moreThanAnySample;
    // Without this, refusals of the engine would still lower the limit.
    options.tuning.concurrency.decreaseFactor = 1.0;
}

constexpr std::string_view longRequestLimit = "long-request-limit";

constexpr Mechanism mechanisms[] = {
    {.name = "admission", .switchOff = admitAll},
    {.name = "minimum-share", .switchOff = dropMinimumShares},
    {.name = longRequestLimit, .switchOff = ignoreLength},
    {.name = "slow-endpoints", .switchOff = ignoreSlowness},
    {.name = "hedging", .switchOff = dropHedging},
    {.name = "prefix-affinity", .switchOff = ignorePrefixes},
    {.name = "fair-sharing", .switchOff = ignoreOrganisations},
    {.name = "adaptive-concurrency", .switchOff = fixConcurrency},
};

/// The policy's functions are plain pointers, so that the choice cannot be captured. Set once, before the router starts.
const Mechanism *&switchedOff()
{
    static const Mechanism *mechanism = nullptr;
    return mechanism;
}

policy::PoolOptions reduced(policy::PoolOptions options)
{
    switchedOff()->switchOff(options);
    return options;
}

policy::PoolHandle create(const policy::PoolOptions &options)
{
    return policy::standardPolicy().create(reduced(options));
}

void configure(void *pool, const policy::PoolOptions &options)
{
    policy::standardPolicy().configure(pool, reduced(options));
}

policy::Decisions recordProgress(void *pool, policy::PermitId permit, const policy::Progress &progress, policy::TimePoint now)
{
    policy::Decisions decisions = policy::standardPolicy().recordProgress(pool, permit, progress, now);
    if (switchedOff()->name == longRequestLimit) {
        decisions.priorityChanges.clear();
    }
    return decisions;
}

} // namespace

int main(int argc, char **argv)
{
    const auto *found = argc < 3 || std::string_view(argv[1]) != "--without"
        ? std::end(mechanisms)
        : std::find_if(std::begin(mechanisms), std::end(mechanisms), [&](const Mechanism &entry) { return entry.name == argv[2]; });
    if (found == std::end(mechanisms)) {
        std::cerr << "ablation-router: the first argument must be --without, followed by one of";
        for (const Mechanism &mechanism : mechanisms) {
            std::cerr << ' ' << mechanism.name;
        }
        std::cerr << '\n';
        return 1;
    }
    switchedOff() = found;
    policy::PolicyFunctions functions = policy::standardPolicy();
    functions.create = create;
    functions.configure = configure;
    functions.recordProgress = recordProgress;
    const router::RouterProgram program {
        .name = "ablation-router",
        .description = "the product with one mechanism of its policy switched off, for measurements",
        .policy = functions,
    };
    std::vector<char *> arguments {argv[0]};
    arguments.insert(arguments.end(), argv + 3, argv + argc);
    arguments.push_back(nullptr);
    return router::runRouterProgram(program, static_cast<int>(arguments.size()) - 1, arguments.data());
}
