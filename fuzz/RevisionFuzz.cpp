#include "Require.h"

#include "mulberrywall/Configuration/Delta.h"
#include "mulberrywall/Configuration/Revision.h"

#include <cstdint>
#include <string_view>

namespace
{

using namespace mulberrywall;
using namespace mulberrywall::configuration;
using fuzz::require;

/// Separates the documents of an input.
constexpr std::string_view separator = "\n%%\n";

/// Returns the input up to the next separator, and removes both from the input.
std::string_view takeDocument(std::string_view &input)
{
    const std::size_t position = input.find(separator);
    const std::string_view document = input.substr(0, position);
    input = position == std::string_view::npos ? std::string_view() : input.substr(position + separator.size());
    return document;
}

/// Parses the text as a revision. Returns false if it is invalid; otherwise requires that writing it as JSON and reading it
/// back keeps every field.
bool parseRevision(std::string_view text, Revision &revision)
{
    auto parsed = revisionFromJson(text);
    if (!parsed) {
        return false;
    }
    revision = std::move(*parsed);
    const auto decoded = revisionFromJson(toJson(revision));
    require(decoded && *decoded == revision, "JSON keeps every field of a revision");
    return true;
}

} // namespace

/// Guards against stored rows or documents of a peer that crash the process, and against a delta that yields a different
/// revision than the one it was made from. An input holds a revision, a later revision and a delta.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view input(reinterpret_cast<const char *>(data), size);
    Revision before;
    Revision after;
    const bool hasBefore = parseRevision(takeDocument(input), before);
    const bool hasAfter = parseRevision(takeDocument(input), after);
    if (!hasBefore) {
        return 0;
    }
    const auto applied = applyDelta(before, input);
    require(!applied || applied->number > before.number, "applying a delta yields a later revision");
    if (!hasAfter) {
        return 0;
    }
    if (const auto delta = renderDelta(before, after)) {
        const auto result = applyDelta(before, *delta);
        require(!result || *result == after, "applying a delta yields the revision that it was made from, or fails");
    }
    return 0;
}
