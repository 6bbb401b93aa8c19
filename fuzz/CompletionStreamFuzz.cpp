#include "Require.h"

#include "mulberrywall/Router/CompletionChunk.h"
#include "mulberrywall/Router/ServerSentEvents.h"

#include <algorithm>
#include <cstdint>

namespace
{

using namespace mulberrywall::router;
using mulberrywall::fuzz::require;

constexpr std::string_view requestId = "r1";

std::vector<ServerSentEvent> feedInChunks(ServerSentEventParser &parser, std::string_view stream, std::size_t chunkBytes)
{
    std::vector<ServerSentEvent> events;
    for (std::size_t position = 0; position < stream.size(); position += chunkBytes) {
        std::vector<ServerSentEvent> completed = parser.feed(stream.substr(position, chunkBytes));
        std::move(completed.begin(), completed.end(), std::back_inserter(events));
    }
    return events;
}

} // namespace

/// Guards against engine streams that crash the process, lose bytes, or yield different events when the data arrives in
/// chunks of another size.
///
/// The first byte of an input is the chunk size; the rest is the stream.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view stream(reinterpret_cast<const char *>(data) + 1, size - 1);
    ServerSentEventParser wholeParser;
    ServerSentEventParser chunkedParser;
    const std::vector<ServerSentEvent> events = wholeParser.feed(stream);
    const std::vector<ServerSentEvent> chunkedEvents = feedInChunks(chunkedParser, stream, std::max<std::size_t>(data[0], 1));
    const auto equal = [](const ServerSentEvent &left, const ServerSentEvent &right) {
        return left.raw == right.raw && left.data == right.data;
    };
    require(std::equal(events.begin(), events.end(), chunkedEvents.begin(), chunkedEvents.end(), equal),
        "events do not depend on how the stream is split into chunks");
    require(
        wholeParser.hasIncompleteEvent() == chunkedParser.hasIncompleteEvent(), "an incomplete event does not depend on how the stream is split into chunks");
    std::string joined;
    for (const ServerSentEvent &event : events) {
        joined += event.raw;
        const ChunkKind kind = classifyChunk(event.data, requestId);
        require(kind != ChunkKind::End || event.data == streamEndData, "only the event [DONE] ends the response");
    }
    require(stream.starts_with(joined) && wholeParser.hasIncompleteEvent() == (joined.size() < stream.size()),
        "the raw text of the events holds every byte of the stream");
    const auto completion = parseBufferedCompletion(stream, requestId);
    require(!completion || classifyChunk(stream, requestId) != ChunkKind::Malformed, "a response that is not streamed is JSON");
    return 0;
}
