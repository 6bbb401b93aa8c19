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

std::vector<ServerSentEvent> feedInPieces(ServerSentEventParser &parser, std::string_view stream, std::size_t pieceBytes)
{
    std::vector<ServerSentEvent> events;
    for (std::size_t position = 0; position < stream.size(); position += pieceBytes) {
        std::vector<ServerSentEvent> completed = parser.feed(stream.substr(position, pieceBytes));
        std::move(completed.begin(), completed.end(), std::back_inserter(events));
    }
    return events;
}

} // namespace

/// Guards against streams of an engine that end the process, lose a byte, or read differently when cut in other places.
///
/// The first byte is the size of the pieces.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view stream(reinterpret_cast<const char *>(data) + 1, size - 1);
    ServerSentEventParser whole;
    ServerSentEventParser cut;
    const std::vector<ServerSentEvent> events = whole.feed(stream);
    const std::vector<ServerSentEvent> same = feedInPieces(cut, stream, std::max<std::size_t>(data[0], 1));
    const auto equal = [](const ServerSentEvent &left, const ServerSentEvent &right) {
        return left.raw == right.raw && left.data == right.data;
    };
    require(std::equal(events.begin(), events.end(), same.begin(), same.end(), equal), "events do not depend on where the stream is cut");
    require(whole.hasIncompleteEvent() == cut.hasIncompleteEvent(), "the rest does not depend on where the stream is cut");
    std::string joined;
    for (const ServerSentEvent &event : events) {
        joined += event.raw;
        const ChunkKind kind = classifyChunk(event.data, requestId);
        require(kind != ChunkKind::End || event.data == streamEndData, "only the end event ends the answer");
    }
    require(stream.starts_with(joined) && whole.hasIncompleteEvent() == (joined.size() < stream.size()), "events keep every byte");
    const auto completion = parseBufferedCompletion(stream, requestId);
    require(!completion || classifyChunk(stream, requestId) != ChunkKind::Malformed, "a whole answer is JSON");
    return 0;
}
