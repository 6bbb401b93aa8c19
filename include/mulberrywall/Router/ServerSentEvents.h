#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::router
{

/// One server-sent event, with the text it arrived as.
struct ServerSentEvent
{
    /// Whole event including the empty line that ends it.
    std::string raw;
    /// Content of its data lines, joined by line feeds.
    std::string data;
    /// Value of the id line; empty without one.
    std::string id;
};

/// Splits a byte stream into server-sent events; keeps an incomplete event until the rest arrives.
class ServerSentEventParser
{
public:
    /// Returns the events that the piece completes.
    std::vector<ServerSentEvent> feed(std::string_view piece);

    /// True when the stream stopped inside an event.
    [[nodiscard]] bool hasIncompleteEvent() const noexcept
    {
        return !pending_.empty();
    }

private:
    std::string pending_;
    /// Beginning of the first line of pending_ that is not complete.
    std::size_t lineStart_ = 0;
    /// No line end is left before this position, so that a long event is not searched again with each piece.
    std::size_t scanPosition_ = 0;
};

/// Data of the event that ends a completion stream.
inline constexpr std::string_view streamEndData = "[DONE]";

/// Renders an event with the given name; the data must not contain a line feed.
std::string renderEvent(std::string_view name, std::string_view data);

} // namespace mulberrywall::router
