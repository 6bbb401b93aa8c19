#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace mulberrywall::support
{

/// Runs one io_context on several threads. Handlers that share state must be serialised with a strand.
class WorkerPool
{
public:
    /// Starts the given number of threads, but at least one.
    explicit WorkerPool(unsigned threads);
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;
    WorkerPool(WorkerPool &&) = delete;
    WorkerPool &operator=(WorkerPool &&) = delete;
    /// Stops and joins the threads without running pending handlers.
    ~WorkerPool();

    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }
    /// Makes each thread exit after its current handler.
    void stop();
    /// Waits until all threads have exited, which requires a call of stop.
    void join();

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

/// Calls the handler once on SIGTERM or SIGINT. A SIGINT after the first signal terminates the process immediately; a
/// SIGTERM after it is ignored.
void onTerminationSignal(boost::asio::io_context &context, std::function<void()> handler);

} // namespace mulberrywall::support
