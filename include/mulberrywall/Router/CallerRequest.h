#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Http/Message.h"
#include "mulberrywall/Policy/Types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mulberrywall::router
{

enum class ResponseMode : std::uint8_t {
    Buffered,
    Stream,
};

/// The budget that the retries of a request are taken from.
struct RetryAllowance
{
    /// Requests with the same name share a budget.
    std::string budget;
    /// Retries that 100 requests earn.
    unsigned percent = 0;
};

/// A caller's request after all checks that need nothing but the request and the configuration.
struct CallerRequest
{
    support::RequestId id;
    configuration::Organisation organisation;
    configuration::RequestClass requestClass;
    support::PoolId pool;
    configuration::PoolKind poolKind = configuration::PoolKind::ModelEngine;
    ResponseMode responseMode = ResponseMode::Buffered;
    std::string idempotencyKey;
    policy::Fingerprint fingerprint = 0;
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    /// Tokens of the part that the prefix hash stands for; nothing when the caller does not tell.
    std::optional<std::uint32_t> sharedPromptTokens;
    policy::TimePoint deadline = policy::TimePoint::max();
    /// Endpoints that may run the request; 0 means the router's own bound.
    unsigned maximumAttempts = 0;
    /// The stream may go on at another endpoint whatever the endpoint states about itself.
    bool isResumable = false;
    RetryAllowance retryAllowance;
    /// The request for the endpoint, without the fields that depend on the attempt.
    http::Request upstream;
};

/// Returns the key of the request's Authorization field; empty without one of the scheme "Bearer".
std::string_view bearerKey(const http::Request &request);

/// Checks the bearer key. The problem names what is missing and never repeats the key.
std::variant<configuration::Organisation, http::Problem> authorize(const http::Request &request, const configuration::SiteConfiguration &configuration);

/// Checks key, class, pool and body of a request to a model or a plain service.
///
/// All problems have the verdict NotRun.
std::variant<CallerRequest, http::Problem> parseCallerRequest(
    const http::Request &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now);

/// Parses a number of milliseconds above 0 and of at most a day; nothing when the text is no such number.
std::optional<std::chrono::milliseconds> parseTimeout(std::string_view text);

/// Identifies a request that is sent again: same organisation, target and body.
policy::Fingerprint fingerprintOf(const CallerRequest &request);

/// Returns the SHA-256 of a bearer key in lower-case hexadecimal, as the configuration stores it.
std::string hashKey(std::string_view key);

} // namespace mulberrywall::router
