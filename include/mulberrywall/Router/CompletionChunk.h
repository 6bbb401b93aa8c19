#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// Parsing of model engines' responses. The router forwards their text unchanged.
namespace mulberrywall::router
{

enum class ChunkKind : std::uint8_t {
    Token,
    /// Part of the response without output, for example the role or the usage.
    NoToken,
    /// The engine states that the response is complete.
    End,
    /// The engine reports an error inside the stream.
    Error,
    /// The chunk has the id of another request.
    OtherRequest,
    Malformed,
};

/// Classifies the data of one server-sent event of a completion.
ChunkKind classifyChunk(std::string_view data, std::string_view requestId);

/// Returns true if the response id equals the request id, optionally with an engine's prefix such as
/// "cmpl-".
bool matchesRequestId(std::string_view responseId, std::string_view requestId);

/// Fields that the router reads from a completion that was not streamed.
struct BufferedCompletion
{
    /// False if the response has the id of another request.
    bool matchesRequest = true;
    /// Number of output tokens from the member "usage"; 0 if it is missing.
    std::uint64_t outputTokens = 0;
};

/// Parses a completion that was not streamed; returns nothing if the body is not a JSON object.
std::optional<BufferedCompletion> parseBufferedCompletion(std::string_view body, std::string_view requestId);

} // namespace mulberrywall::router
