#pragma once

#include "mulberrywall/Policy/Queue.h"
#include "mulberrywall/Policy/Types.h"

#include <map>
#include <unordered_map>

namespace mulberrywall::policy
{

/// What the pool knows about a request class.
struct ClassState
{
    ClassSpec spec;
};

/// What the pool knows about an endpoint.
struct EndpointState
{
    EndpointSpec spec;
    unsigned running = 0;
};

/// A request that holds a slot.
struct ActiveRequest
{
    Submission submission;
    support::Tier tier = 0;
    support::EndpointId endpoint;
    TimePoint startedAt;
    std::uint64_t outputTokens = 0;
};

/// State of one pool at its owner.
struct Pool
{
    PoolOptions options;
    std::map<support::ClassId, ClassState> classes;
    std::map<support::EndpointId, EndpointState> endpoints;
    Queue queue;
    std::unordered_map<PermitId, ActiveRequest> active;
};

} // namespace mulberrywall::policy
