#pragma once

#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::configuration
{

enum class Idempotency : std::uint8_t {
    Idempotent,
    NonIdempotent,
};

/// Whether callers of routes that are not public send the key of an organisation.
enum class CallerKeys : std::uint8_t {
    Required,
    /// The operator uses no keys. A request that carries one nevertheless needs a known one.
    NotUsed,
};

enum class PoolKind : std::uint8_t {
    ModelEngine,
    PlainService,
};

/// Latency targets of a class. A class of model requests sets timeToFirstToken and optionally interTokenLatency; a class of
/// plain service requests sets completion.
struct LatencyTargets
{
    std::optional<std::chrono::milliseconds> timeToFirstToken;
    std::optional<std::chrono::milliseconds> interTokenLatency;
    std::optional<std::chrono::milliseconds> completion;

    friend bool operator==(const LatencyTargets &, const LatencyTargets &) = default;
};

/// A request class: tier, latency targets, minimum share and rules for retries and hedging.
struct RequestClass
{
    support::ClassId id;
    support::Tier tier = 0;
    LatencyTargets targets;
    /// Fraction of the slots, from 0 to 1, that waiting requests of this class get even if more urgent tiers overload the
    /// pool.
    double minimumShare = 0.0;
    /// Waiting time after which a request is entitled to the minimum share.
    std::chrono::milliseconds maximumWait {10'000};
    Idempotency idempotency = Idempotency::Idempotent;
    /// Retries allowed per 100 requests of the class.
    unsigned retryBudgetPercent = 10;
    /// Hedged attempts allowed per 100 requests of the class; 0 disables hedging.
    unsigned hedgeBudgetPercent = 0;

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

struct Organisation
{
    support::OrganisationId id;
    /// If set, the organisation's requests are ordered by this tier first and by that of their class second, see
    /// router/OrganisationTiers.
    std::optional<support::Tier> tier;
    /// SHA-256 of each accepted bearer key, in lower-case hexadecimal.
    std::vector<std::string> keyHashes;
    std::vector<support::ClassId> allowedClasses;
    /// Relative weight in fair queueing between organisations.
    double weight = 1.0;
    /// 0 means no limit.
    unsigned requestsPerSecond = 0;
    /// 0 means no limit; counted per router.
    unsigned concurrentRequests = 0;

    friend bool operator==(const Organisation &, const Organisation &) = default;
};

/// Optional features of an endpoint, and the checks it performs on orders of the controller.
struct EndpointSupport
{
    bool resume = false;
    bool priorities = false;
    bool prefixCache = false;
    /// The endpoint refuses orders with an outdated fencing number.
    bool checksFencing = false;
    /// The endpoint authenticates the sender of an order.
    bool checksOrders = false;

    friend bool operator==(const EndpointSupport &, const EndpointSupport &) = default;
};

struct Endpoint
{
    support::EndpointId id;
    /// IP address in text form.
    std::string address;
    std::uint16_t port = 0;
    std::vector<support::PoolId> pools;
    unsigned maximumConcurrency = 8;
    EndpointSupport support;
    /// Changes with each start of the endpoint's process; 0 if unknown.
    std::int64_t incarnation = 0;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// Limits and prices within which the number of a pool's endpoints may be ordered. It is set by the operator's document only.
struct ScalingSpec
{
    /// Limits for each data centre, for endpoints of both kinds together.
    unsigned minimum = 0;
    unsigned maximum = 0;
    /// Time from an order until the new endpoint serves.
    std::chrono::milliseconds bootTime {0};
    /// Price of a spot endpoint as a share of the price of an on-demand endpoint; empty if spot endpoints are not to be ordered.
    std::optional<double> spotPrice;
    /// Price of an on-demand endpoint for one second, by data centre. No endpoints are ordered in other data centres.
    std::map<support::DataCentreId, double> prices;

    friend bool operator==(const ScalingSpec &, const ScalingSpec &) = default;
};

struct Pool
{
    support::PoolId id;
    PoolKind kind = PoolKind::ModelEngine;
    /// Maximum number of waiting requests; the pool's owner sheds further ones.
    std::size_t queueLimit = 256;
    /// Number of priorities that the pool's engines distinguish, from 1 to 256.
    unsigned enginePriorityLevels = 256;
    /// Tokens that fit into the memory of each engine of the pool; 0 if unknown.
    std::uint64_t engineMemoryTokens = 0;
    /// Empty if the number of endpoints is fixed.
    std::optional<ScalingSpec> scaling;

    friend bool operator==(const Pool &, const Pool &) = default;
};

/// A pool that receives a weighted share of a route's requests.
struct RouteTarget
{
    support::PoolId pool;
    unsigned weight = 1;

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// Routes the requests to a host whose path starts with a prefix.
struct Route
{
    std::string host;
    /// Starts and ends with a slash. The longest matching prefix of the host is used.
    std::string prefix;
    support::ClassId requestClass;
    std::vector<RouteTarget> targets;
    /// Maximum time until the final response; 0 means that only the caller's deadline applies.
    std::chrono::milliseconds timeout {0};
    /// Maximum number of endpoints that may run a caller's request.
    unsigned maximumAttempts = 1;
    bool streams = false;
    /// Whether a broken stream may be resumed at another endpoint.
    bool resumable = false;
    /// Whether requests are accepted without an API key.
    bool isPublic = false;

    friend bool operator==(const Route &, const Route &) = default;
};

/// Size limits and timeouts for callers' requests and connections.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout {30'000};
    std::chrono::milliseconds idleTimeout {30'000};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

struct LookupIndex;

/// The configuration of one site: the base file merged with the site's overlay.
struct SiteConfiguration
{
    /// Number of the accepted revision; 0 for a local file that was never applied.
    std::uint64_t revision = 0;
    support::DataCentreId dataCentre;
    std::vector<RequestClass> classes;
    std::vector<Organisation> organisations;
    /// Stated by itself, because a configuration may also have removed its last organisation.
    CallerKeys callerKeys = CallerKeys::Required;
    std::vector<Pool> pools;
    std::vector<Endpoint> endpoints;
    /// Empty if the pool is named by the request path.
    std::vector<Route> routes;
    /// If set, overrides the limits of the router's command-line settings.
    std::optional<CallerLimits> callerLimits;
    /// Set while the configuration is in force, see makeLookupIndex. Without it the functions below go through the lists.
    std::shared_ptr<const LookupIndex> index;

    friend bool operator==(const SiteConfiguration &, const SiteConfiguration &) = default;
};

/// Returns the class with the given id, or nullptr.
const RequestClass *findClass(const SiteConfiguration &configuration, const support::ClassId &id);

/// Returns the pool with the given id, or nullptr.
const Pool *findPool(const SiteConfiguration &configuration, const support::PoolId &id);

/// Returns the endpoint with the given id, or nullptr.
const Endpoint *findEndpoint(const SiteConfiguration &configuration, const support::EndpointId &id);

/// Returns the organisation that has a bearer key with the given SHA-256 hash, or nullptr.
const Organisation *findOrganisationByKeyHash(const SiteConfiguration &configuration, std::string_view keyHash);

/// Returns the route of the host whose prefix is the longest one that matches the path, or nullptr if none matches.
const Route *findRoute(const SiteConfiguration &configuration, std::string_view host, std::string_view path);

} // namespace mulberrywall::configuration
