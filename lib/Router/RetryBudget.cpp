#include "mulberrywall/Router/RetryBudget.h"

#include <algorithm>

namespace mulberrywall::router
{

void recordRequest(RetryBudget &budget, unsigned percent)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + percent / 100.0);
}

bool takeRetry(RetryBudget &budget, unsigned percent)
{
    if (percent == 0 || budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

RetryBudgets::RetryBudgets(double capacity)
    : capacity_(capacity)
{
}

RetryBudget &RetryBudgets::find(const std::string &name)
{
    return budgets_.try_emplace(name, RetryBudget {.capacity = capacity_, .tokens = capacity_}).first->second;
}

void RetryBudgets::recordRequest(const RetryAllowance &allowance)
{
    const std::scoped_lock lock(mutex_);
    router::recordRequest(find(allowance.budget), allowance.percent);
}

bool RetryBudgets::takeRetry(const RetryAllowance &allowance)
{
    const std::scoped_lock lock(mutex_);
    return router::takeRetry(find(allowance.budget), allowance.percent);
}

void RetryBudgets::setCapacity(double capacity)
{
    const std::scoped_lock lock(mutex_);
    capacity_ = capacity;
    for (auto &[name, budget] : budgets_) {
        budget.capacity = capacity;
        budget.tokens = std::min(budget.tokens, capacity);
    }
}

} // namespace mulberrywall::router
