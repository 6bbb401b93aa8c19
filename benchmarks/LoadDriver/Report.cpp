#include "Report.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace mulberrywall::load
{

namespace json = boost::json;

namespace
{

/// Counts and samples of a group of requests.
struct RequestSummary
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t attained = 0;
    std::uint64_t completedTokens = 0;
    std::uint64_t goodputTokens = 0;
    std::map<std::string, std::uint64_t> rejections;
    std::map<std::string, std::uint64_t> failures;
    std::vector<double> durationMs;
    std::vector<double> firstTokenMs;
    std::vector<double> gapMs;
    std::vector<double> sendDelayMs;
};

/// Returns whether the request met its targets; see makeReport.
bool attains(const Traffic &traffic, const Outcome &outcome)
{
    if (!traffic.service.empty()) {
        return outcome.kind == OutcomeKind::Completed && outcome.duration <= traffic.completionTarget;
    }
    if (outcome.kind != OutcomeKind::Completed || outcome.firstToken > traffic.firstTokenTarget) {
        return false;
    }
    const Milliseconds sum = std::accumulate(outcome.tokenGaps.begin(), outcome.tokenGaps.end(), Milliseconds(0));
    return outcome.tokenGaps.empty() || sum / static_cast<double>(outcome.tokenGaps.size()) <= traffic.betweenTokensTarget;
}

void add(RequestSummary &summary, const Traffic &traffic, const Outcome &outcome)
{
    ++summary.requests;
    summary.sendDelayMs.push_back(outcome.sendDelay.count());
    switch (outcome.kind) {
    case OutcomeKind::Completed:
        ++summary.completed;
        summary.durationMs.push_back(outcome.duration.count());
        summary.completedTokens += outcome.tokens;
        break;
    case OutcomeKind::Rejected:
        ++summary.rejections[outcome.reason];
        break;
    case OutcomeKind::Failed:
        ++summary.failures[outcome.reason];
        break;
    }
    if (attains(traffic, outcome)) {
        ++summary.attained;
        summary.goodputTokens += outcome.tokens;
    }
    if (outcome.tokens > 0) {
        summary.firstTokenMs.push_back(outcome.firstToken.count());
    }
    for (const Milliseconds gap : outcome.tokenGaps) {
        summary.gapMs.push_back(gap.count());
    }
}

json::object quantiles(std::vector<double> samples)
{
    if (samples.empty()) {
        return {};
    }
    std::sort(samples.begin(), samples.end());
    const auto at = [&samples](double fraction) {
        return samples[static_cast<std::size_t>(fraction * static_cast<double>(samples.size() - 1))];
    };
    return {{"min", samples.front()}, {"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}, {"max", samples.back()}};
}

json::object render(const RequestSummary &summary)
{
    return {{"requests", summary.requests},
        {"completed", summary.completed},
        {"attained", summary.attained},
        {"attainment", summary.requests == 0 ? 0.0 : static_cast<double>(summary.attained) / static_cast<double>(summary.requests)},
        {"completedTokens", summary.completedTokens},
        {"goodputTokens", summary.goodputTokens},
        {"refusals", json::object(summary.rejections.begin(), summary.rejections.end())},
        {"failures", json::object(summary.failures.begin(), summary.failures.end())},
        {"firstTokenMs", quantiles(summary.firstTokenMs)},
        {"durationMs", quantiles(summary.durationMs)},
        {"betweenTokensMs", quantiles(summary.gapMs)},
        {"sendDelayMs", quantiles(summary.sendDelayMs)}};
}

} // namespace

json::object makeReport(const Scenario &scenario,
    const std::vector<Arrival> &arrivals,
    const std::vector<Outcome> &outcomes,
    std::uint64_t engineTokens,
    std::uint64_t repeatedRuns)
{
    std::map<std::string, RequestSummary> classes;
    std::map<unsigned, RequestSummary> modelTiers;
    RequestSummary shortWork;
    RequestSummary models;
    RequestSummary total;
    std::uint64_t offeredTokens = 0;
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        const Traffic &traffic = scenario.traffic[arrivals[index].traffic];
        add(classes[traffic.requestClass], traffic, outcomes[index]);
        add(total, traffic, outcomes[index]);
        offeredTokens += arrivals[index].outputTokens;
        if (traffic.service.empty()) {
            add(models, traffic, outcomes[index]);
            add(modelTiers[traffic.tier], traffic, outcomes[index]);
        }
        if (traffic.shortWork) {
            add(shortWork, traffic, outcomes[index]);
        }
    }
    json::object rendered;
    for (const auto &[name, summary] : classes) {
        rendered[name] = render(summary);
    }
    json::object tiers;
    for (const auto &[tier, summary] : modelTiers) {
        tiers[std::to_string(tier)] = render(summary);
    }
    const std::uint64_t wasted = engineTokens > total.completedTokens ? engineTokens - total.completedTokens : 0;
    return {{"seed", scenario.seed},
        {"durationSeconds", scenario.duration.count()},
        {"engineTokens", engineTokens},
        {"wastedTokens", wasted},
        {"offeredTokens", offeredTokens},
        {"repeatedRuns", repeatedRuns},
        {"total", render(total)},
        {"models", render(models)},
        {"modelTiers", tiers},
        {"shortWork", render(shortWork)},
        {"classes", rendered}};
}

} // namespace mulberrywall::load
