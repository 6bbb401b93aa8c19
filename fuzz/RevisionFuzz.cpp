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

constexpr std::string_view separator = "\n%%\n";

/// Removes and returns the text up to the next separator.
std::string_view takePart(std::string_view &input)
{
    const std::size_t position = input.find(separator);
    const std::string_view part = input.substr(0, position);
    input = position == std::string_view::npos ? std::string_view() : input.substr(position + separator.size());
    return part;
}

/// Returns whether the text is a revision; one that is must survive its JSON form.
bool read(std::string_view text, Revision &revision)
{
    auto parsed = revisionFromJson(text);
    if (!parsed) {
        return false;
    }
    revision = std::move(*parsed);
    const auto again = revisionFromJson(toJson(revision));
    require(again && *again == revision, "a revision survives its JSON form");
    return true;
}

} // namespace

/// Guards against rows of the platform or documents of a peer that end the process, and against a delta that gives
/// another revision than the one it was made from. Parts of an input: revision, later revision, delta.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view input(reinterpret_cast<const char *>(data), size);
    Revision before;
    Revision after;
    const bool hasBefore = read(takePart(input), before);
    const bool hasAfter = read(takePart(input), after);
    if (!hasBefore) {
        return 0;
    }
    const auto applied = applyDelta(before, input);
    require(!applied || applied->number > before.number, "a delta leads to a later revision");
    if (!hasAfter) {
        return 0;
    }
    if (const auto delta = renderDelta(before, after)) {
        const auto result = applyDelta(before, *delta);
        require(!result || *result == after, "a delta gives the revision that it was made from, or none");
    }
    return 0;
}
