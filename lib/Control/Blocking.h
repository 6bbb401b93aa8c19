#pragma once

#include <functional>
#include <future>
#include <memory>
#include <utility>

namespace mulberrywall::control
{

/// Blocks until the started operation passes its result to its handler. Must not be called from a worker thread.
template <typename Result>
Result await(const std::function<void(std::function<void(Result)>)> &start)
{
    auto promise = std::make_shared<std::promise<Result>>();
    std::future<Result> future = promise->get_future();
    start([promise](Result result) { promise->set_value(std::move(result)); });
    return future.get();
}

} // namespace mulberrywall::control
