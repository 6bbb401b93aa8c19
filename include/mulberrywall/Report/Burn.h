#pragma once

#include "mulberrywall/Support/Error.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Error budget burn rate: how fast each class consumes its allowed share of requests that miss their targets.
namespace mulberrywall::report
{

/// Counts of one class in one time window, summed over all routers.
struct BurnCounts
{
    std::uint64_t requests = 0;
    std::uint64_t withinTargets = 0;
    std::uint64_t goodputTokens = 0;
    std::uint64_t wastedTokens = 0;
};

/// Counts by class and by window length in seconds.
using BurnTable = std::map<std::string, std::map<std::uint64_t, BurnCounts>>;

struct BurnRow
{
    std::string requestClass;
    std::uint64_t windowSeconds = 0;
    BurnCounts counts;
    /// Share of requests within their targets; 1 if there were no requests.
    double attainment = 1.0;
    /// Share of requests that missed their targets, divided by the allowed share. Above 1, the error budget is used up too early.
    double burnRate = 0.0;
};

/// Adds the service levels in the status document of one router. Returns an error if the document is not a status.
support::Result<void> addStatus(BurnTable &table, std::string_view statusJson);

/// Computes the rows, ordered by class and window. The objective is the required share of requests within their targets;
/// it must be above 0 and below 1.
std::vector<BurnRow> computeBurn(const BurnTable &table, double objective);

std::string renderText(std::span<const BurnRow> rows, double objective);
std::string renderJson(std::span<const BurnRow> rows, double objective);
/// Renders a bar chart with one bar per class and window, and a line at burn rate 1.
std::string renderSvg(std::span<const BurnRow> rows, double objective);

} // namespace mulberrywall::report
