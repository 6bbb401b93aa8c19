#pragma once

#include "mulberrywall/Support/Error.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Service-level burn: how fast the classes use up their allowance of missed targets.
namespace mulberrywall::report
{

/// Counts of one class in one window, added up over routers.
struct BurnCounts
{
    std::uint64_t requests = 0;
    std::uint64_t withinTargets = 0;
    std::uint64_t goodputTokens = 0;
    std::uint64_t wastedTokens = 0;
};

/// Counts by class and by length of the window in seconds.
using BurnTable = std::map<std::string, std::map<std::uint64_t, BurnCounts>>;

struct BurnRow
{
    std::string requestClass;
    std::uint64_t windowSeconds = 0;
    BurnCounts counts;
    /// Share of requests within their targets; 1 when there were none.
    double attainment = 1.0;
    /// Missed share over the allowed share; above 1 the allowance will not last.
    double burnRate = 0.0;
};

/// Adds the service levels of one router's status document. Fails on a document that is no status.
support::Result<void> addStatus(BurnTable &table, std::string_view statusJson);

/// Computes the rows, ordered by class and window. The objective is the share of requests to be within targets, below 1.
std::vector<BurnRow> computeBurn(const BurnTable &table, double objective);

std::string renderText(std::span<const BurnRow> rows, double objective);
std::string renderJson(std::span<const BurnRow> rows, double objective);
/// Renders one bar per class and window, with a line at burn rate 1.
std::string renderSvg(std::span<const BurnRow> rows, double objective);

} // namespace mulberrywall::report
