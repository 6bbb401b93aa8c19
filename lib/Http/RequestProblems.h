#pragma once

#include "mulberrywall/Http/Message.h"
#include "mulberrywall/Http/Server.h"

#include <boost/system/error_code.hpp>

#include <optional>

namespace mulberrywall::http
{

/// Returns the error response for a request that could not be read within the limits, or std::nullopt if the connection was
/// lost, so that there is no one to respond to.
std::optional<Problem> problemForReadError(const boost::system::error_code &error, const RequestLimits &limits, bool hasTooManyFields);

/// Returns the cause that counts for a problem of problemForReadError.
RejectionCause causeOf(Status status);

/// Returns the error response for a request whose header does not tell where its body ends, or whose body is in a coding that
/// is not decoded here; std::nullopt for all others. The connection must be closed after the response, since the bytes of the
/// body could be taken for another request (RFC 9112, section 6.3).
std::optional<Problem> problemForFraming(const RequestHeader &header);

/// Returns the error response for a request that is valid HTTP but that cannot be forwarded, since Beast throws an exception
/// when such a request is built for an endpoint; std::nullopt for all others.
std::optional<Problem> problemForRequest(const Request &request);

} // namespace mulberrywall::http
