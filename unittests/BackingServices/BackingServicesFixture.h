#pragma once

#include "PlatformStandin.h"

#include "mulberrywall/BackingServices/TableClient.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/address.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <memory>

namespace mulberrywall::backingservices
{

/// Runs the platform stand-in and the clients under test on two worker threads.
class BackingServicesFixture : public testing::Test
{
protected:
    BackingServicesFixture()
        : standin_(standin::PlatformStandin::create(pool_.context(), {.listen = {boost::asio::ip::make_address("127.0.0.1"), 0}})),
          options_ {.address = standin_->localEndpoint()},
          table_(pool_.context().get_executor(), options_)
    {
    }

    /// Starts an operation and returns the value that it passes to its handler.
    template <typename Result>
    static Result await(const std::function<void(std::function<void(Result)>)> &start)
    {
        auto promise = std::make_shared<std::promise<Result>>();
        start([promise](Result result) { promise->set_value(std::move(result)); });
        return promise->get_future().get();
    }

    CommitResult commit(const std::vector<WriteOperation> &operations)
    {
        return await<CommitResult>([&](auto handler) { table_.commit("test", operations, std::move(handler)); });
    }

    ReadResult read(const std::string &key)
    {
        return await<ReadResult>([&](auto handler) { table_.read("test", key, std::move(handler)); });
    }

    support::WorkerPool pool_ {2};
    std::shared_ptr<standin::PlatformStandin> standin_;
    BackingServiceOptions options_;
    TableClient table_;
};

} // namespace mulberrywall::backingservices
