#pragma once

#include "Driver.h"

#include <boost/json/object.hpp>

namespace mulberrywall::load
{

/// Returns the figures per class and in total; engineTokens is what the engines produced for these requests,
/// repeatedRuns how often a plain service ran a call of a non-idempotent class again.
///
/// A request attains its target when it completes, its first token is in time and so is the mean of its gaps between tokens.
/// A call of a plain service does when it completes in time.
/// Goodput tokens are those of such requests; wasted tokens are those that no completed response holds.
boost::json::object makeReport(const Scenario &scenario,
    const std::vector<Arrival> &arrivals,
    const std::vector<Outcome> &outcomes,
    std::uint64_t engineTokens,
    std::uint64_t repeatedRuns);

} // namespace mulberrywall::load
