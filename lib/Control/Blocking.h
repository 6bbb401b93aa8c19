#pragma once

#include <functional>
#include <future>
#include <memory>
#include <utility>

namespace mulberrywall::control
{

/// Starts an asynchronous operation, blocks until its handler is called and returns the result. Must not be called from
/// a worker thread.
template <typename Result>
Result await(const std::function<void(std::function<void(Result)>)> &start)
{
    auto promise = std::make_shared<std::promise<Result>>();
    std::future<Result> future = promise->get_future();
    start([promise](Result result) { promise->set_value(std::move(result)); });
    return future.get();
}

} // namespace mulberrywall::control
