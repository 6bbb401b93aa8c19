#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <future>
#include <stdexcept>

namespace mulberrywall::support
{

// Guards against an exception in the handler of one request that terminates the process and thus all other requests.
TEST(WorkerPoolTest, ContinuesAfterAnException)
{
    WorkerPool workers(1);
    std::promise<void> ran;
    boost::asio::post(workers.context(), [] { throw std::runtime_error("defect"); });
    boost::asio::post(workers.context(), [&ran] { ran.set_value(); });
    EXPECT_EQ(ran.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready);
}

} // namespace mulberrywall::support
