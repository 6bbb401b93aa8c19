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
#include <vector>

namespace mulberrywall::router
{

enum class ResponseMode : std::uint8_t {
    Buffered,
    Stream,
};

/// The retry budget that is charged for the retries of a request.
struct RetryAllowance
{
    /// Name of the budget; requests with the same name share one.
    std::string budget;
    /// Number of retries that 100 requests add to the budget.
    unsigned percent = 0;
};

/// A caller's request that has passed all checks against the configuration.
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
    /// Number of tokens in the prompt prefix that `prefixHash` covers; empty if the caller does not
    /// state it.
    std::optional<std::uint32_t> prefixTokens;
    /// The segments of which this prefix consists, in order; empty if the caller does not state them.
    std::vector<policy::PrefixSegment> prefixSegments;
    /// Ids of the prompt's segments that other requests may share, in order; empty if the caller does not state them.
    std::vector<std::string> sharedSegments;
    policy::TimePoint deadline = policy::TimePoint::max();
    /// Maximum number of attempts; 0 means the router's default.
    unsigned maximumAttempts = 0;
    /// True if another endpoint may continue the stream even if the endpoints do not declare resume
    /// support.
    bool isResumable = false;
    RetryAllowance retryAllowance;
    /// Request for the endpoint, without its body and without the fields that depend on the attempt.
    http::Request upstream;
};

/// Returns the key from the Authorization field, or an empty string if the field is missing or has
/// another scheme than "Bearer".
std::string_view bearerKey(const http::RequestHeader &request);

/// Returns the organisation without its keys, which may be hundreds and which no request needs.
configuration::Organisation withoutKeys(const configuration::Organisation &organisation);

/// Returns the organisation of the bearer key, without its keys, or a problem that never contains the key.
std::variant<configuration::Organisation, http::Problem> authorize(const http::RequestHeader &request, const configuration::SiteConfiguration &configuration);

/// Validates key, class, pool and body of a request to a model or a plain service.
///
/// All problems have the verdict NotRun.
std::variant<CallerRequest, http::Problem> parseCallerRequest(
    const http::Request &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now);

/// Returns the problem of a request that is rejected whatever its body is, or nothing.
std::optional<http::Problem> checkCallerHeader(
    const http::RequestHeader &request, const configuration::SiteConfiguration &configuration, policy::TimePoint now);

/// Parses a timeout from 1 ms to 24 hours, in milliseconds. Returns nothing if the text is not such a
/// number.
std::optional<std::chrono::milliseconds> parseTimeout(std::string_view text);

/// Returns a hash of organisation, target and body, by which a resent request is recognised.
policy::Fingerprint fingerprintOf(const CallerRequest &request, std::string_view body);

/// Returns hashes of the segments that other requests may share, by which these are recognised.
std::vector<policy::Fingerprint> segmentFingerprints(const CallerRequest &request);

/// Returns the ids of these segments for a log line: the first eight, whose length must not dominate the line.
std::string segmentsForLog(const CallerRequest &request);

/// Returns the SHA-256 of a bearer key in lower-case hexadecimal, as the configuration stores it.
std::string hashKey(std::string_view key);

} // namespace mulberrywall::router
