#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace mulberrywall::support
{

/// Runs one io_context on several threads. Sessions serialise themselves with strands.
class WorkerPool
{
public:
    /// Starts the threads; at least one is used.
    explicit WorkerPool(unsigned threads);
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;
    WorkerPool(WorkerPool &&) = delete;
    WorkerPool &operator=(WorkerPool &&) = delete;
    /// Stops without waiting for pending work.
    ~WorkerPool();

    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }
    /// Makes the threads return as soon as their current handler has ended.
    void stop();
    /// Waits until stop was called and all threads have returned.
    void join();

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

/// Calls the handler once on SIGTERM or SIGINT; a second signal ends the process at once.
void onTerminationSignal(boost::asio::io_context &context, std::function<void()> handler);

} // namespace mulberrywall::support
