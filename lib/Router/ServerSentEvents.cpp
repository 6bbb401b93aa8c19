#include "mulberrywall/Router/ServerSentEvents.h"

namespace mulberrywall::router
{

static std::string extractData(std::string_view event)
{
    constexpr std::string_view prefix = "data:";
    std::string data;
    while (!event.empty()) {
        const std::size_t lineEnd = event.find('\n');
        std::string_view line = event.substr(0, lineEnd);
        event = lineEnd == std::string_view::npos ? std::string_view() : event.substr(lineEnd + 1);
        if (!line.starts_with(prefix)) {
            continue;
        }
        line.remove_prefix(prefix.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!data.empty()) {
            data += '\n';
        }
        data += line;
    }
    return data;
}

std::vector<ServerSentEvent> ServerSentEventParser::feed(std::string_view piece)
{
    pending_ += piece;
    const std::string_view text = pending_;
    std::vector<ServerSentEvent> events;
    std::size_t eventStart = 0;
    for (std::size_t lineEnd = text.find('\n', searched_); lineEnd != std::string_view::npos; lineEnd = text.find('\n', searched_)) {
        const std::string_view line = text.substr(lineStart_, lineEnd - lineStart_);
        searched_ = lineEnd + 1;
        lineStart_ = searched_;
        // An empty line ends an event. Lines end in LF or CRLF.
        if (line.empty() || line == "\r") {
            const std::string_view raw = text.substr(eventStart, lineStart_ - eventStart);
            events.push_back({.raw = std::string(raw), .data = extractData(raw)});
            eventStart = lineStart_;
        }
    }
    pending_.erase(0, eventStart);
    lineStart_ -= eventStart;
    searched_ = pending_.size();
    return events;
}

std::string renderEvent(std::string_view name, std::string_view data)
{
    std::string text = "event: ";
    text += name;
    text += "\ndata: ";
    text += data;
    text += "\n\n";
    return text;
}

} // namespace mulberrywall::router
