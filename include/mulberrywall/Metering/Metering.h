#pragma once

#include "mulberrywall/Metering/UsageExchange.h"
#include "mulberrywall/Metering/UsageReporter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace mulberrywall::metering
{

struct MeteringOptions
{
    UsageExchangeOptions exchange;
    UsageReporterOptions reporter;
    UsageLedgerOptions ledger;
};

/// What metering needs from the rest of the router. All functions are called on any worker thread.
struct MeteringDependencies
{
    /// Returns the candidates for the lease, which may include this router; see usagePeerOf.
    std::function<std::vector<UsagePeer>()> candidates;
    /// Returns the live routers, including this one.
    std::function<std::vector<support::InstanceId>()> liveRouters;
    /// See UsageExchangeHandlers.
    std::function<std::map<support::PoolId, std::uint32_t>()> waiting;
    ReportStore store;
    ReportSender send;
    /// Must outlive the metering.
    support::MetricsRegistry *metrics = nullptr;
};

/// Usage metering of one router: exchanges counts and, while this router holds the lease, reports the windows. Thread-safe.
class Metering
{
public:
    Metering(std::shared_ptr<SharedUsageLedger> ledger, std::shared_ptr<UsageExchange> exchange, std::shared_ptr<UsageReporter> reporter);

    // Commands
    /// Must be called when this router has taken the lease, before its first call.
    void becomeHolder();
    void loseLease();
    /// Ends reporting and sends the last counts; see UsageExchange::stop. To be called when no request runs any more.
    void stop();

    // Queries
    /// Returns the latest demand of the routers, by instance and data centre. Complete only at candidates.
    [[nodiscard]] std::vector<RouterDemand> demand() const;

private:
    std::shared_ptr<SharedUsageLedger> ledger_;
    std::shared_ptr<UsageExchange> exchange_;
    std::shared_ptr<UsageReporter> reporter_;
};

/// Binds the socket and starts the exchange of counts. Throws boost::system::system_error if the address is in use.
///
/// The counter may have counted before, since the secret is known only some time after requests are served. The windows of the reporter must be
/// as long as those of the counter.
std::shared_ptr<Metering> startMetering(
    boost::asio::io_context &context, const std::shared_ptr<UsageCounter> &counter, const MeteringOptions &options, MeteringDependencies dependencies);

} // namespace mulberrywall::metering
