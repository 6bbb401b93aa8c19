#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::router
{

/// One server-sent event with its original text.
struct ServerSentEvent
{
    /// Text of the event, including the empty line that ends it.
    std::string raw;
    /// Content of the data lines, joined by line feeds.
    std::string data;
    /// Value of the id line; empty if there is none.
    std::string id;
};

/// Splits a byte stream into server-sent events; buffers an incomplete event until the rest arrives.
class ServerSentEventParser
{
public:
    /// Appends a piece of the stream and returns the events that it completes.
    std::vector<ServerSentEvent> feed(std::string_view piece);

    /// Returns whether the data so far ends inside an event.
    [[nodiscard]] bool hasIncompleteEvent() const noexcept
    {
        return !pending_.empty();
    }
    /// Returns the size of the incomplete event in bytes, or 0 if there is none.
    [[nodiscard]] std::size_t incompleteEventBytes() const noexcept
    {
        return pending_.size();
    }

private:
    std::string pending_;
    /// Start of the first incomplete line in pending_.
    std::size_t lineStart_ = 0;
    /// Position up to which pending_ was searched for line ends, so that a long event is not searched
    /// again for each piece.
    std::size_t scanPosition_ = 0;
};

/// Data of the last event of a complete completion stream.
inline constexpr std::string_view streamEndData = "[DONE]";

/// Renders an event with the given name; the data must not contain a line feed.
std::string renderEvent(std::string_view name, std::string_view data);

} // namespace mulberrywall::router
