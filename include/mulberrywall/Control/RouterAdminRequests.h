#pragma once

#include "mulberrywall/Control/Commands.h"
#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace mulberrywall::control
{

/// Response of a router's admin listener.
struct RouterAdminResponse
{
    boost::asio::ip::tcp::endpoint router;
    http::BufferedResponse response;

    [[nodiscard]] bool isAnswered() const;
    [[nodiscard]] bool isAccepted() const;
};

/// Sends the request to all routers concurrently and waits for all responses.
std::vector<RouterAdminResponse> requestAllRouters(support::WorkerPool &pool, const RouterAdminOptions &options, const http::Request &request);

/// Returns a short description of the router's response, or of the error if the router did not respond.
std::string describe(const RouterAdminResponse &answer);

} // namespace mulberrywall::control
