#include "mulberrywall/Metering/Metering.h"

#include <utility>

namespace mulberrywall::metering
{

Metering::Metering(std::shared_ptr<SharedUsageLedger> ledger, std::shared_ptr<UsageExchange> exchange, std::shared_ptr<UsageReporter> reporter)
    : ledger_(std::move(ledger)),
      exchange_(std::move(exchange)),
      reporter_(std::move(reporter))
{
}

void Metering::becomeHolder()
{
    reporter_->becomeHolder();
}

void Metering::loseLease()
{
    reporter_->loseLease();
}

void Metering::stop()
{
    reporter_->loseLease();
    exchange_->stop();
}

std::vector<RouterDemand> Metering::demand() const
{
    return ledger_->demand(support::BootClock::now());
}

std::shared_ptr<Metering> startMetering(
    boost::asio::io_context &context, const std::shared_ptr<UsageCounter> &counter, const MeteringOptions &options, MeteringDependencies dependencies)
{
    auto ledger = std::make_shared<SharedUsageLedger>(options.ledger);
    auto exchange = UsageExchange::create(
        context, counter, ledger, options.exchange, {.candidates = std::move(dependencies.candidates), .waiting = std::move(dependencies.waiting)});
    auto reporter = std::make_shared<UsageReporter>(context,
        UsageReporterDependencies {.counter = counter,
            .ledger = ledger,
            .liveRouters = std::move(dependencies.liveRouters),
            .store = std::move(dependencies.store),
            .send = std::move(dependencies.send),
            .metrics = dependencies.metrics},
        options.reporter);
    exchange->start();
    return std::make_shared<Metering>(std::move(ledger), std::move(exchange), std::move(reporter));
}

} // namespace mulberrywall::metering
