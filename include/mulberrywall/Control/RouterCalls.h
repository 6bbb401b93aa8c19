#pragma once

#include "mulberrywall/Control/Commands.h"
#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace mulberrywall::control
{

/// What a router's admin listener answered.
struct RouterReport
{
    boost::asio::ip::tcp::endpoint router;
    http::WholeResponse response;

    [[nodiscard]] bool isAnswered() const;
    [[nodiscard]] bool isAccepted() const;
};

/// Sends the request to all routers at once and waits for all.
std::vector<RouterReport> callAll(support::WorkerPool &pool, const RouterOptions &options, const http::Request &request);

/// Says in a few words what a router answered, or why it did not.
std::string describe(const RouterReport &report);

} // namespace mulberrywall::control
