#include "Engine/Engine.h"

#include "Engine/EngineAnswers.h"
#include "Engine/EngineMessages.h"

#include <boost/json/value_to.hpp>

#include <algorithm>

namespace mulberrywall::standin
{

using http::ServerExchangePtr;
using http::Status;

json::object Engine::state() const
{
    json::array ready;
    json::array loading;
    for (const auto &[model, readyAt] : models_) {
        (readyAt <= Clock::now() ? ready : loading).emplace_back(model);
    }
    return {{"models", ready},
        {"loading", loading},
        {"role", role_},
        {"fencing", fencing_},
        {"lastOrderFencing", lastOrderFencing_},
        {"incarnation", incarnation_},
        {"leaving", leaving_}};
}

void Engine::reportLoad(const ServerExchangePtr &exchange)
{
    const LoadSample &base = samples_.front();
    const LoadSample &sample = samples_.size() > 1 ? samples_[1] : base;
    const double seconds = std::chrono::duration<double>(sample.time - base.time).count();
    const double rate = seconds > 0 ? static_cast<double>(sample.tokens - base.tokens) / seconds : 0.0;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sample.time);
    respondJson(exchange, json::object {{"running", sample.running}, {"waiting", sample.waiting}, {"tokensPerSecond", rate}, {"measuredMsAgo", age.count()}});
}

void Engine::reportState(const ServerExchangePtr &exchange)
{
    respondJson(exchange, state());
}

void Engine::reportModels(const ServerExchangePtr &exchange)
{
    json::array data;
    for (const auto &[model, readyAt] : models_) {
        data.push_back(json::object {{"id", model}, {"object", "model"}});
    }
    respondJson(exchange, json::object {{"object", "list"}, {"data", data}});
}

void Engine::reportCounts(const ServerExchangePtr &exchange)
{
    const auto render = [](const RequestCounters &count) {
        return json::object {
            {"received", count.received}, {"runs", count.runs}, {"tokens", count.tokens}, {"completed", count.completed}, {"cancelled", count.cancelled}};
    };
    json::object requests;
    for (const auto &[id, count] : counts_) {
        requests[id] = render(count);
    }
    json::object body = render(total_);
    body["refused"] = refused_;
    body["staleOrders"] = staleOrders_;
    body["running"] = running_.size();
    body["waiting"] = waiting_.size();
    body["requests"] = std::move(requests);
    respondJson(exchange, body);
}

void Engine::reportCacheEvents(const ServerExchangePtr &exchange)
{
    const std::uint64_t after = parseNumber(http::queryParameter(std::string_view(exchange->request().target()), "after"));
    json::array events;
    for (const CacheEvent &event : cacheEvents_) {
        const bool isDelayed = event.time + options_.cacheEventLag > Clock::now();
        const bool isDropped = options_.cacheEventGap > 0 && event.sequence % options_.cacheEventGap == 0;
        if (event.sequence > after && !isDelayed && !isDropped) {
            const char *kind = event.change.kind == CacheChange::Kind::Stored ? "stored" : "evicted";
            events.push_back(json::object {{"sequence", event.sequence}, {"kind", kind}, {"block", event.change.block}});
        }
    }
    respondJson(exchange, json::object {{"events", events}});
}

void Engine::exportCache(const ServerExchangePtr &exchange)
{
    std::vector<std::uint64_t> blocks = PrefixCache::blockHashes(promptOf(parseJsonBody(exchange)));
    blocks.resize(cache_.match(blocks));
    respondJson(exchange, json::object {{"blocks", blocksToJson(blocks)}});
}

void Engine::importCache(const ServerExchangePtr &exchange)
{
    const json::object body = parseJsonBody(exchange);
    std::vector<std::uint64_t> blocks;
    if (const json::value *array = body.if_contains("blocks"); array != nullptr && array->is_array()) {
        for (const json::value &block : array->get_array()) {
            blocks.push_back(block.to_number<std::uint64_t>());
        }
    }
    storeBlocks(blocks);
    respondJson(exchange, json::object {{"imported", blocks.size()}});
}

static std::uint64_t numberMember(const json::object &object, std::string_view name)
{
    const json::value *number = object.if_contains(name);
    return number != nullptr && number->is_number() ? number->to_number<std::uint64_t>() : 0;
}

/// Handles POST /v1/orders with the body {"fencing", "expiresAtMs", "desired": {"models", "role"}}.
/// A member missing from
/// "desired" leaves that part of the state unchanged.
void Engine::handleOrder(const ServerExchangePtr &exchange)
{
    if (!options_.orderKey.empty() && http::fieldValue(exchange->request(), "Authorization") != "Bearer " + options_.orderKey) {
        refuse(exchange, Status::unauthorized, "the order's sender is not authenticated");
        return;
    }
    const json::object body = parseJsonBody(exchange);
    const std::uint64_t fencing = numberMember(body, "fencing");
    const bool isStale = fencing < fencing_;
    staleOrders_ += isStale ? 1 : 0;
    if (isStale && options_.checksFencing) {
        respondJson(exchange, {{"fencing", fencing_}}, Status::conflict);
        return;
    }
    fencing_ = std::max(fencing_, fencing);
    lastOrderFencing_ = fencing;
    if (const json::value *desired = body.if_contains("desired"); desired != nullptr && desired->is_object()) {
        applyOrder(desired->get_object());
    }
    respondJson(exchange, state());
}

void Engine::applyOrder(const json::object &desired)
{
    if (const json::value *models = desired.if_contains("models"); models != nullptr && models->is_array()) {
        std::map<std::string, Clock::time_point> loaded;
        for (const json::value &model : models->get_array()) {
            const std::string name = json::value_to<std::string>(model);
            const auto existing = models_.find(name);
            loaded[name] = existing != models_.end() ? existing->second : Clock::now() + options_.modelLoadTime;
        }
        models_ = std::move(loaded);
    }
    if (const std::string role = stringMember(desired, "role"); !role.empty()) {
        role_ = role;
    }
}

void Engine::handleControl(const ServerExchangePtr &exchange)
{
    const json::object body = parseJsonBody(exchange);
    if (const json::value *factor = body.if_contains("slowFactor"); factor != nullptr && factor->is_number()) {
        slowFactor_ = factor->to_number<double>();
    }
    if (body.contains("crashMarker")) {
        crashMarker_ = stringMember(body, "crashMarker");
    }
    readBoolMember(body, "frozen", frozen_);
    readBoolMember(body, "leaving", leaving_);
    readBoolMember(body, "refuse", refusing_);
    readBoolMember(body, "statesLeaving", statesLeaving_);
    if (body.contains("refuseForMs")) {
        refusesUntil_ = Clock::now() + std::chrono::milliseconds(numberMember(body, "refuseForMs"));
    }
    respondJson(exchange, state());
    if (!frozen_) {
        for (const ServerExchangePtr &held : std::exchange(heldWhileFrozen_, {})) {
            boost::asio::post(held->executor(), [this, held] { handle(held); });
        }
    }
}

} // namespace mulberrywall::standin
