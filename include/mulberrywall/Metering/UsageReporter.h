#pragma once

#include "mulberrywall/Metering/ReportQueue.h"
#include "mulberrywall/Metering/SharedUsageLedger.h"
#include "mulberrywall/Metering/UsageCounter.h"
#include "mulberrywall/Support/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace mulberrywall::metering
{

/// The reports in the platform's store. Each handler is called once, on any thread.
struct ReportStore
{
    /// Writes the batch in one transaction under the condition that this router still holds the lease.
    std::function<void(const StoreBatch &batch, std::function<void(StoreOutcome)> handler)> store;
    /// Reads all rows and the highest stored window, or returns nothing if the store does not respond. A request that is sent after the lease
    /// was taken must return all that earlier holders have stored.
    std::function<void(std::function<void(std::optional<StoredReports>)> handler)> load;
};

/// Calls the control API with the body of a report if the lease permits a call now. The handler is called once, on any thread.
using ReportSender = std::function<void(const UsageReport &report, std::function<void(SendOutcome)> handler)>;

struct UsageReporterOptions
{
    ReportQueueOptions queue;
    /// Interval at which the holder checks which reports can be assembled, stored or sent.
    std::chrono::milliseconds interval {100};
    std::chrono::milliseconds loadRetryInterval {500};
};

struct UsageReporterDependencies
{
    std::shared_ptr<UsageCounter> counter;
    std::shared_ptr<SharedUsageLedger> ledger;
    /// Returns the live routers, including this one. Called on any worker thread.
    std::function<std::vector<support::InstanceId>()> liveRouters;
    ReportStore store;
    ReportSender send;
    /// Must outlive the reporter.
    support::MetricsRegistry *metrics = nullptr;
};

/// Reports windows while this router holds the lease: assembles, stores and sends their reports. Thread-safe.
class UsageReporter : public std::enable_shared_from_this<UsageReporter>
{
public:
    UsageReporter(boost::asio::io_context &context, UsageReporterDependencies dependencies, const UsageReporterOptions &options = {});

    /// Starts reporting, with what the store contains.
    void becomeHolder();
    /// Stops reporting. Results of calls in progress are ignored.
    void loseLease();

private:
    /// Posts the function to the strand. It is not called if the lease was lost or taken anew since this call.
    template <typename Function>
    void postInTenure(std::uint64_t tenure, Function function);
    void tick();
    void step();
    void load();
    void onLoaded(const std::optional<StoredReports> &stored);
    void assemble(TrueTime now);
    void store(TrueTime now);
    void onStored(const StoreBatch &batch, StoreOutcome outcome);
    void send(TrueTime now);
    void onSent(const ReportCall &call, SendOutcome outcome);
    void recordPending() const;
    void recordWindows(std::string_view result, std::uint64_t windows) const;
    [[nodiscard]] TrueTime now() const;

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    UsageReporterDependencies dependencies_;
    UsageReporterOptions options_;
    ReportQueue queue_;
    bool isHolder_ = false;
    /// Increases when the lease is taken and when it is lost.
    std::uint64_t tenure_ = 0;
};

} // namespace mulberrywall::metering
