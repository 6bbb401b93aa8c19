#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Http/Message.h"
#include "mulberrywall/Policy/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace mulberrywall::router
{

enum class ResponseMode : std::uint8_t {
    Whole,
    Stream,
};

/// A caller's request after all checks that need nothing but the request and the configuration.
struct CallerRequest
{
    support::RequestId id;
    configuration::Organisation organisation;
    configuration::RequestClass requestClass;
    support::PoolId pool;
    configuration::PoolKind poolKind = configuration::PoolKind::ModelEngine;
    ResponseMode responseMode = ResponseMode::Whole;
    std::string idempotencyKey;
    policy::Fingerprint fingerprint = 0;
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    policy::TimePoint deadline = policy::TimePoint::max();
    /// The request for the endpoint, without the fields that depend on the attempt.
    http::Request upstream;
};

/// Checks the bearer key. The problem names what is missing and never repeats the key.
std::variant<configuration::Organisation, http::Problem> authorize(const http::Request &request, const configuration::SiteConfiguration &configuration);

/// Checks key, class, pool and body of a request to a model or a plain service.
///
/// All problems have the verdict NotRun.
std::variant<CallerRequest, http::Problem> parseCallerRequest(
    const http::Request &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now);

/// Builds the response for a problem, with a Retry-After field in whole seconds unless the time is 0.
http::Response makeRetryLaterResponse(const http::Problem &problem, std::chrono::milliseconds retryAfter);

/// Returns the SHA-256 of a bearer key in lower-case hexadecimal, as the configuration stores it.
std::string hashKey(std::string_view key);

} // namespace mulberrywall::router
