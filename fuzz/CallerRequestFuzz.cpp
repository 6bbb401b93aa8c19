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
    const std::size_t parsedBytes = parser.put(boost::asio::buffer(text.data(), text.size()), error);
    if (error || !parser.is_done() || parsedBytes != text.size()) {
        return std::nullopt;
    }
    return parser.release();
}

/// Requires that the serialized request parses as exactly one request with the same method, target and body, so that an
/// endpoint receives the request that was checked.
void checkUpstream(http::Request upstream)
{
    upstream.prepare_payload();
    std::ostringstream text;
    text << upstream;
    const auto received = parse(text.str());
    require(received.has_value(), "the endpoint receives exactly one complete request");
    require(received->target() == upstream.target() && received->body() == upstream.body() && received->method() == upstream.method(),
        "the endpoint receives the request that was checked");
    require(received->target().starts_with('/'), "the target that the endpoint receives is a path");
}

} // namespace

/// Guards against requests that crash the process, are rejected without the verdict that they have not run, or reach an
/// endpoint as a different request than the one that was checked (request smuggling).
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const configuration::SiteConfiguration site = makeSite();
    const auto request = parse({reinterpret_cast<const char *>(data), size});
    // The HTTP server rejects these requests before the router parses them.
    if (!request || request->method() == http::Verb::unknown || (request->method() == http::Verb::trace && !request->body().empty())) {
        return 0;
    }
    const auto result = parseCallerRequest(*request, site, policy::TimePoint {});
    if (const auto *problem = std::get_if<http::Problem>(&result)) {
        require(problem->verdict == support::Verdict::NotRun, "a rejected request has not run");
        const auto status = static_cast<unsigned>(problem->status);
        require(status >= 400 && status < 500, "a rejection has a status of 4xx");
        require(!http::makeProblemResponse(*problem).body().empty(), "a rejection has a body that explains it");
        return 0;
    }
    const auto &accepted = std::get<CallerRequest>(result);
    require(accepted.requestClass.id.value() == "fast", "the class of an accepted request is allowed for its organisation");
    require(configuration::findPool(site, accepted.pool) != nullptr, "the pool of an accepted request exists");
    require(accepted.deadline > policy::TimePoint {}, "the deadline of an accepted request is in the future");
    // The body is sent from the copy that the server holds.
    http::Request upstream = accepted.upstream;
    upstream.body() = request->body();
    checkUpstream(std::move(upstream));
    return 0;
}
