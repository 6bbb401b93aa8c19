#pragma once

#include "mulberrywall/Router/CallerRequest.h"

#include <map>
#include <mutex>
#include <string>

namespace mulberrywall::router
{

/// Token bucket for the retries of a class or pool. Each request adds a fraction of a token, and each
/// retry takes one.
///
/// The bucket is full at the start, so that retries are available if an endpoint fails before much
/// traffic has passed.
struct RetryBudget
{
    double capacity = 50.0;
    double tokens = capacity;
};

/// Adds `percent` hundredths of a token for a new request.
void recordRequest(RetryBudget &budget, unsigned percent);

/// Takes a token and returns true. Returns false if there is none or if `percent` is 0, which allows no
/// retries.
bool takeRetry(RetryBudget &budget, unsigned percent);

/// The retry budgets of a router by name. Thread-safe; takes no other lock while it holds its mutex.
class RetryBudgets
{
public:
    /// The capacity of each budget is the number of retries that it allows in a burst.
    explicit RetryBudgets(double capacity);

    void recordRequest(const RetryAllowance &allowance);
    [[nodiscard]] bool takeRetry(const RetryAllowance &allowance);
    /// Changes the capacity of all budgets and discards the tokens that exceed it.
    void setCapacity(double capacity);

private:
    RetryBudget &find(const std::string &name);

    std::mutex mutex_;
    double capacity_;
    std::map<std::string, RetryBudget> budgets_;
};

} // namespace mulberrywall::router
