#pragma once

#include <kj/async-io.h>
#include <kj/function.h>

#include <mutex>
#include <thread>
#include <vector>

namespace mulberrywall::permits
{

/// A thread that runs Cap'n Proto's event loop, which cannot share a thread with the event loop of Asio.
class RpcLoop
{
public:
    /// Starts the thread and waits until its event loop runs.
    RpcLoop();
    RpcLoop(const RpcLoop &) = delete;
    RpcLoop &operator=(const RpcLoop &) = delete;
    RpcLoop(RpcLoop &&) = delete;
    RpcLoop &operator=(RpcLoop &&) = delete;
    /// Runs the tasks posted so far and joins the thread.
    ~RpcLoop();

    /// Runs the task on the loop's thread. Thread-safe; does not wait for the loop.
    void post(kj::Function<void()> task);
    /// Runs the task on the loop's thread and waits until it has finished.
    void runAndWait(kj::Function<void()> task);
    /// Returns the I/O context of the loop. To be called on the loop's thread only.
    [[nodiscard]] kj::AsyncIoContext &io()
    {
        return *io_;
    }

private:
    void run();
    std::vector<kj::Function<void()>> takeTasks(kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake);

    std::mutex mutex_;
    std::vector<kj::Function<void()>> tasks_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
    bool stopping_ = false;
    kj::AsyncIoContext *io_ = nullptr;
    std::thread thread_;
};

} // namespace mulberrywall::permits
