#include "mulberrywall/Router/ServerSentEvents.h"

namespace mulberrywall::router
{

/// Returns the position behind the first empty line, or npos. Accepts LF and CRLF line ends.
static std::size_t findEventEnd(std::string_view text)
{
    std::size_t lineStart = 0;
    while (lineStart < text.size()) {
        const std::size_t lineEnd = text.find('\n', lineStart);
        if (lineEnd == std::string_view::npos) {
            return std::string_view::npos;
        }
        const std::string_view line = text.substr(lineStart, lineEnd - lineStart);
        if (line.empty() || line == "\r") {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
    return std::string_view::npos;
}

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
    std::vector<ServerSentEvent> events;
    std::string_view rest = pending_;
    for (std::size_t end = findEventEnd(rest); end != std::string_view::npos; end = findEventEnd(rest)) {
        const std::string_view raw = rest.substr(0, end);
        events.push_back({.raw = std::string(raw), .data = extractData(raw)});
        rest.remove_prefix(end);
    }
    pending_.erase(0, pending_.size() - rest.size());
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
