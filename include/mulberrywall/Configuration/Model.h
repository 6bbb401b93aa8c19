#pragma once

#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
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

enum class PoolKind : std::uint8_t {
    ModelEngine,
    PlainService,
};

/// Latency targets of a class; a model class sets the first two, a plain service class sets the last.
struct LatencyTargets
{
    std::optional<std::chrono::milliseconds> timeToFirstToken;
    std::optional<std::chrono::milliseconds> interTokenLatency;
    std::optional<std::chrono::milliseconds> completion;

    friend bool operator==(const LatencyTargets &, const LatencyTargets &) = default;
};

/// A request class: its targets, its tier and how its requests may be repeated.
struct RequestClass
{
    support::ClassId id;
    support::Tier tier = 0;
    LatencyTargets targets;
    /// Fraction of the slots, from 0 to 1, that waiting requests of this class get even under overload from above.
    double minimumShare = 0.0;
    /// A request that waited longer than this is entitled to the minimum share.
    std::chrono::milliseconds maximumWait {10'000};
    Idempotency idempotency = Idempotency::Idempotent;
    /// Retries allowed per 100 requests of the class.
    unsigned retryBudgetPercent = 10;
    /// Hedged attempts allowed per 100 requests of the class; 0 switches hedging off.
    unsigned hedgeBudgetPercent = 0;

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

struct Organisation
{
    support::OrganisationId id;
    /// Replaces the tier of the class of each of its requests.
    std::optional<support::Tier> tier;
    /// SHA-256 of each accepted bearer key, in lower-case hexadecimal.
    std::vector<std::string> keyHashes;
    std::vector<support::ClassId> allowedClasses;
    double weight = 1.0;
    /// 0 means no limit.
    unsigned requestsPerSecond = 0;
    /// 0 means no limit; counted per router.
    unsigned concurrentRequests = 0;

    friend bool operator==(const Organisation &, const Organisation &) = default;
};

/// What an endpoint can do and which checks it makes on orders.
struct EndpointSupport
{
    bool resume = false;
    bool priorities = false;
    bool prefixCache = false;
    /// Refuses orders with an old fencing number.
    bool checksFencing = false;
    /// Authenticates the sender of an order.
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
    /// Changes with each start of the endpoint's process; 0 when it is not known.
    std::int64_t incarnation = 0;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

struct Pool
{
    support::PoolId id;
    PoolKind kind = PoolKind::ModelEngine;
    /// Waiting requests that the pool's owner accepts before it sheds.
    std::size_t queueLimit = 256;

    friend bool operator==(const Pool &, const Pool &) = default;
};

/// One of the pools that share the requests of a route.
struct RouteTarget
{
    support::PoolId pool;
    unsigned weight = 1;

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// Sends the requests of a host whose path begins with the prefix to pools.
struct Route
{
    std::string host;
    /// Begins and ends with a slash. The longest matching prefix of a host wins.
    std::string prefix;
    support::ClassId requestClass;
    std::vector<RouteTarget> targets;
    /// Longest time until the final response; 0 means that only the caller's deadline counts.
    std::chrono::milliseconds timeout {0};
    /// Endpoints that may run one request of a caller.
    unsigned maximumAttempts = 1;
    bool streams = false;
    /// A broken stream may go on at another endpoint.
    bool resumable = false;
    /// Requests need no key.
    bool isPublic = false;

    friend bool operator==(const Route &, const Route &) = default;
};

/// What callers may send and how long they may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout {30'000};
    std::chrono::milliseconds idleTimeout {30'000};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// The configuration of one site: the base file merged with the site's overlay.
struct SiteConfiguration
{
    /// Revision that an accepted change created; 0 means a local file that was never applied.
    std::uint64_t revision = 0;
    support::DataCentreId dataCentre;
    std::vector<RequestClass> classes;
    std::vector<Organisation> organisations;
    std::vector<Pool> pools;
    std::vector<Endpoint> endpoints;
    /// Empty where the path names the pool.
    std::vector<Route> routes;
    /// Replaces the limits of the settings.
    std::optional<CallerLimits> callerLimits;

    friend bool operator==(const SiteConfiguration &, const SiteConfiguration &) = default;
};

/// Returns nullptr when the configuration has no class of that name.
const RequestClass *findClass(const SiteConfiguration &configuration, const support::ClassId &id);

/// Returns nullptr when the configuration has no pool of that name.
const Pool *findPool(const SiteConfiguration &configuration, const support::PoolId &id);

/// Returns nullptr when the configuration has no endpoint of that name.
const Endpoint *findEndpoint(const SiteConfiguration &configuration, const support::EndpointId &id);

/// Returns the organisation whose bearer key has the given SHA-256, or nullptr.
const Organisation *findOrganisationByKeyHash(const SiteConfiguration &configuration, std::string_view keyHash);

} // namespace mulberrywall::configuration
