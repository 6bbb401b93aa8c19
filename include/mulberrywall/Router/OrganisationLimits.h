#pragma once

#include "mulberrywall/Configuration/Model.h"
#include "mulberrywall/Policy/Types.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace mulberrywall::router
{

/// Token bucket for the request rate of an organisation. Its capacity is the number of requests allowed
/// per second.
struct RequestTokenBucket
{
    double tokens = 0.0;
    policy::TimePoint updatedAt;
    bool started = false;
};

/// Takes a token and returns 0, or returns the time until the next token is available.
std::chrono::milliseconds takeToken(RequestTokenBucket &bucket, unsigned requestsPerSecond, policy::TimePoint now);

/// Counts a request as running until the last copy of the slot is destroyed.
using ConcurrencySlot = std::shared_ptr<void>;

/// Rejection of a request because the organisation has reached a limit; the request has not run.
struct LimitReached
{
    std::string detail;
    std::chrono::milliseconds retryAfter {0};
};

/// Limits the request rate and the concurrent requests of each organisation at this router.
///
/// Thread-safe; takes no other lock while it holds its mutex. Concurrency slots may outlive the object.
class OrganisationLimits
{
public:
    OrganisationLimits();

    std::variant<ConcurrencySlot, LimitReached> admit(const configuration::Organisation &organisation, policy::TimePoint now);

private:
    struct Table;
    std::shared_ptr<Table> table_;
};

} // namespace mulberrywall::router
