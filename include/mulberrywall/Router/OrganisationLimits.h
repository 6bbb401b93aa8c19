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

/// Token bucket that holds at most one second's requests.
struct RequestTokenBucket
{
    double tokens = 0.0;
    policy::TimePoint updatedAt;
    bool started = false;
};

/// Takes a token and returns 0, or returns the time until the next token.
std::chrono::milliseconds takeToken(RequestTokenBucket &bucket, unsigned requestsPerSecond, policy::TimePoint now);

/// Counts a request as running while it is held.
using ConcurrencySlot = std::shared_ptr<void>;

/// A limit of the organisation is reached; the request has not run.
struct LimitReached
{
    std::string detail;
    std::chrono::milliseconds retryAfter {0};
};

/// Requests per second and concurrent requests of each organisation at this router.
///
/// Thread-safe; no other lock is taken while its mutex is held. Tickets may outlive the table.
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
