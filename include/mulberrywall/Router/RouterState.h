#pragma once

#include "mulberrywall/BackingServices/ReservationBatch.h"
#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Http/ConnectionPool.h"
#include "mulberrywall/Metering/UsageCounter.h"
#include "mulberrywall/Permits/Permit.h"
#include "mulberrywall/Router/ActiveConfiguration.h"
#include "mulberrywall/Router/ConfigurationLease.h"
#include "mulberrywall/Router/Dialect.h"
#include "mulberrywall/Router/EndpointDirectory.h"
#include "mulberrywall/Router/HedgeDelay.h"
#include "mulberrywall/Router/OrganisationLimits.h"
#include "mulberrywall/Router/RetryBudget.h"
#include "mulberrywall/Router/RetryDecision.h"
#include "mulberrywall/Router/ServiceLevelWindows.h"
#include "mulberrywall/Router/SessionRegistry.h"
#include "mulberrywall/Support/MemoryBudget.h"
#include "mulberrywall/Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

namespace mulberrywall::router
{

struct RouterOptions
{
    std::chrono::milliseconds connectTimeout {1'000};
    /// Time without data from an endpoint after which its attempt counts as stalled.
    std::chrono::milliseconds stallTimeout {30'000};
    /// Timeout of a response that is not streamed, which arrives only after the engine has generated
    /// all of it.
    std::chrono::milliseconds responseTimeout {120'000};
    /// Maximum size of a response body that is not streamed. The router buffers it, so that an endpoint that sends without
    /// end must not exhaust the instance's memory.
    std::size_t maxResponseBytes = http::defaultMaxResponseBytes;
    /// Bound on the bytes that are held for callers and endpoints; 0 means that only the responses which are being received are bounded.
    std::size_t maxHeldBytes = 0;
    /// Maximum size of all responses that are being received. Above it the largest ones fail.
    std::size_t maxResponseMemoryBytes = std::size_t {512} * 1024 * 1024;
    /// Maximum number of attempts for one request, including the first.
    unsigned maximumAttempts = 3;
    NextStep (*decideNextStep)(const FailedAttempt &) = router::decideNextStep;
    /// Time without TCP acknowledgements after which a connection to an endpoint counts as lost; 0
    /// means the system's default.
    std::chrono::milliseconds unacknowledgedTimeout {0};
    /// True if connections to endpoints are kept open for later requests.
    bool reusesConnections = false;
    /// Capacity of each retry budget, which is the number of retries that it allows in a burst.
    double retryBurst = 50.0;
    /// Maximum time for which a configuration may be used without confirmation that it is current;
    /// empty means no limit.
    std::optional<std::chrono::milliseconds> configurationLifetime;
    /// True if resumes take tokens from the retry budget, as retries do.
    bool chargeResumesToRetryBudget = false;
};

/// State that all caller sessions of a router share; outlives the sessions.
struct RouterState
{
    boost::asio::io_context &context;
    RouterOptions options;
    const Dialect &dialect;
    permits::PermitSource permits;
    /// Null if the router has no platform. Non-idempotent requests with an idempotency key are rejected
    /// then.
    std::shared_ptr<backingservices::ReservationBatch> keyReservations;
    EndpointDirectory &endpoints;
    /// Counts requests and demand; null if metering is not configured.
    std::shared_ptr<metering::UsageCounter> usage;
    ActiveConfiguration configuration;
    ConfigurationLease lease {options.configurationLifetime};
    support::MetricsRegistry metrics;
    ServiceLevelWindows serviceLevels;
    RetryBudgets retryBudgets {options.retryBurst};
    /// Null if each attempt opens a new connection.
    std::shared_ptr<http::ConnectionPool> connections = options.reusesConnections ? std::make_shared<http::ConnectionPool>() : nullptr;
    HedgeDelays hedgeDelays;
    OrganisationLimits organisationLimits;
    std::shared_ptr<support::MemoryBudget> responseMemory = std::make_shared<support::MemoryBudget>(
        options.maxHeldBytes == 0 ? options.maxResponseMemoryBytes : options.maxHeldBytes, options.maxResponseMemoryBytes);
    /// Account of what connections of callers hold; null if it has no bound.
    std::shared_ptr<support::MemoryBudget> callerMemory = options.maxHeldBytes == 0 ? nullptr : responseMemory;
    SessionRegistry sessions;
    std::atomic<std::size_t> activeRequests {0};
    /// True from the start of the shutdown. The router then reports that it is not ready; running
    /// requests end normally.
    std::atomic<bool> draining {false};
    /// True from the time of the shutdown at which a new attempt might not end before the process does.
    std::atomic<bool> startsNoAttempts {false};
};

} // namespace mulberrywall::router
