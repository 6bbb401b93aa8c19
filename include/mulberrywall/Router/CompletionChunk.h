#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// What the router reads from the answers of model engines; the text itself is passed on unchanged.
namespace mulberrywall::router
{

enum class ChunkKind : std::uint8_t {
    Token,
    /// Part of the answer without output, for example the role or the usage.
    NoToken,
    /// The engine states that the answer is complete.
    End,
    /// The engine reports an error inside the stream.
    Error,
    /// The chunk bears the id of another request.
    OtherRequest,
    Malformed,
};

/// Classifies the data of one server-sent event of a completion.
ChunkKind classifyChunk(std::string_view data, std::string_view requestId);

/// Returns true when the id of an answer is that of the request, alone or behind an engine's prefix such as "cmpl-".
bool matchesRequestId(std::string_view responseId, std::string_view requestId);

/// What the router reads from a completion that was not streamed.
struct BufferedCompletion
{
    /// False when the answer bears the id of another request.
    bool matchesRequest = true;
    /// Output tokens from the member "usage"; 0 when it is missing.
    std::uint64_t outputTokens = 0;
};

/// Returns nothing when the body is no JSON object.
std::optional<BufferedCompletion> parseBufferedCompletion(std::string_view body, std::string_view requestId);

} // namespace mulberrywall::router
