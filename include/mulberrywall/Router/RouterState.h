#pragma once

#include "mulberrywall/Permits/Permit.h"
#include "mulberrywall/Platform/ClaimBatch.h"
#include "mulberrywall/Router/ActiveConfiguration.h"
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
};

/// What the caller sessions of a router share; outlives them all.
struct RouterState
{
    boost::asio::io_context &context;
    RouterOptions options;
    permits::PermitSource permits;
    /// Null when the router has no platform; requests with an idempotency key are refused then.
    std::shared_ptr<platform::ClaimBatch> claims;
    EndpointDirectory &endpoints;
    ActiveConfiguration configuration;
    support::MetricsRegistry metrics;
    ServiceLevelWindows serviceLevels;
    RetryBudgets retryBudgets;
    HedgeDelays hedgeDelays;
    OrganisationLimits organisationLimits;
    std::atomic<std::size_t> activeRequests {0};
    /// Set at shutdown: new requests are refused, running ones end normally.
    std::atomic<bool> draining {false};
};

} // namespace mulberrywall::router
