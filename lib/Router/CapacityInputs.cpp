#include "mulberrywall/Router/CapacityInputs.h"

#include <algorithm>
#include <map>

namespace mulberrywall::router
{

namespace
{

using Seconds = std::chrono::duration<double>;

policy::CapacitySpec makeSpec(const configuration::ScalingSpec &scaling)
{
    return {.minimum = scaling.minimum, .maximum = scaling.maximum, .bootTime = scaling.bootTime, .spotPrice = scaling.spotPrice, .prices = scaling.prices};
}

bool serves(const RegisteredEndpoint &entry, const support::PoolId &pool)
{
    const auto &pools = entry.endpoint.pools;
    return std::find(pools.begin(), pools.end(), pool) != pools.end();
}

std::optional<double> speedOf(const CapacityQueries &queries, const support::PoolId &pool, const support::EndpointId &endpoint)
{
    const auto speed = queries.prefillSpeed ? queries.prefillSpeed(pool, endpoint) : std::nullopt;
    return speed && *speed > 0.0 ? speed : std::nullopt;
}

void addEndpoint(policy::CapacityGroup &group, const RegisteredEndpoint &entry, std::optional<double> speed)
{
    if (entry.leaving) {
        ++group.leaving;
        return;
    }
    ++group.ready;
    group.slots += entry.endpoint.maximumConcurrency;
    if (speed) {
        group.prefillTokensPerSecond += *speed;
        ++group.knownSpeeds;
    }
}

std::uint64_t pendingTokens(const policy::PeerEndpointLoad &load)
{
    std::uint64_t tokens = 0;
    for (const policy::PeerPrefill &prefill : load.pendingPrefill) {
        tokens += prefill.tokens;
    }
    return tokens;
}

policy::PoolCapacityInputs collectPool(
    const configuration::Pool &pool, std::span<const RegisteredEndpoint> endpoints, const CapacityQueries &queries, const policy::CapacityTuning &tuning)
{
    policy::PoolCapacityInputs inputs {.pool = pool.id, .spec = makeSpec(*pool.scaling), .demand = queries.demand(pool.id)};
    std::map<support::EndpointId, policy::PeerEndpointLoad> loads;
    for (policy::PeerEndpointLoad &load : (queries.load ? queries.load(pool.id) : policy::PeerSummary()).endpoints) {
        const support::EndpointId id = load.endpoint;
        loads.emplace(id, std::move(load));
    }
    Seconds pending {0.0};
    unsigned ready = 0;
    for (const RegisteredEndpoint &entry : endpoints) {
        if (!serves(entry, pool.id)) {
            continue;
        }
        const auto speed = speedOf(queries, pool.id, entry.endpoint.id);
        addEndpoint(inputs.groups[{.dataCentre = entry.dataCentre, .spot = entry.spot}], entry, speed);
        if (entry.leaving) {
            continue;
        }
        ++ready;
        const auto load = loads.find(entry.endpoint.id);
        if (load == loads.end()) {
            continue;
        }
        inputs.running += load->second.running;
        pending += Seconds(static_cast<double>(pendingTokens(load->second)) / speed.value_or(tuning.defaultPrefillTokensPerSecond));
    }
    if (ready > 0) {
        inputs.pendingPrefill = std::chrono::round<std::chrono::milliseconds>(pending / ready);
    }
    return inputs;
}

} // namespace

policy::CapacityInputs collectCapacityInputs(const configuration::SiteConfiguration &configuration,
    std::span<const RegisteredEndpoint> endpoints,
    const CapacityQueries &queries,
    const policy::CapacityTuning &tuning)
{
    policy::CapacityInputs inputs;
    for (const configuration::Pool &pool : configuration.pools) {
        if (pool.scaling) {
            inputs.pools.push_back(collectPool(pool, endpoints, queries, tuning));
        }
    }
    return inputs;
}

double costPerSecond(const policy::PoolCapacityInputs &pool)
{
    double cost = 0.0;
    for (const auto &[cell, group] : pool.groups) {
        const auto price = pool.spec.prices.find(cell.dataCentre);
        if (price != pool.spec.prices.end()) {
            cost += (group.ready + group.leaving) * price->second * (cell.spot ? pool.spec.spotPrice.value_or(1.0) : 1.0);
        }
    }
    return cost;
}

} // namespace mulberrywall::router
