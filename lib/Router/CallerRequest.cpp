#include "mulberrywall/Router/CallerRequest.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <span>

namespace mulberrywall::router
{

namespace json = boost::json;

/// Prompt bytes in the prefix hash: enough to distinguish documents, but few enough to match a shared
/// prefix.
static constexpr std::size_t prefixHashBytes = 1024;
/// Average for European languages. The policy uses only relative sizes.
static constexpr std::size_t bytesPerToken = 4;
static constexpr std::string_view servicePathPrefix = "/services/";
static constexpr std::chrono::milliseconds maximumTimeout = std::chrono::hours(24);

static http::Problem makeProblem(http::Status status, std::string title, std::string detail)
{
    return {.status = status, .title = std::move(title), .detail = std::move(detail), .verdict = support::Verdict::NotRun};
}

std::string hashKey(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

std::string_view bearerKey(const http::RequestHeader &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = http::fieldValue(request, "Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
}

configuration::Organisation withoutKeys(const configuration::Organisation &organisation)
{
    return {.id = organisation.id,
        .tier = organisation.tier,
        .allowedClasses = organisation.allowedClasses,
        .weight = organisation.weight,
        .requestsPerSecond = organisation.requestsPerSecond,
        .concurrentRequests = organisation.concurrentRequests};
}

std::variant<configuration::Organisation, http::Problem> authorize(const http::RequestHeader &request, const configuration::SiteConfiguration &configuration)
{
    const std::string_view key = bearerKey(request);
    if (key.empty()) {
        return makeProblem(http::Status::unauthorized, "missing key", "send the organisation's key as 'Authorization: Bearer <key>'");
    }
    const std::string hash = hashKey(key);
    const configuration::Organisation *organisation = configuration::findOrganisationByKeyHash(configuration, hash);
    if (organisation == nullptr) {
        return makeProblem(http::Status::unauthorized, "unknown key", "the key belongs to no organisation; ask the operator for a valid key");
    }
    return withoutKeys(*organisation);
}

static std::variant<configuration::RequestClass, http::Problem> chooseClass(
    const http::RequestHeader &request, const configuration::SiteConfiguration &configuration, const configuration::Organisation &organisation)
{
    const std::string_view name = http::fieldValue(request, http::header::requestClass);
    if (name.empty() && organisation.allowedClasses.empty()) {
        return makeProblem(
            http::Status::forbidden, "no class allowed", "organisation '" + organisation.id.value() + "' has no allowed class; ask the operator to add one");
    }
    const support::ClassId id = name.empty() ? organisation.allowedClasses.front() : support::ClassId(std::string(name));
    const configuration::RequestClass *requestClass = configuration::findClass(configuration, id);
    if (requestClass == nullptr) {
        return makeProblem(
            http::Status::bad_request, "unknown class", "the configuration has no class '" + id.value() + "'; correct the field Mulberrywall-Class");
    }
    const auto &allowed = organisation.allowedClasses;
    if (std::find(allowed.begin(), allowed.end(), id) == allowed.end()) {
        return makeProblem(http::Status::forbidden,
            "class not allowed",
            "organisation '" + organisation.id.value() + "' may not use class '" + id.value() + "'; use an allowed class or ask the operator");
    }
    return *requestClass;
}

std::optional<std::chrono::milliseconds> parseTimeout(std::string_view text)
{
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc {} || end != text.data() + text.size() || milliseconds <= 0 || milliseconds > maximumTimeout.count()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

static std::variant<policy::TimePoint, http::Problem> chooseDeadline(const http::RequestHeader &request, policy::TimePoint now)
{
    const std::string_view text = http::fieldValue(request, http::header::timeoutMs);
    if (text.empty()) {
        return policy::TimePoint::max();
    }
    const std::optional<std::chrono::milliseconds> timeout = parseTimeout(text);
    if (!timeout) {
        return makeProblem(http::Status::bad_request, "invalid timeout", "Mulberrywall-Timeout-Ms must be a whole number of milliseconds from 1 to 86400000");
    }
    return now + *timeout;
}

static std::optional<http::Problem> checkPool(const configuration::SiteConfiguration &configuration, const support::PoolId &id, configuration::PoolKind kind)
{
    const configuration::Pool *pool = configuration::findPool(configuration, id);
    if (pool != nullptr && pool->kind == kind) {
        return std::nullopt;
    }
    const std::string what = kind == configuration::PoolKind::ModelEngine ? "model" : "service";
    return makeProblem(http::Status::not_found, "unknown " + what, "no " + what + " '" + id.value() + "' is configured; GET /v1/models lists the models");
}

static std::string collectPrompt(const json::object &body)
{
    if (const json::value *prompt = body.if_contains("prompt"); prompt != nullptr && prompt->is_string()) {
        return std::string(prompt->get_string());
    }
    if (const json::value *messages = body.if_contains("messages"); messages != nullptr) {
        return json::serialize(*messages);
    }
    return {};
}

/// Returns names of the messages that other requests of the conversation, or with the same instructions, may share: all but the
/// last one. A name is a hash, because the text must not get into logs.
static std::vector<std::string> sharedMessages(const json::object &body)
{
    const json::value *messages = body.if_contains("messages");
    const json::array *list = messages == nullptr ? nullptr : messages->if_array();
    std::vector<std::string> names;
    for (std::size_t index = 0; list != nullptr && index + 1 < list->size(); ++index) {
        const std::string text = json::serialize((*list)[index]);
        std::array<char, 16> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), XXH3_64bits(text.data(), text.size()), 16).ptr;
        names.emplace_back(digits.data(), end);
    }
    return names;
}

static std::optional<http::Problem> readModelBody(std::string_view text, const configuration::SiteConfiguration &configuration, CallerRequest &result)
{
    json::error_code error;
    const json::value document = json::parse({text.data(), text.size()}, error);
    if (error || !document.is_object()) {
        return makeProblem(http::Status::bad_request, "malformed body", "the body is not a JSON object: " + error.message());
    }
    const json::object &body = document.get_object();
    const json::value *model = body.if_contains("model");
    if (model == nullptr || !model->is_string()) {
        return makeProblem(http::Status::bad_request, "missing model", "the body needs the member 'model' with the name of a model");
    }
    result.pool = support::PoolId(std::string(model->get_string()));
    if (auto problem = checkPool(configuration, result.pool, configuration::PoolKind::ModelEngine)) {
        return problem;
    }
    const json::value *stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        return makeProblem(http::Status::bad_request, "invalid stream", "the member 'stream' must be true or false");
    }
    result.responseMode = stream != nullptr && stream->get_bool() ? ResponseMode::Stream : ResponseMode::Buffered;
    const std::string prompt = collectPrompt(body);
    result.promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken + 1);
    result.prefixHash = XXH3_64bits(prompt.data(), std::min(prompt.size(), prefixHashBytes));
    result.sharedSegments = sharedMessages(body);
    return std::nullopt;
}

static void copyUpstream(const http::RequestHeader &request, std::string_view target, CallerRequest &result)
{
    result.upstream = http::Request(request.method(), target, 11);
    const std::string_view contentType = http::fieldValue(request, "Content-Type");
    if (!contentType.empty()) {
        result.upstream.set(http::Field::content_type, contentType);
    }
    result.upstream.set(http::header::requestId, result.id.value());
}

/// Reads the target, and the body of a completion if it has been received.
static std::optional<http::Problem> readTarget(
    const http::RequestHeader &request, std::optional<std::string_view> body, const configuration::SiteConfiguration &configuration, CallerRequest &result)
{
    const std::string_view target(request.target().data(), request.target().size());
    const std::string_view path = http::pathOf(target);
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        if (request.method() != http::Verb::post) {
            return makeProblem(http::Status::method_not_allowed, "method not allowed", "use POST for completions");
        }
        copyUpstream(request, path, result);
        return body ? readModelBody(*body, configuration, result) : std::nullopt;
    }
    if (path.starts_with(servicePathPrefix)) {
        const std::string_view rest = target.substr(servicePathPrefix.size());
        const std::size_t end = rest.find_first_of("/?");
        result.pool = support::PoolId(std::string(rest.substr(0, end)));
        result.poolKind = configuration::PoolKind::PlainService;
        std::string upstreamTarget = end == std::string_view::npos ? "/" : std::string(rest.substr(end));
        if (upstreamTarget.front() == '?') {
            upstreamTarget.insert(0, 1, '/');
        }
        copyUpstream(request, upstreamTarget, result);
        return checkPool(configuration, result.pool, configuration::PoolKind::PlainService);
    }
    return makeProblem(http::Status::not_found, "unknown path", "use /v1/chat/completions, /v1/completions, /v1/models or /services/<name>/");
}

policy::Fingerprint fingerprintOf(const CallerRequest &request, std::string_view body)
{
    const std::string &organisation = request.organisation.id.value();
    std::uint64_t seed = XXH3_64bits(organisation.data(), organisation.size());
    const auto target = request.upstream.target();
    seed = XXH3_64bits_withSeed(target.data(), target.size(), seed);
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

std::vector<policy::Fingerprint> segmentFingerprints(const CallerRequest &request)
{
    std::vector<policy::Fingerprint> result;
    for (const std::string &segment : request.sharedSegments) {
        result.push_back(XXH3_64bits(segment.data(), segment.size()));
    }
    return result;
}

std::string segmentsForLog(const CallerRequest &request)
{
    constexpr std::size_t maxLoggedSegments = 8;
    const std::span<const std::string> segments = request.sharedSegments;
    std::string text;
    for (const std::string &segment : segments.first(std::min(segments.size(), maxLoggedSegments))) {
        text += (text.empty() ? "" : ",") + segment;
    }
    return segments.size() > maxLoggedSegments ? text + ",..." : text;
}

/// Parses a request whose body may not have been received yet.
static std::variant<CallerRequest, http::Problem> parse(
    const http::RequestHeader &request, std::optional<std::string_view> body, const configuration::SiteConfiguration &configuration, policy::TimePoint now)
{
    auto organisation = authorize(request, configuration);
    if (auto *problem = std::get_if<http::Problem>(&organisation)) {
        return std::move(*problem);
    }
    CallerRequest result {.id = support::RequestId(support::makeRandomId()), .organisation = std::get<configuration::Organisation>(std::move(organisation))};
    if (auto problem = readTarget(request, body, configuration, result)) {
        return std::move(*problem);
    }
    auto requestClass = chooseClass(request, configuration, result.organisation);
    if (auto *problem = std::get_if<http::Problem>(&requestClass)) {
        return std::move(*problem);
    }
    result.requestClass = std::get<configuration::RequestClass>(std::move(requestClass));
    result.retryAllowance = {.budget = result.requestClass.id.value(), .percent = result.requestClass.retryBudgetPercent};
    const auto deadline = chooseDeadline(request, now);
    if (const auto *problem = std::get_if<http::Problem>(&deadline)) {
        return *problem;
    }
    result.deadline = std::get<policy::TimePoint>(deadline);
    result.idempotencyKey = std::string(http::fieldValue(request, http::header::idempotencyKey));
    if (body) {
        result.fingerprint = fingerprintOf(result, *body);
    }
    return result;
}

std::variant<CallerRequest, http::Problem> parseCallerRequest(
    const http::Request &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now)
{
    return parse(request, request.body(), configuration, now);
}

std::optional<http::Problem> checkCallerHeader(const http::RequestHeader &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now)
{
    const auto result = parse(request, std::nullopt, configuration, now);
    const auto *problem = std::get_if<http::Problem>(&result);
    return problem == nullptr ? std::nullopt : std::optional(*problem);
}

} // namespace mulberrywall::router
