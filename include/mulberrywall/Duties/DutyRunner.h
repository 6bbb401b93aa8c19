#pragma once

#include "mulberrywall/Duties/DutyHolder.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberrywall::duties
{

/// A duty that runs only while this process holds the lease. The functions are called on the holder's strand.
struct DutyTask
{
    /// Name of the duty in the settings, for example "metering".
    std::string name;
    std::function<void(std::uint64_t fence)> begin;
    /// Ends the duty and cancels its calls in progress.
    std::function<void()> end;
};

/// Runs the duties of the platform on the router that holds the lease.
class DutyRunner : public std::enable_shared_from_this<DutyRunner>
{
public:
    /// The metrics must outlive the runner.
    static std::shared_ptr<DutyRunner> create(boost::asio::io_context &context, DutyHolderOptions options, DutyStore store, support::MetricsRegistry &metrics);

    // Commands
    /// Adds a duty. Must be called before start.
    void addTask(DutyTask task);
    void start();
    /// Ends the duties, releases the lease and then calls the handler.
    void release(std::function<void()> handler);

    // Queries
    /// The holder, which gives permissions and stores rows for the tasks.
    [[nodiscard]] const std::shared_ptr<DutyHolder> &holder() const
    {
        return holder_;
    }

private:
    DutyRunner() = default;

    std::shared_ptr<DutyHolder> holder_;
    std::vector<DutyTask> tasks_;
};

} // namespace mulberrywall::duties
