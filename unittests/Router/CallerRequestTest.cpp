#include "mulberrywall/Router/CallerRequest.h"

#include <gtest/gtest.h>

namespace mulberrywall::router
{

namespace
{

configuration::SiteConfiguration makeSite()
{
    configuration::SiteConfiguration site;
    site.classes = {{.id = support::ClassId("fast")}, {.id = support::ClassId("slow")}};
    site.organisations = {{.id = support::OrganisationId("acme"), .keyHashes = {hashKey("acme-key")}, .allowedClasses = {support::ClassId("fast")}}};
    site.pools = {{.id = support::PoolId("m")}, {.id = support::PoolId("ledger"), .kind = configuration::PoolKind::PlainService}};
    return site;
}

http::Request makeRequest(std::string_view target = "/v1/completions", std::string body = R"({"model":"m","prompt":"p"})")
{
    http::Request request(http::Verb::post, target, 11);
    request.set(http::Field::authorization, "Bearer acme-key");
    request.body() = std::move(body);
    return request;
}

struct BadRequest
{
    std::string name;
    http::Request request;
    http::Status status;
};

std::vector<BadRequest> badRequests()
{
    std::vector<BadRequest> cases {
        {"no key", makeRequest(), http::Status::unauthorized},
        {"wrong key", makeRequest(), http::Status::unauthorized},
        {"unknown class", makeRequest(), http::Status::bad_request},
        {"class not allowed", makeRequest(), http::Status::forbidden},
        {"invalid timeout", makeRequest(), http::Status::bad_request},
        {"no JSON", makeRequest("/v1/completions", "{"), http::Status::bad_request},
        {"no model", makeRequest("/v1/completions", "{}"), http::Status::bad_request},
        {"unknown model", makeRequest("/v1/completions", R"({"model":"x"})"), http::Status::not_found},
        {"service as model", makeRequest("/v1/completions", R"({"model":"ledger"})"), http::Status::not_found},
        {"unknown service", makeRequest("/services/x/rows"), http::Status::not_found},
        {"unknown path", makeRequest("/v2/other"), http::Status::not_found},
    };
    cases[0].request.erase(http::Field::authorization);
    cases[1].request.set(http::Field::authorization, "Bearer other-key");
    cases[2].request.set(http::header::requestClass, "unknown");
    cases[3].request.set(http::header::requestClass, "slow");
    cases[4].request.set(http::header::timeoutMs, "soon");
    return cases;
}

} // namespace

// Guards against invalid input that is accepted, that gets the wrong status or whose verdict is not
// NotRun.
TEST(CallerRequestTest, InvalidInputIsRejectedAsNotRun)
{
    for (const BadRequest &bad : badRequests()) {
        const auto result = parseCallerRequest(bad.request, makeSite(), policy::TimePoint {});
        const auto *problem = std::get_if<http::Problem>(&result);
        ASSERT_NE(problem, nullptr) << bad.name;
        EXPECT_EQ(problem->status, bad.status) << bad.name;
        EXPECT_EQ(problem->verdict, support::Verdict::NotRun) << bad.name;
        EXPECT_FALSE(problem->detail.empty()) << bad.name;
        EXPECT_EQ(problem->detail.find("other-key"), std::string::npos) << "the problem must not contain the key";
    }
}

// Guards against a resent request that gets a different fingerprint, and against equal fingerprints of
// different bodies.
TEST(CallerRequestTest, FingerprintDependsOnRequestContent)
{
    const auto parse = [](const http::Request &request) {
        return std::get<CallerRequest>(parseCallerRequest(request, makeSite(), policy::TimePoint {}));
    };
    const CallerRequest first = parse(makeRequest());
    const CallerRequest second = parse(makeRequest());
    EXPECT_EQ(first.fingerprint, second.fingerprint);
    EXPECT_NE(first.id, second.id);
    EXPECT_NE(first.fingerprint, parse(makeRequest("/v1/completions", R"({"model":"m","prompt":"q"})")).fingerprint);
    EXPECT_EQ(first.requestClass.id, support::ClassId("fast"));
}

// Guards against conversations that crash engines by a message which they share, and are not recognised by it.
TEST(CallerRequestTest, ConversationsShareTheirEarlierMessages)
{
    const auto segmentsOf = [](const std::string &messages) {
        const http::Request request = makeRequest("/v1/chat/completions", R"({"model":"m","messages":[)" + messages + "]}");
        return std::get<CallerRequest>(parseCallerRequest(request, makeSite(), policy::TimePoint {})).sharedSegments;
    };
    const std::vector<std::string> first = segmentsOf(R"({"role":"system","content":"rules"},{"role":"user","content":"a"})");
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first, segmentsOf(R"({"role":"system","content":"rules"},{"role":"user","content":"b"})"));
    EXPECT_NE(first, segmentsOf(R"({"role":"system","content":"other"},{"role":"user","content":"a"})"));
    EXPECT_EQ(first.at(0).find("rules"), std::string::npos) << "the text of a message must not get into logs";
    EXPECT_TRUE(segmentsOf(R"({"role":"user","content":"a"})").empty());
}

// Guards against a service path that is forwarded to the endpoint with the router's prefix or without
// its query.
TEST(CallerRequestTest, ServicePathIsForwardedWithoutPrefix)
{
    const auto result = parseCallerRequest(makeRequest("/services/ledger/rows?id=7", "x"), makeSite(), policy::TimePoint {});
    const auto *request = std::get_if<CallerRequest>(&result);
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(request->upstream.target(), "/rows?id=7");
    EXPECT_EQ(request->upstream.body(), "") << "the body is sent from the copy that all attempts share";
}

} // namespace mulberrywall::router
