#include "mulberrywall/Orders/Plan.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace mulberrywall::orders
{

namespace json = boost::json;
using support::EndpointId;

namespace
{

bool isFresh(const ObservedEngine &engine, const PlanOptions &options, TimePoint now)
{
    return engine.reportedAt && now - *engine.reportedAt <= options.reportMaxAge;
}

bool isAwaitingEffect(const ObservedEngine &engine, const PlanOptions &options, TimePoint now)
{
    return engine.orderedAt && now - *engine.orderedAt < options.orderRetry;
}

bool isDue(const ObservedEngine &engine, const PlanOptions &options, TimePoint now)
{
    return !engine.attemptedAt || now - *engine.attemptedAt >= options.orderRetry;
}

bool matches(const DesiredEngine &desired, const ObservedEngine &engine)
{
    std::set<std::string> models = engine.ready;
    models.insert(engine.loading.begin(), engine.loading.end());
    const bool isVersionMatching = desired.version.empty() || desired.version == engine.version;
    const bool isRoleMatching = desired.role.empty() || desired.role == engine.role;
    return models == desired.models && engine.adapters == desired.adapters && isVersionMatching && isRoleMatching;
}

/// Counts the loading engines and the ready replicas of each model in the data centre. The counts are updated when an
/// engine is selected for an order.
class ReplicaCounts
{
public:
    ReplicaCounts(std::span<const DesiredEngine> desired, const ObservedEngines &observed, const PlanOptions &options, TimePoint now)
    {
        for (const DesiredEngine &engine : desired) {
            desiredModels_.insert(engine.models.begin(), engine.models.end());
            const auto found = observed.find(engine.id);
            if (found == observed.end()) {
                continue;
            }
            const ObservedEngine &state = found->second;
            const bool isReported = isFresh(state, options, now);
            const bool isLoading = (isReported && !state.loading.empty()) || (isAwaitingEffect(state, options, now) && !matches(engine, state));
            loadingEngines_ += isLoading ? 1 : 0;
            if (isReported && !isLoading) {
                serving_[engine.id] = state.ready;
                count(state.ready, 1);
            }
        }
    }

    [[nodiscard]] std::size_t loadingEngines() const
    {
        return loadingEngines_;
    }
    [[nodiscard]] bool providesMissingModel(const DesiredEngine &engine) const
    {
        return std::any_of(engine.models.begin(), engine.models.end(), [this](const std::string &model) { return readyCount(model) == 0; });
    }
    [[nodiscard]] bool hasLastReadyReplica(const EndpointId &id) const
    {
        const auto found = serving_.find(id);
        return found != serving_.end() && std::any_of(found->second.begin(), found->second.end(), [this](const std::string &model) {
            return desiredModels_.contains(model) && readyCount(model) <= 1;
        });
    }
    void takeOutOfService(const EndpointId &id)
    {
        ++loadingEngines_;
        if (const auto found = serving_.find(id); found != serving_.end()) {
            count(found->second, -1);
            serving_.erase(found);
        }
    }

private:
    [[nodiscard]] int readyCount(const std::string &model) const
    {
        const auto found = ready_.find(model);
        return found == ready_.end() ? 0 : found->second;
    }
    void count(const std::set<std::string> &models, int difference)
    {
        for (const std::string &model : models) {
            ready_[model] += difference;
        }
    }

    std::set<std::string> desiredModels_;
    std::map<std::string, int> ready_;
    std::map<EndpointId, std::set<std::string>> serving_;
    std::size_t loadingEngines_ = 0;
};

json::array renderNames(const std::set<std::string> &names)
{
    json::array array;
    for (const std::string &name : names) {
        array.emplace_back(name);
    }
    return array;
}

/// Returns the names in an array member, or none if the member is missing. Throws if it is not an array of strings.
std::set<std::string> parseNames(const json::object &object, std::string_view member)
{
    std::set<std::string> names;
    if (const json::value *array = object.if_contains(member)) {
        for (const json::value &name : array->as_array()) {
            names.insert(std::string(name.as_string()));
        }
    }
    return names;
}

std::string parseText(const json::object &object, std::string_view member)
{
    const json::value *text = object.if_contains(member);
    return text == nullptr ? std::string() : std::string(text->as_string());
}

} // namespace

std::vector<DesiredEngine> desiredEngines(const configuration::SiteConfiguration &site)
{
    std::vector<DesiredEngine> engines;
    for (const configuration::Endpoint &endpoint : site.endpoints) {
        DesiredEngine engine {.id = endpoint.id, .address = endpoint.address, .port = endpoint.port, .support = endpoint.support};
        for (const support::PoolId &poolId : endpoint.pools) {
            const configuration::Pool *pool = configuration::findPool(site, poolId);
            if (pool != nullptr && pool->kind == configuration::PoolKind::ModelEngine) {
                engine.models.insert(poolId.value());
            }
        }
        if (!engine.models.empty()) {
            engines.push_back(std::move(engine));
        }
    }
    std::sort(engines.begin(), engines.end(), [](const DesiredEngine &left, const DesiredEngine &right) { return left.id < right.id; });
    return engines;
}

std::vector<EndpointId> planOrders(std::span<const DesiredEngine> desired, const ObservedEngines &observed, const PlanOptions &options, TimePoint now)
{
    ReplicaCounts replicas(desired, observed, options, now);
    std::vector<const DesiredEngine *> candidates;
    for (const DesiredEngine &engine : desired) {
        const auto found = observed.find(engine.id);
        const bool hasFreshReport = found != observed.end() && isFresh(found->second, options, now);
        if (hasFreshReport && isDue(found->second, options, now) && !matches(engine, found->second)) {
            candidates.push_back(&engine);
        }
    }
    const auto lastAttempt = [&observed](const DesiredEngine *engine) {
        return observed.at(engine->id).attemptedAt.value_or(TimePoint::min());
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&lastAttempt](const DesiredEngine *left, const DesiredEngine *right) {
        return lastAttempt(left) < lastAttempt(right);
    });
    std::stable_partition(candidates.begin(), candidates.end(), [&replicas](const DesiredEngine *engine) { return replicas.providesMissingModel(*engine); });

    std::vector<EndpointId> chosen;
    for (const DesiredEngine *engine : candidates) {
        if (replicas.loadingEngines() >= options.maxLoads) {
            break;
        }
        if (!replicas.hasLastReadyReplica(engine->id)) {
            replicas.takeOutOfService(engine->id);
            chosen.push_back(engine->id);
        }
    }
    return chosen;
}

std::string renderOrder(const DesiredEngine &desired, std::uint64_t fencing, std::chrono::system_clock::time_point expiresAt)
{
    json::object order;
    order["fencing"] = fencing;
    order["expiresAtMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(expiresAt.time_since_epoch()).count();
    order["desired"] = json::object {
        {"models", renderNames(desired.models)},
        {"adapters", renderNames(desired.adapters)},
        {"version", desired.version},
        {"role", desired.role},
    };
    return json::serialize(order);
}

bool parseEngineState(ObservedEngine &observed, std::string_view text, TimePoint now)
{
    try {
        const json::value document = json::parse(json::string_view(text.data(), text.size()));
        const json::object &object = document.as_object();
        ObservedEngine state {.reportedAt = now, .orderedAt = observed.orderedAt, .attemptedAt = observed.attemptedAt};
        state.ready = parseNames(object, "models");
        state.loading = parseNames(object, "loading");
        state.adapters = parseNames(object, "adapters");
        state.version = parseText(object, "version");
        state.role = parseText(object, "role");
        observed = std::move(state);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace mulberrywall::orders
