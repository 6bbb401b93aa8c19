#pragma once

#include "mulberrywall/Http/Message.h"

#include <chrono>
#include <optional>

namespace mulberrywall::router
{

/// What an endpoint states about itself in the header of a response, besides the response.
struct EndpointStatement
{
    /// The endpoint accepts no new work and ends soon.
    bool leaving = false;
    /// The endpoint accepts no request of this router for so long; empty if it does not say so.
    std::optional<std::chrono::milliseconds> refusesFor;
    /// The time cannot be read and is ignored.
    bool isTimeMalformed = false;
};

/// Reads for how long an endpoint accepts no request from the Retry-After fields of a response with status 503.
///
/// Only a number of seconds is accepted, with or without a fraction. Of several fields the longest time counts. Times are
/// limited to ten minutes: an endpoint that asks for more is as good as gone, and a wrong value must not make it so for ever.
[[nodiscard]] EndpointStatement readRefusalTime(const http::ResponseHeader &responseHeader);

} // namespace mulberrywall::router
