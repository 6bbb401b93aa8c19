#pragma once

#include "mulberrywall/Http/Message.h"

#include <cstdint>

namespace mulberrywall::http
{

/// What the Transfer-Encoding fields of a message state about its body.
enum class TransferCoding : std::uint8_t {
    /// The message has no such field.
    None,
    Chunked,
    /// The chunks frame a body in another coding, which is not decoded here.
    UnsupportedInChunks,
    /// The last coding is not chunked, or chunked is not used once only, so that the codings do not tell where the body ends.
    Unframed,
};

/// Reads all Transfer-Encoding fields. Beast's parser takes a message whose last coding is not chunked for one without such a
/// field and leaves the decision to its caller.
[[nodiscard]] TransferCoding transferCodingOf(const boost::beast::http::fields &fields);

} // namespace mulberrywall::http
