#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <map>
#include <mutex>

namespace mulberrywall::router
{

/// Token bucket for the retries of a class: each request adds a fraction of a token, each retry takes one.
///
/// The bucket is full at the start, so that an endpoint that fails early can be survived before much traffic has passed.
struct RetryBudget
{
    static constexpr double capacity = 50.0;
    double tokens = capacity;
};

void recordRequest(RetryBudget &budget, unsigned percent);

/// Takes a token and returns true, or returns false when there is none or the class allows no retries.
bool takeRetry(RetryBudget &budget, unsigned percent);

/// The retry budgets of all classes of a router. Thread-safe; no other lock is taken while its mutex is held.
class RetryBudgets
{
public:
    void recordRequest(const configuration::RequestClass &requestClass);
    [[nodiscard]] bool takeRetry(const configuration::RequestClass &requestClass);

private:
    std::mutex mutex_;
    std::map<support::ClassId, RetryBudget> budgets_;
};

} // namespace mulberrywall::router
