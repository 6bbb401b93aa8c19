#include "Require.h"

#include "../platform/EndpointEntry.h"
#include "../platform/NodeSettings.h"
#include "../platform/OperatorDocument.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace mulberrywall;
using fuzz::require;

namespace
{

void checkEntry(std::string_view text)
{
    const auto entry = platform::readEndpointEntry("i-1", text);
    if (const auto *error = std::get_if<platform::EndpointEntryError>(&entry)) {
        require(!error->text.empty(), "the error of a rejected entry has a message");
        return;
    }
    const configuration::Endpoint &endpoint = std::get<router::RegisteredEndpoint>(entry).endpoint;
    require(endpoint.id.value() == "i-1", "the id of an endpoint is the key of its entry");
    require(endpoint.port != 0 && !endpoint.address.empty(), "an endpoint has an address and a port");
    require(!endpoint.pools.empty(), "an endpoint belongs to at least one pool");
}

void checkDocument(std::string_view text)
{
    const auto document = platform::readOperatorDocument(text, {.dataCentre = support::DataCentreId("west"), .retryPercent = 20});
    if (const auto *error = std::get_if<platform::OperatorDocumentError>(&document)) {
        require(!error->text.empty(), "the error of a rejected document has a message");
        return;
    }
    require(std::get<configuration::SiteConfiguration>(document).endpoints.empty(), "an operator document yields no endpoints");
}

void checkSettings(std::string_view text)
{
    const auto settings = platform::readNodeSettings(text);
    if (const auto *error = std::get_if<platform::NodeSettingsError>(&settings)) {
        require(!error->text.empty(), "the error of rejected settings has a message");
        return;
    }
    require(std::get<platform::NodeSettings>(settings).callerListen.port() != 0, "accepted settings have a port for callers");
}

} // namespace

/// Guards against store rows and settings files that crash the router, or that are accepted although they are invalid.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    checkEntry(text);
    checkDocument(text);
    checkSettings(text);
    return 0;
}
