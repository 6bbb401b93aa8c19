#include "Require.h"

#include "mulberrywall/Configuration/Reader.h"
#include "mulberrywall/Configuration/Revision.h"

#include <cstdint>
#include <string_view>

namespace
{

using namespace mulberrywall;
using fuzz::require;

/// Separates the base file from the overlay file in an input.
constexpr std::string_view separator = "\n%%\n";

} // namespace

/// Guards against configuration files that crash the process, fail without a message or file name, or yield a configuration
/// that changes when it is written as JSON and read back.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    const std::size_t position = input.find(separator);
    const std::string_view base = input.substr(0, position);
    const std::string_view overlay = position == std::string_view::npos ? std::string_view() : input.substr(position + separator.size());
    support::leaf::try_handle_all(
        [&]() -> support::Result<void> {
            BOOST_LEAF_AUTO(site, configuration::readSiteText({"base.toml", base}, {"site.toml", overlay}));
            const auto parsed = configuration::siteFromJson(configuration::toJson(site));
            require(static_cast<bool>(parsed), "an accepted configuration can be read back from JSON");
            require(*parsed == site, "JSON keeps every field of a configuration");
            return {};
        },
        [](const support::ErrorMessage &message, const support::ErrorLocation &location) {
            require(!message.text.empty() && !location.file.empty(), "an error has a message and a file name");
        },
        [] { require(false, "an error carries a message and a location"); });
    // Parses the same bytes as a JSON document received from a peer.
    (void)configuration::revisionFromJson(input);
    return 0;
}
