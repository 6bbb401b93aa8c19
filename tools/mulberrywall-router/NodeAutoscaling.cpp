#include "NodeAutoscaling.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace mulberrywall::router
{

namespace
{

/// Interval at which routers send their demand.
constexpr std::chrono::milliseconds demandInterval = metering::UsageExchangeOptions::defaultInterval;

policy::DemandReport toDemandReport(const metering::RouterDemand &demand)
{
    policy::DemandReport report {.router = demand.instance, .dataCentre = demand.dataCentre, .incarnation = demand.incarnation};
    for (const metering::PoolDemand &pool : demand.pools) {
        report.pools.emplace(pool.pool,
            policy::DemandCounters {.acceptedPromptTokens = pool.promptTokensAccepted,
                .refusedPromptTokens = pool.promptTokensRefused,
                .outputTokens = pool.outputTokens,
                .requestsStarted = pool.requestsStarted,
                .requestsRefused = pool.requestsRefused,
                .waiting = pool.waiting});
    }
    return report;
}

policy::CapacityOrderResult toOrderResult(platform::ControlStatus status)
{
    switch (status) {
    case platform::ControlStatus::Accepted:
        return policy::CapacityOrderResult::Accepted;
    case platform::ControlStatus::Unavailable:
        return policy::CapacityOrderResult::Unavailable;
    case platform::ControlStatus::Rejected:
        return policy::CapacityOrderResult::Rejected;
    case platform::ControlStatus::Unknown:
        return policy::CapacityOrderResult::Unknown;
    }
    return policy::CapacityOrderResult::Unknown;
}

CapacityControllerSources makeSources(RouterService &service, const NodeDuties &duties, const std::shared_ptr<const LiveMembers> &members)
{
    return {.configuration = [&service] { return service.configuration(); },
        .liveRouters =
            [members] {
                const std::vector<support::InstanceId> instances = members->instances();
                return std::set<support::InstanceId>(instances.begin(), instances.end());
            },
        .load =
            [&service](const support::PoolId &id) {
                const auto pool = service.pools().find(id);
                return pool ? pool->summarizeLoad(policy::SummaryScope::AllRouters) : policy::PeerSummary();
            },
        .sendOrder =
            [holder = duties.runner->holder(), control = duties.control](const policy::CapacityOrder &order, CapacityOrderHandler handler) {
                const auto permission = holder->mayAct();
                if (!permission) {
                    handler(policy::CapacityOrderResult::Rejected);
                    return;
                }
                control->orderEndpoints(
                    *permission, order, [handler = std::move(handler)](const platform::ControlResult &result) { handler(toOrderResult(result.status)); });
            }};
}

} // namespace

NodeAutoscaling::NodeAutoscaling(boost::asio::io_context &context,
    RouterService &service,
    const NodeDuties &duties,
    std::shared_ptr<const NodeMetering> metering,
    const std::shared_ptr<const LiveMembers> &members)
    : strand_(boost::asio::make_strand(context)),
      timer_(strand_),
      metering_(std::move(metering)),
      controller_(std::make_shared<CapacityController>(context, service.metrics(), CapacityControllerOptions(), makeSources(service, duties, members)))
{
}

void NodeAutoscaling::start()
{
    boost::asio::post(strand_, [self = shared_from_this()] { self->recordDemand(); });
}

void NodeAutoscaling::stop()
{
    controller_->loseDuty();
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
    });
}

void NodeAutoscaling::setEndpoints(std::vector<RegisteredEndpoint> endpoints)
{
    controller_->setEndpoints(std::move(endpoints));
}

duties::DutyTask NodeAutoscaling::makeTask()
{
    return {.name = std::string(autoscalingDuty),
        .begin = [controller = controller_](std::uint64_t) { controller->becomeHolder(); },
        .end =
            [controller = controller_] {
                controller->loseDuty();
            }};
}

void NodeAutoscaling::recordDemand()
{
    if (stopped_) {
        return;
    }
    const support::BootClock::time_point now = support::BootClock::now();
    for (const metering::RouterDemand &demand : metering_->demand()) {
        // An older report would count as a sign of life of a router that is silent.
        if (now - demand.receivedAt < 2 * demandInterval) {
            controller_->recordDemand(toDemandReport(demand));
        }
    }
    timer_.expires_after(demandInterval);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->recordDemand();
        }
    });
}

} // namespace mulberrywall::router
