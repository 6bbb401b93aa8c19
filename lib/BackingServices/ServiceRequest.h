#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"
#include "mulberrywall/Http/ClientCall.h"

#include <boost/asio/strand.hpp>

#include <string>

namespace mulberrywall::backingservices
{

/// Sends a request to a backing service on a new strand. Calls the handler once, on that strand.
void sendRequest(const boost::asio::any_io_executor &executor,
    const BackingServiceOptions &options,
    http::Request request,
    std::function<void(http::BufferedResponse)> handler);

/// Returns true if it is certain that the request had no effect.
bool isConfirmedNotApplied(const http::BufferedResponse &response);

/// Returns the reason why a response cannot be used, for logs and error texts.
std::string describeFailure(const http::BufferedResponse &response);

/// Returns true if the complete response was received.
inline bool isComplete(const http::BufferedResponse &response)
{
    return !response.result.error && response.result.stage == http::ClientCallStage::ResponseComplete;
}

} // namespace mulberrywall::backingservices
