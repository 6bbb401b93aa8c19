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
/// Minimum number of tokens that no adjustment interval reaches, so that missed inter-token targets never
/// lower the limit.
constexpr std::uint64_t unreachableMinimumTokens = std::numeric_limits<std::uint64_t>::max();

/// A mechanism of the standard policy, and the function that disables it in the options of a pool.
struct Mechanism
{
    std::string_view name;
    void (*disable)(policy::PoolOptions &options);
};

void disableAdmission(policy::PoolOptions &options)
{
    options.tuning.admission.slack = unbounded;
}

void disableMinimumShares(policy::PoolOptions &options)
{
    options.tuning.minimumShare.floor = 0.0;
    for (policy::ClassSpec &spec : options.classes) {
        spec.minimumShare = 0.0;
        // Without a minimum share, a tier would still get one slot ahead of the queue order once it
        // exceeds its maximum wait.
        spec.maximumWait = std::chrono::hours(24);
    }
}

void disableLongRequestLimit(policy::PoolOptions &options)
{
    options.tuning.longRequests = {.slotShare = 1.0, .workFactor = unbounded};
}

void disableSlowEndpointReduction(policy::PoolOptions &options)
{
    options.tuning.slowEndpoints.reduceBelow = 0.0;
}

void disableHedging(policy::PoolOptions &options)
{
    for (policy::ClassSpec &spec : options.classes) {
        spec.hedgeBudgetPercent = 0;
    }
}

void disablePrefixAffinity(policy::PoolOptions &options)
{
    options.tuning.selection.affinityMinimumSaving = unbounded;
}

/// Makes the queue order depend on the latency targets only. Admission still computes its estimates
/// from the fair shares, although requests no longer run in that order.
void disableFairSharing(policy::PoolOptions &options)
{
    options.tuning.fairShare.allowanceInRequests = unbounded;
}

void disableAdaptiveConcurrency(policy::PoolOptions &options)
{
    options.tuning.concurrency.minimumTokens = unreachableMinimumTokens;
    // With a factor below 1, requests that the engine refuses would still lower the limit.
    options.tuning.concurrency.decreaseFactor = 1.0;
}

constexpr std::string_view longRequestLimitName = "long-request-limit";

constexpr Mechanism mechanisms[] = {
    {.name = "admission", .disable = disableAdmission},
    {.name = "minimum-share", .disable = disableMinimumShares},
    {.name = longRequestLimitName, .disable = disableLongRequestLimit},
    {.name = "slow-endpoints", .disable = disableSlowEndpointReduction},
    {.name = "hedging", .disable = disableHedging},
    {.name = "prefix-affinity", .disable = disablePrefixAffinity},
    {.name = "fair-sharing", .disable = disableFairSharing},
    {.name = "adaptive-concurrency", .disable = disableAdaptiveConcurrency},
};

/// Returns the mechanism to disable. It is global because the policy's functions are plain function
/// pointers, which cannot capture it. main() sets it once, before the router starts.
const Mechanism *&disabledMechanism()
{
    static const Mechanism *mechanism = nullptr;
    return mechanism;
}

policy::PoolOptions withoutDisabledMechanism(policy::PoolOptions options)
{
    disabledMechanism()->disable(options);
    return options;
}

policy::PoolHandle create(const policy::PoolOptions &options)
{
    return policy::standardPolicy().create(withoutDisabledMechanism(options));
}

void configure(void *pool, const policy::PoolOptions &options)
{
    policy::standardPolicy().configure(pool, withoutDisabledMechanism(options));
}

policy::Decisions recordProgress(void *pool, policy::PermitId permit, const policy::Progress &progress, policy::TimePoint now)
{
    policy::Decisions decisions = policy::standardPolicy().recordProgress(pool, permit, progress, now);
    if (disabledMechanism()->name == longRequestLimitName) {
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
    disabledMechanism() = found;
    policy::PolicyFunctions functions = policy::standardPolicy();
    functions.create = create;
    functions.configure = configure;
    functions.recordProgress = recordProgress;
    const router::RouterProgram program {
        .name = "ablation-router",
        .description = "the standard router with one mechanism of its policy disabled, for measurements",
        .policy = functions,
    };
    std::vector<char *> arguments {argv[0]};
    arguments.insert(arguments.end(), argv + 3, argv + argc);
    arguments.push_back(nullptr);
    return router::runRouterProgram(program, static_cast<int>(arguments.size()) - 1, arguments.data());
}
