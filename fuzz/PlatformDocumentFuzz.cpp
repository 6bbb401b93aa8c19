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
    if (const auto *problem = std::get_if<platform::EndpointEntryError>(&entry)) {
        require(!problem->text.empty(), "a problem of an entry is told");
        return;
    }
    const configuration::Endpoint &endpoint = std::get<router::RegisteredEndpoint>(entry).endpoint;
    require(endpoint.id.value() == "i-1", "an entry describes the endpoint of its key");
    require(endpoint.port != 0 && !endpoint.address.empty(), "an endpoint can be connected to");
    require(!endpoint.pools.empty(), "an endpoint serves a pool");
}

void checkDocument(std::string_view text)
{
    const auto document = platform::readOperatorDocument(text, {.dataCentre = support::DataCentreId("west"), .retryPercent = 20});
    if (const auto *problem = std::get_if<platform::OperatorDocumentError>(&document)) {
        require(!problem->text.empty(), "a problem of a document is told");
        return;
    }
    require(std::get<configuration::SiteConfiguration>(document).endpoints.empty(), "a document names no endpoints");
}

void checkSettings(std::string_view text)
{
    const auto settings = platform::readNodeSettings(text);
    if (const auto *problem = std::get_if<platform::NodeSettingsError>(&settings)) {
        require(!problem->text.empty(), "a problem of the settings is told");
        return;
    }
    require(std::get<platform::NodeSettings>(settings).callerListen.port() != 0, "settings name the callers' port");
}

} // namespace

/// Guards against rows of the store and settings files that crash the router or are taken for what they are not.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    checkEntry(text);
    checkDocument(text);
    checkSettings(text);
    return 0;
}
