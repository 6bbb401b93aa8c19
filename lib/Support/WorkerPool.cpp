#include "mulberrywall/Support/WorkerPool.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <memory>
#include <utility>

namespace mulberrywall::support
{

/// Runs handlers until the context is stopped. An exception that a handler throws is logged and ends only that handler,
/// so that the requests of other callers continue.
static void runHandlers(boost::asio::io_context &context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            log(Severity::Error, "unexpected exception in a handler; report it as a defect", {{"reason", error.what()}});
        }
    }
}

WorkerPool::WorkerPool(unsigned threads)
    : context_(static_cast<int>(std::max(threads, 1U))),
      work_(boost::asio::make_work_guard(context_))
{
    for (unsigned index = 0; index < std::max(threads, 1U); ++index) {
        threads_.emplace_back([this] { runHandlers(context_); });
    }
}

WorkerPool::~WorkerPool()
{
    stop();
    join();
}

void WorkerPool::stop()
{
    context_.stop();
}

void WorkerPool::join()
{
    for (std::thread &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

/// Ends the process on SIGINT. A repeated SIGTERM changes nothing: supervisors send it again while requests are still
/// running, and these would end without a response.
static void awaitForcedExit(const std::shared_ptr<boost::asio::signal_set> &signals)
{
    signals->async_wait([signals](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGINT) {
            std::_Exit(EXIT_FAILURE);
        }
        log(Severity::Info, "repeated termination signal ignored; the shutdown is in progress", {{"signal", signal}});
        awaitForcedExit(signals);
    });
}

void onTerminationSignal(boost::asio::io_context &context, std::function<void()> handler)
{
    auto signals = std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait([signals, handler = std::move(handler)](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        log(Severity::Info, "termination signal received", {{"signal", signal}});
        handler();
        awaitForcedExit(signals);
    });
}

} // namespace mulberrywall::support
