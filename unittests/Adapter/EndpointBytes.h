#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace mulberrywall::platform
{

/// Returns the header of a response that an endpoint confirms as its own. Each of the additional fields ends with a line break.
inline std::string confirmedHead(const std::string &id, const std::string &fields = {}, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nMulberrywall-Request-Id: " + id + "\r\nMulberrywall-Server-Seal: seal\r\n" + fields + "\r\n";
}

/// Returns the id in the header of a request.
inline std::string requestIdIn(std::string_view head)
{
    constexpr std::string_view name = "Mulberrywall-Request-Id: ";
    const std::size_t start = head.find(name) + name.size();
    return std::string(head.substr(start, head.find('\r', start) - start));
}

} // namespace mulberrywall::platform
