#pragma once

#include "mulberrywall/Router/CallerRequest.h"

#include <map>
#include <mutex>
#include <string>

namespace mulberrywall::router
{

/// Token bucket for the retries of a class or pool: each request adds a fraction of a token, each retry takes one.
///
/// The bucket is full at the start, so that an endpoint that fails early can be survived before much traffic has passed.
struct RetryBudget
{
    double capacity = 50.0;
    double tokens = capacity;
};

void recordRequest(RetryBudget &budget, unsigned percent);

/// Takes a token and returns true, or returns false when there is none or no retries are allowed.
bool takeRetry(RetryBudget &budget, unsigned percent);

/// The retry budgets of a router by name. Thread-safe; no other lock is taken while its mutex is held.
class RetryBudgets
{
public:
    /// The capacity is the number of retries that a budget allows at once.
    explicit RetryBudgets(double capacity);

    void recordRequest(const RetryAllowance &allowance);
    [[nodiscard]] bool takeRetry(const RetryAllowance &allowance);
    /// Changes the capacity of all budgets; what they hold beyond it is lost.
    void setCapacity(double capacity);

private:
    RetryBudget &find(const std::string &name);

    std::mutex mutex_;
    double capacity_;
    std::map<std::string, RetryBudget> budgets_;
};

} // namespace mulberrywall::router
