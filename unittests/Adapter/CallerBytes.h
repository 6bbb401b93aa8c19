#pragma once

#include "EndpointBytes.h"

#include <string>
#include <string_view>

namespace mulberrywall::platform
{

/// Two events of a stream, 34 bytes.
inline const std::string firstEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

inline std::string lengthField(std::string_view body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// Returns the bytes with which an endpoint answers request "r1" whole.
inline std::string wholeAnswer()
{
    return confirmedHead("r1", lengthField(firstEvents)) + firstEvents;
}

/// Returns the bytes that the caller of request "r1" gets for that answer if its route has no streams.
inline std::string callBytes()
{
    return confirmedHead("r1", "Connection: close\r\n" + lengthField(firstEvents)) + firstEvents;
}

/// Returns the bytes that the caller of a stream gets for the events, without the last chunk, which makes a stream look complete.
inline std::string streamBytes()
{
    return confirmedHead("r1", "Transfer-Encoding: chunked\r\nConnection: close\r\n") + "22\r\n" + firstEvents + "\r\n";
}

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Returns the bytes that a caller gets if request "r1" may have run and has no answer.
inline std::string failureBytes(const std::string &reason)
{
    const std::string body = R"({"type":"about:blank","title":"endpoint failed","status":502,"detail":"the attempt failed: )" + reason
        + R"(","outcome":"may-have-run","requestId":"r1"})";
    return "HTTP/1.1 502 Bad Gateway\r\nContent-Type: application/problem+json\r\nMulberrywall-Outcome: may-have-run\r\nX-Request-Id: r1\r\n"
           "Mulberrywall-Request-Id: r1\r\nConnection: close\r\n"
        + lengthField(body) + "\r\n" + body;
}

} // namespace mulberrywall::platform
