#include "RpcLoop.h"

#include "mulberrywall/Support/Log.h"

#include <kj/debug.h>

#include <future>

namespace mulberrywall::permits
{

RpcLoop::RpcLoop()
    : thread_([this] { run(); })
{
    runAndWait([] {});
}

RpcLoop::~RpcLoop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    post([] {});
    thread_.join();
}

void RpcLoop::post(kj::Function<void()> task)
{
    // The functions of kj::Executor either wait for the loop, so that a slow loop would block the workers, or require an
    // event loop in the calling thread. A cross-thread fulfiller uses the same executor without these restrictions.
    const std::scoped_lock lock(mutex_);
    tasks_.push_back(kj::mv(task));
    if (wake_.get() != nullptr) {
        const auto wake = kj::mv(wake_);
        wake->fulfill();
    }
}

void RpcLoop::runAndWait(kj::Function<void()> task)
{
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

std::vector<kj::Function<void()>> RpcLoop::takeTasks(kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake)
{
    const std::scoped_lock lock(mutex_);
    if (tasks_.empty()) {
        wake_ = kj::mv(wake);
    }
    return std::move(tasks_);
}

void RpcLoop::run()
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    io_ = &io;
    while (true) {
        auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
        std::vector<kj::Function<void()>> tasks = takeTasks(kj::mv(wake.fulfiller));
        for (kj::Function<void()> &task : tasks) {
            KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&task] { task(); })) {
                support::log(support::Severity::Error, "a task on the peer RPC thread failed", {{"error", exception->getDescription().cStr()}});
            }
        }
        if (!tasks.empty()) {
            // Processes the pending events of the loop before the next tasks.
            io.waitScope.poll();
            continue;
        }
        {
            const std::scoped_lock lock(mutex_);
            if (stopping_) {
                wake_ = nullptr;
                return;
            }
        }
        wake.promise.wait(io.waitScope);
    }
}

} // namespace mulberrywall::permits
