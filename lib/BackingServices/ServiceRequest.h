#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"
#include "mulberrywall/Http/ClientCall.h"

#include <boost/asio/strand.hpp>

#include <string>

namespace mulberrywall::backingservices
{

/// Sends one request on a strand of its own.
void sendRequest(const boost::asio::any_io_executor &executor,
    const BackingServiceOptions &options,
    http::Request request,
    std::function<void(http::BufferedResponse)> handler);

/// Returns true when nothing of the request can have taken effect.
bool isConfirmedNotApplied(const http::BufferedResponse &response);

/// Says why a response is of no use, for logs and errors.
std::string describeFailure(const http::BufferedResponse &response);

/// Returns true when the whole response arrived.
inline bool isComplete(const http::BufferedResponse &response)
{
    return !response.result.error && response.result.stage == http::ClientCallStage::ResponseComplete;
}

} // namespace mulberrywall::backingservices
