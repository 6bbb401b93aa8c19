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
struct RouterAdminResponse
{
    boost::asio::ip::tcp::endpoint router;
    http::BufferedResponse response;

    [[nodiscard]] bool isAnswered() const;
    [[nodiscard]] bool isAccepted() const;
};

/// Sends the request to all routers at once and waits for all.
std::vector<RouterAdminResponse> requestAllRouters(support::WorkerPool &pool, const RouterAdminOptions &options, const http::Request &request);

/// Says in a few words what a router answered, or why it did not.
std::string describe(const RouterAdminResponse &report);

} // namespace mulberrywall::control
