#pragma once

#include "PolicyFixture.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace mulberrywall::policy
{

/// A class of prompts, with its arrival rate over all routers.
struct PromptClass
{
    ClassSpec spec;
    std::uint32_t sharedTokens = 0;
    std::uint32_t ownTokens = 0;
    unsigned outputTokens = 1;
    double requestsPerSecond = 0.0;
    unsigned subjects = 1;
};

/// Returns the classes of prompts of customer F in the work plan.
std::vector<PromptClass> promptsOfCustomerF();

/// What became of the requests of one class.
struct PromptCounts
{
    unsigned asked = 0;
    unsigned rejected = 0;
    unsigned started = 0;
    unsigned late = 0;
    /// Streams that an engine's prefill interrupted for longer than the inter-token target.
    unsigned interrupted = 0;
};

/// Engines that prefill one prompt after another, by urgency, at speeds of their own, and routers that place prompts on them by
/// loads that they report to each other at an interval.
class EngineFleet
{
public:
    EngineFleet(PoolOptions options, std::vector<PromptClass> classes, std::span<const double> tokensPerMs, unsigned routers, unsigned slots);

    /// Runs for the duration, with the arrival rates times the factor. Later calls continue with caches as they are.
    void run(std::chrono::milliseconds duration, double rateFactor);

    [[nodiscard]] const PromptCounts &counts(const std::string &requestClass) const
    {
        return counts_.at(requestClass);
    }
    /// Prompt tokens that an engine has prefilled.
    [[nodiscard]] double prefilledTokens(std::size_t engine) const
    {
        return engines_[engine].prefilled;
    }

private:
    struct Prompt
    {
        unsigned router = 0;
        const PromptClass *requestClass = nullptr;
        Submission submission;
        std::chrono::milliseconds askedAt {0};
    };
    struct Stream
    {
        std::chrono::milliseconds firstTokenAt {0};
        const PromptClass *requestClass = nullptr;
    };
    struct Engine
    {
        double tokensPerMs = 0.0;
        double prefilled = 0.0;
        std::set<std::uint64_t> cached;
        std::multimap<support::Tier, Prompt> waiting;
        bool isBusy = false;
        /// Start of the prefill that the engine does without a pause.
        std::chrono::milliseconds busySince {0};
        std::chrono::milliseconds idleSince {-1};
        std::map<PermitId, Stream> streams;
    };

    void ask(std::chrono::milliseconds now);
    void handle(unsigned router, const Decisions &decisions, std::chrono::milliseconds now);
    void countInterrupted(Engine &engine, std::chrono::milliseconds now);
    void startNext(std::size_t engine, std::chrono::milliseconds now);
    void exchangeReports(std::chrono::milliseconds now);
    void at(std::chrono::milliseconds time, std::function<void()> action);

    const PolicyFunctions &functions_ = standardPolicy();
    std::vector<PromptClass> classes_;
    std::vector<PoolHandle> routers_;
    std::vector<Engine> engines_;
    std::vector<std::map<PermitId, Prompt>> pending_;
    std::map<std::string, std::size_t> engineByName_;
    std::map<std::string, PromptCounts> counts_;
    std::multimap<std::chrono::milliseconds, std::function<void()>> actions_;
    std::vector<double> due_;
    std::chrono::milliseconds now_ {0};
    std::uint64_t random_ = 0x9e3779b97f4a7c15ULL;
    PermitId nextPermit_ = 1;
};

} // namespace mulberrywall::policy
