#include "mulberrywall/Router/CapacityController.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

using policy::CapacityOrderResult;

static std::string_view toString(CapacityOrderResult result)
{
    switch (result) {
    case CapacityOrderResult::Accepted:
        return "accepted";
    case CapacityOrderResult::Unavailable:
        return "unavailable";
    case CapacityOrderResult::Rejected:
        return "rejected";
    case CapacityOrderResult::Unknown:
        return "unknown";
    }
    return "";
}

static std::string_view kindName(bool spot)
{
    return spot ? "spot" : "on-demand";
}

CapacityController::CapacityController(
    boost::asio::io_context &context, support::MetricsRegistry &metrics, CapacityControllerOptions options, CapacityControllerSources sources)
    : strand_(boost::asio::make_strand(context)),
      timer_(strand_),
      metrics_(metrics),
      options_(options),
      sources_(std::move(sources)),
      demand_ {.options = options.demand, .routers = {}}
{
}

void CapacityController::becomeHolder()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->plan_ = {.tuning = self->options_.tuning, .pools = {}};
        self->isHolder_ = true;
        ++self->term_;
        self->metrics_.setGauge("mulberrywall_capacity_holder", 1.0);
        self->plan();
    });
}

void CapacityController::loseDuty()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->isHolder_ = false;
        self->timer_.cancel();
        self->metrics_.setGauge("mulberrywall_capacity_holder", 0.0);
    });
}

void CapacityController::setEndpoints(std::vector<RegisteredEndpoint> endpoints)
{
    boost::asio::post(strand_, [self = shared_from_this(), endpoints = std::move(endpoints)]() mutable { self->endpoints_ = std::move(endpoints); });
}

void CapacityController::recordDemand(policy::DemandReport report)
{
    boost::asio::post(
        strand_, [self = shared_from_this(), report = std::move(report)] { policy::recordDemand(self->demand_, report, std::chrono::steady_clock::now()); });
}

void CapacityController::armTimer()
{
    timer_.expires_after(options_.interval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->plan();
        }
    });
}

void CapacityController::plan()
{
    if (!isHolder_) {
        return;
    }
    support::logExceptions("plan capacity", [this] {
        const ConfigurationSnapshot configuration = sources_.configuration();
        if (!configuration || !endpoints_) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const std::set<support::InstanceId> live = sources_.liveRouters();
        policy::removeLostRouters(demand_, live, now);
        const CapacityQueries queries {.demand = [&](const support::PoolId &pool) { return policy::poolDemand(demand_, pool, live, now); },
            .load = sources_.load,
            .prefillSpeed = sources_.prefillSpeed};
        const policy::CapacityInputs inputs = collectCapacityInputs(*configuration, *endpoints_, queries, options_.tuning);
        const std::vector<policy::CapacityOrder> orders = policy::planCapacity(plan_, inputs, now);
        for (std::size_t index = 0; index < std::min(orders.size(), options_.maximumOrders); ++index) {
            send(orders[index], inputs, now);
        }
        for (const policy::PoolCapacityInputs &pool : inputs.pools) {
            publishMetrics(pool);
        }
    });
    armTimer();
}

void CapacityController::send(const policy::CapacityOrder &order, const policy::CapacityInputs &inputs, policy::TimePoint now)
{
    const auto pool = std::find_if(inputs.pools.begin(), inputs.pools.end(), [&](const auto &entry) { return entry.pool == order.pool; });
    const policy::CapacityFigures *figures = policy::findCapacityFigures(plan_, order.pool);
    if (pool == inputs.pools.end() || figures == nullptr) {
        return;
    }
    const auto group = pool->groups.find({.dataCentre = order.dataCentre, .spot = order.spot});
    const policy::CapacityGroup registered = group == pool->groups.end() ? policy::CapacityGroup() : group->second;
    support::log(support::Severity::Info,
        "capacity order",
        {{"service", order.pool.value()},
            {"dataCentre", order.dataCentre.value()},
            {"kind", kindName(order.spot)},
            {"desired", order.desired},
            {"registered", registered.ready},
            {"leaving", registered.leaving},
            {"required", figures->required},
            {"requiredAfterLoss", figures->requiredAfterLoss},
            {"ready", figures->ready},
            {"starting", figures->starting},
            {"need", figures->latestNeed},
            {"plannedNeed", figures->plannedNeed},
            {"utilisation", figures->utilisation},
            {"correction", figures->correction},
            {"demandComplete", figures->isDemandComplete}});
    policy::recordOrderSent(plan_, order, pool->spec.bootTime, now);
    sources_.sendOrder(order, [weak = weak_from_this(), strand = strand_, term = term_, order](CapacityOrderResult result) {
        boost::asio::post(strand, [weak, term, order, result] {
            if (const auto self = weak.lock()) {
                self->onResult(term, order, result);
            }
        });
    });
}

void CapacityController::onResult(std::uint64_t term, const policy::CapacityOrder &order, CapacityOrderResult result)
{
    metrics_.increment("mulberrywall_capacity_orders_total", {{"pool", order.pool.value()}, {"result", toString(result)}});
    if (result != CapacityOrderResult::Accepted) {
        support::log(support::Severity::Warning,
            "capacity order not accepted",
            {{"service", order.pool.value()},
                {"dataCentre", order.dataCentre.value()},
                {"kind", kindName(order.spot)},
                {"desired", order.desired},
                {"result", toString(result)}});
    }
    if (term == term_ && isHolder_) {
        policy::recordOrderResult(plan_, order, result, std::chrono::steady_clock::now());
    }
}

void CapacityController::publishMetrics(const policy::PoolCapacityInputs &pool)
{
    const policy::CapacityFigures *figures = policy::findCapacityFigures(plan_, pool.pool);
    if (figures == nullptr) {
        return;
    }
    for (const auto &[cell, desired] : figures->desired) {
        const auto group = pool.groups.find(cell);
        const support::MetricLabels labels {{"pool", pool.pool.value()}, {"dataCentre", cell.dataCentre.value()}, {"kind", kindName(cell.spot)}};
        metrics_.setGauge("mulberrywall_capacity_desired", desired, labels);
        metrics_.setGauge("mulberrywall_capacity_ready", group == pool.groups.end() ? 0 : group->second.ready, labels);
    }
    metrics_.setGauge("mulberrywall_capacity_cost_per_second", costPerSecond(pool), {{"pool", pool.pool.value()}});
}

} // namespace mulberrywall::router
