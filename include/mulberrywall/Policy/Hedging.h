#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Adds to the class's hedging budget for a request that is no hedged attempt itself.
void earnHedgeCredit(ClassState &requestClass, const HedgingTuning &tuning);

/// Returns whether a hedged attempt may start: short, within its class's budget, and from capacity that nobody needs.
bool mayHedge(const Pool &pool, const ClassState &requestClass, const WaitingRequest &attempt, TimePoint now);

/// Takes a hedged attempt from the budget.
void spendHedgeCredit(ClassState &requestClass);

/// Returns the time after dispatch from which a request is late by its class's standards, if hedging is on.
std::optional<std::chrono::milliseconds> recommendedHedgeDelay(const Pool &pool, const ClassState &requestClass);

} // namespace mulberrywall::policy
