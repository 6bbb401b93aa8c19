#pragma once

#include "Driver.h"

#include <boost/json/object.hpp>

namespace mulberrywall::load
{

/// Returns the results per class and in total. engineTokens is the number of tokens that the engines produced for these
/// requests, repeatedRuns the number of times that a plain service ran a call of a non-idempotent class again.
///
/// A model request attains its target if it completes and both its time to first token and its mean inter-token latency are
/// within their targets. A call of a plain service attains its target if it completes within its completion target.
/// Goodput tokens are the tokens of requests that attain their targets. Wasted tokens are the tokens that engines produced
/// and that no completed response contains.
boost::json::object makeReport(const Scenario &scenario,
    const std::vector<Arrival> &arrivals,
    const std::vector<Outcome> &outcomes,
    std::uint64_t engineTokens,
    std::uint64_t repeatedRuns);

} // namespace mulberrywall::load
