#include "mulberrywall/Router/ServerSentEvents.h"

#include <optional>

namespace mulberrywall::router
{

/// Returns the value of a line "name: value", or nothing if the line has another name.
static std::optional<std::string_view> valueOf(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || line.size() == name.size() || line[name.size()] != ':') {
        return std::nullopt;
    }
    line.remove_prefix(name.size() + 1);
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

static ServerSentEvent parseEvent(std::string_view raw)
{
    ServerSentEvent event {.raw = std::string(raw)};
    std::string_view rest = raw;
    while (!rest.empty()) {
        const std::size_t lineEnd = rest.find('\n');
        std::string_view line = rest.substr(0, lineEnd);
        rest = lineEnd == std::string_view::npos ? std::string_view() : rest.substr(lineEnd + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (const auto id = valueOf(line, "id")) {
            event.id = *id;
        } else if (const auto data = valueOf(line, "data")) {
            event.data += event.data.empty() ? "" : "\n";
            event.data += *data;
        }
    }
    return event;
}

std::vector<ServerSentEvent> ServerSentEventParser::feed(std::string_view piece)
{
    pending_ += piece;
    const std::string_view text = pending_;
    std::vector<ServerSentEvent> events;
    std::size_t eventStart = 0;
    for (std::size_t lineEnd = text.find('\n', scanPosition_); lineEnd != std::string_view::npos; lineEnd = text.find('\n', scanPosition_)) {
        const std::string_view line = text.substr(lineStart_, lineEnd - lineStart_);
        scanPosition_ = lineEnd + 1;
        lineStart_ = scanPosition_;
        // An empty line ends an event. Lines end with LF or CRLF.
        if (line.empty() || line == "\r") {
            const std::string_view raw = text.substr(eventStart, lineStart_ - eventStart);
            events.push_back(parseEvent(raw));
            eventStart = lineStart_;
        }
    }
    pending_.erase(0, eventStart);
    lineStart_ -= eventStart;
    scanPosition_ = pending_.size();
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
