#pragma once

#include "mulberrywall/Http/ConnectionPool.h"
#include "mulberrywall/Permits/Permit.h"
#include "mulberrywall/Platform/ClaimBatch.h"
#include "mulberrywall/Router/ActiveConfiguration.h"
#include "mulberrywall/Router/ConfigurationLease.h"
#include "mulberrywall/Router/Dialect.h"
#include "mulberrywall/Router/EndpointDirectory.h"
#include "mulberrywall/Router/HedgeDelay.h"
#include "mulberrywall/Router/OrganisationLimits.h"
#include "mulberrywall/Router/RetryBudget.h"
#include "mulberrywall/Router/RetryDecision.h"
#include "mulberrywall/Router/ServiceLevelWindows.h"
#include "mulberrywall/Support/Metrics.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <optional>

namespace mulberrywall::router
{

struct RouterOptions
{
    std::chrono::milliseconds connectTimeout {1'000};
    /// Longest silence of an endpoint before its attempt counts as stalled.
    std::chrono::milliseconds stallTimeout {30'000};
    /// Longest wait for a response that is not streamed, which arrives only when the whole answer has been generated.
    std::chrono::milliseconds responseTimeout {120'000};
    /// Attempts for one request, the first included.
    unsigned maximumAttempts = 3;
    NextStep (*decideNextStep)(const FailedAttempt &) = router::decideNextStep;
    /// Time after which an endpoint that acknowledges nothing counts as lost; 0 leaves it to the system.
    std::chrono::milliseconds unacknowledgedTimeout {0};
    /// Keep connections to endpoints open for later requests.
    bool reusesConnections = false;
    /// Retries that a budget allows at once.
    double retryBurst = 50.0;
    /// Time for which a configuration may be used without a proof that it is in force; nothing means for ever.
    std::optional<std::chrono::milliseconds> configurationLifetime;
    /// Resumes are taken from the retry budget like retries.
    bool chargeResumesToRetryBudget = false;
};

/// What the caller sessions of a router share; outlives them all.
struct RouterState
{
    boost::asio::io_context &context;
    RouterOptions options;
    const Dialect &dialect;
    permits::PermitSource permits;
    /// Null when the router has no platform; requests with an idempotency key are refused then.
    std::shared_ptr<platform::ClaimBatch> keyReservations;
    EndpointDirectory &endpoints;
    ActiveConfiguration configuration;
    ConfigurationLease lease {options.configurationLifetime};
    support::MetricsRegistry metrics;
    ServiceLevelWindows serviceLevels;
    RetryBudgets retryBudgets {options.retryBurst};
    /// Null when each attempt opens a new connection.
    std::shared_ptr<http::ConnectionPool> connections = options.reusesConnections ? std::make_shared<http::ConnectionPool>() : nullptr;
    HedgeDelays hedgeDelays;
    OrganisationLimits organisationLimits;
    std::atomic<std::size_t> activeRequests {0};
    /// Set at shutdown: new requests are refused, running ones end normally.
    std::atomic<bool> draining {false};
};

} // namespace mulberrywall::router
