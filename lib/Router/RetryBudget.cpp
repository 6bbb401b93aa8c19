#include "mulberrywall/Router/RetryBudget.h"

#include <algorithm>

namespace mulberrywall::router
{

void recordRequest(RetryBudget &budget, unsigned percent)
{
    budget.tokens = std::min(RetryBudget::capacity, budget.tokens + percent / 100.0);
}

bool takeRetry(RetryBudget &budget, unsigned percent)
{
    if (percent == 0 || budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

void RetryBudgets::recordRequest(const configuration::RequestClass &requestClass)
{
    const std::scoped_lock lock(mutex_);
    router::recordRequest(budgets_[requestClass.id], requestClass.retryBudgetPercent);
}

bool RetryBudgets::takeRetry(const configuration::RequestClass &requestClass)
{
    const std::scoped_lock lock(mutex_);
    return router::takeRetry(budgets_[requestClass.id], requestClass.retryBudgetPercent);
}

} // namespace mulberrywall::router
