#include "mulberrywall/Router/CompletionChunk.h"

#include "mulberrywall/Router/ServerSentEvents.h"

#include <boost/json/parse.hpp>

namespace mulberrywall::router
{

namespace json = boost::json;

static std::optional<json::object> parseObject(std::string_view text)
{
    json::error_code error;
    json::value document = json::parse(text, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    return std::move(document.get_object());
}

static bool hasMatchingId(const json::object &response, std::string_view requestId)
{
    const json::value *id = response.if_contains("id");
    return id == nullptr || (id->is_string() && matchesRequestId(id->get_string(), requestId));
}

static bool hasText(const json::object &object, std::string_view member)
{
    const json::value *text = object.if_contains(member);
    return text != nullptr && text->is_string() && !text->get_string().empty();
}

static bool hasOutput(const json::object &chunk)
{
    const json::value *choices = chunk.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty() || !choices->get_array().front().is_object()) {
        return false;
    }
    const json::object &choice = choices->get_array().front().get_object();
    if (const json::value *delta = choice.if_contains("delta"); delta != nullptr && delta->is_object()) {
        return hasText(delta->get_object(), "content");
    }
    return hasText(choice, "text");
}

bool matchesRequestId(std::string_view responseId, std::string_view requestId)
{
    if (!responseId.ends_with(requestId)) {
        return false;
    }
    return responseId.size() == requestId.size() || responseId[responseId.size() - requestId.size() - 1] == '-';
}

ChunkKind classifyChunk(std::string_view data, std::string_view requestId)
{
    if (data == streamEndData) {
        return ChunkKind::End;
    }
    if (data.empty()) {
        return ChunkKind::NoToken;
    }
    const std::optional<json::object> chunk = parseObject(data);
    if (!chunk) {
        return ChunkKind::Malformed;
    }
    if (!hasMatchingId(*chunk, requestId)) {
        return ChunkKind::OtherRequest;
    }
    if (chunk->contains("error")) {
        return ChunkKind::Error;
    }
    return hasOutput(*chunk) ? ChunkKind::Token : ChunkKind::NoToken;
}

std::optional<BufferedCompletion> parseBufferedCompletion(std::string_view body, std::string_view requestId)
{
    const std::optional<json::object> completion = parseObject(body);
    if (!completion) {
        return std::nullopt;
    }
    BufferedCompletion result {.matchesRequest = hasMatchingId(*completion, requestId)};
    const json::value *usage = completion->if_contains("usage");
    if (usage == nullptr || !usage->is_object()) {
        return result;
    }
    const json::value *tokens = usage->get_object().if_contains("completion_tokens");
    if (tokens != nullptr && tokens->is_number()) {
        json::error_code error;
        const auto number = tokens->to_number<std::uint64_t>(error);
        result.outputTokens = error ? 0 : number;
    }
    return result;
}

} // namespace mulberrywall::router
