#include "Require.h"

#include "mulberrywall/Router/CallerRequest.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdint>
#include <optional>
#include <sstream>

namespace
{

using namespace mulberrywall;
using namespace mulberrywall::router;
using fuzz::require;

configuration::SiteConfiguration makeSite()
{
    configuration::SiteConfiguration site;
    site.classes = {{.id = support::ClassId("fast")}, {.id = support::ClassId("slow")}};
    site.organisations = {{.id = support::OrganisationId("acme"), .keyHashes = {hashKey("acme-key")}, .allowedClasses = {support::ClassId("fast")}}};
    site.pools = {{.id = support::PoolId("m")}, {.id = support::PoolId("ledger"), .kind = configuration::PoolKind::PlainService}};
    return site;
}

std::optional<http::Request> parse(std::string_view text)
{
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(text.data(), text.size()), error);
    if (error || !parser.is_done() || used != text.size()) {
        return std::nullopt;
    }
    return parser.release();
}

/// Requires that the endpoint reads one request, with the target and body that were checked.
void checkUpstream(http::Request upstream)
{
    upstream.prepare_payload();
    std::ostringstream text;
    text << upstream;
    const auto received = parse(text.str());
    require(received.has_value(), "the endpoint gets one whole request");
    require(received->target() == upstream.target() && received->body() == upstream.body() && received->method() == upstream.method(),
        "the endpoint gets the request that was checked");
    require(received->target().starts_with('/'), "the endpoint gets a path");
}

} // namespace

/// Guards against requests that end the process, are refused without a proof of not having run, or reach an endpoint as
/// another request than the one that was checked.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const configuration::SiteConfiguration site = makeSite();
    const auto request = parse({reinterpret_cast<const char *>(data), size});
    // The server refuses these before the router sees them.
    if (!request || request->method() == http::Verb::unknown || (request->method() == http::Verb::trace && !request->body().empty())) {
        return 0;
    }
    const auto result = parseCallerRequest(*request, site, policy::TimePoint {});
    if (const auto *problem = std::get_if<http::Problem>(&result)) {
        require(problem->verdict == support::Verdict::NotRun, "a refused request has not run");
        const auto status = static_cast<unsigned>(problem->status);
        require(status >= 400 && status < 500, "a refusal is the caller's error");
        require(!http::makeProblemResponse(*problem).body().empty(), "a refusal is explained");
        return 0;
    }
    const auto &accepted = std::get<CallerRequest>(result);
    require(accepted.requestClass.id.value() == "fast", "the class is allowed");
    require(configuration::findPool(site, accepted.pool) != nullptr, "the pool exists");
    require(accepted.deadline > policy::TimePoint {}, "the deadline is in the future");
    checkUpstream(accepted.upstream);
    return 0;
}
