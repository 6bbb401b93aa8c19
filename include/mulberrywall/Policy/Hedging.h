#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Adds to the class's hedging budget for a first attempt.
void earnHedgeCredit(ClassState &requestClass, const HedgingTuning &tuning);

/// Returns whether a hedged attempt may start: it must be short and within the budget of its class, no request may be
/// waiting, and enough slots must be free.
bool mayHedge(const Pool &pool, const ClassState &requestClass, const WaitingRequest &attempt, TimePoint now);

/// Subtracts one hedged attempt from the budget.
void spendHedgeCredit(ClassState &requestClass);

/// Returns the class's high quantile of the time to first token as the hedging delay; std::nullopt if the class has no
/// budget or too few samples.
std::optional<std::chrono::milliseconds> recommendedHedgeDelay(const Pool &pool, const ClassState &requestClass);

} // namespace mulberrywall::policy
