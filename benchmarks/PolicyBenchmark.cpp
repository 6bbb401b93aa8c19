#include "Naive/NaivePolicy.h"
#include "mulberrywall/Policy/PolicyFunctions.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <string>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

namespace
{

constexpr unsigned slotsPerEndpoint = 16;
constexpr unsigned organisations = 100;

/// A pool with all slots in use and a queue of constant length.
class SaturatedPool
{
public:
    SaturatedPool(const PolicyFunctions &functions, std::size_t waiting, unsigned endpointCount)
        : functions_(functions)
    {
        PoolOptions options {.queueLimit = 2 * waiting + 1};
        for (support::Tier tier = 0; tier < 3; ++tier) {
            options.classes.push_back({.id = support::ClassId("tier" + std::to_string(tier)), .tier = tier, .firstTokenTarget = 24h, .maximumWait = 24h});
        }
        pool_ = functions_.create(options);
        std::vector<EndpointSpec> endpoints;
        for (unsigned i = 0; i < endpointCount; ++i) {
            endpoints.push_back({.id = support::EndpointId("endpoint-" + std::to_string(i)), .maximumConcurrency = slotsPerEndpoint, .prefixCache = true});
        }
        functions_.setEndpoints(pool_.get(), endpoints, now_);
        for (std::size_t i = 0; i < waiting + std::size_t {endpointCount} * slotsPerEndpoint; ++i) {
            submit();
        }
    }

    void submit()
    {
        const PermitId permit = nextPermit_;
        ++nextPermit_;
        recordGrants(functions_.submit(pool_.get(),
            {.permit = permit,
                .requestClass = support::ClassId("tier" + std::to_string(permit % 3)),
                .organisation = support::OrganisationId("organisation-" + std::to_string(permit * 7 % organisations)),
                .fingerprint = permit,
                .prefixHash = permit % 50,
                .promptTokens = 500},
            now_));
    }

    void completeOldest()
    {
        now_ += 1ms;
        const PermitId permit = running_.front();
        running_.pop_front();
        recordGrants(functions_.complete(pool_.get(), permit, {.outputTokens = 100}, now_));
    }

    void progressOldest()
    {
        now_ += 1ms;
        ++tokens_;
        recordGrants(functions_.recordProgress(pool_.get(), running_.front(), {.outputTokens = tokens_}, now_));
    }

private:
    void recordGrants(const Decisions &decisions)
    {
        for (const Grant &grant : decisions.grants) {
            running_.push_back(grant.permit);
        }
    }

    const PolicyFunctions &functions_;
    PoolHandle pool_;
    TimePoint now_ {1h};
    PermitId nextPermit_ = 1;
    std::uint64_t tokens_ = 0;
    std::deque<PermitId> running_;
};

/// Measures one submission and one completion, which grants a slot to one waiting request.
void submitAndComplete(benchmark::State &state, const PolicyFunctions &functions)
{
    SaturatedPool pool(functions, static_cast<std::size_t>(state.range(0)), static_cast<unsigned>(state.range(1)));
    for ([[maybe_unused]] const auto step : state) {
        pool.submit();
        pool.completeOldest();
    }
}

/// Measures one progress report of a running request.
void recordProgress(benchmark::State &state, const PolicyFunctions &functions)
{
    SaturatedPool pool(functions, static_cast<std::size_t>(state.range(0)), static_cast<unsigned>(state.range(1)));
    for ([[maybe_unused]] const auto step : state) {
        pool.progressOldest();
    }
}

void standardSubmitAndComplete(benchmark::State &state)
{
    submitAndComplete(state, standardPolicy());
}

void naiveSubmitAndComplete(benchmark::State &state)
{
    submitAndComplete(state, naive::naivePolicy());
}

void standardRecordProgress(benchmark::State &state)
{
    recordProgress(state, standardPolicy());
}

// Arguments are the numbers of waiting requests and of endpoints. A pool of the target size has 25 endpoints.
BENCHMARK(standardSubmitAndComplete)->Args({16, 25})->Args({256, 25})->Args({4'096, 25})->Args({256, 4})->Args({256, 100});
BENCHMARK(naiveSubmitAndComplete)->Args({16, 25})->Args({256, 25})->Args({4'096, 25})->Args({256, 4})->Args({256, 100});
BENCHMARK(standardRecordProgress)->Args({256, 4})->Args({256, 25})->Args({256, 100});

} // namespace

} // namespace mulberrywall::policy
