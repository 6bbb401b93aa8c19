#include "EngineFleet.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::policy
{

using std::chrono::milliseconds;

static constexpr milliseconds reportInterval {200};
static constexpr milliseconds step {10};

std::vector<PromptClass> promptsOfCustomerF()
{
    const auto spec = [](const std::string &name, support::Tier tier, int firstTokenMs, int interTokenMs) {
        return ClassSpec {
            .id = support::ClassId(name), .tier = tier, .firstTokenTarget = milliseconds(firstTokenMs), .interTokenTarget = milliseconds(interTokenMs)};
    };
    return {{.spec = spec("long", 2, 2'000, 800), .sharedTokens = 13'300, .ownTokens = 3'720, .outputTokens = 30, .requestsPerSecond = 147, .subjects = 700},
        {.spec = spec("medium", 1, 800, 300), .sharedTokens = 6'300, .ownTokens = 2'890, .outputTokens = 13, .requestsPerSecond = 92, .subjects = 400},
        {.spec = spec("short", 0, 500, 200), .sharedTokens = 350, .ownTokens = 1'110, .outputTokens = 43, .requestsPerSecond = 77, .subjects = 40}};
}

static std::uint64_t nextRandom(std::uint64_t &state)
{
    state ^= state << 13U;
    state ^= state >> 7U;
    state ^= state << 17U;
    return state;
}

EngineFleet::EngineFleet(PoolOptions options, std::vector<PromptClass> classes, std::span<const double> tokensPerMs, unsigned routers, unsigned slots)
    : classes_(std::move(classes)),
      pending_(routers),
      due_(classes_.size())
{
    std::vector<EndpointSpec> specs;
    for (const double speed : tokensPerMs) {
        const std::string name = "engine-" + std::to_string(engines_.size());
        engineByName_[name] = engines_.size();
        engines_.push_back({.tokensPerMs = speed});
        specs.push_back(endpointSpec(name, slots));
    }
    for (const PromptClass &requestClass : classes_) {
        options.classes.push_back(requestClass.spec);
        counts_[requestClass.spec.id.value()] = {};
    }
    for (unsigned index = 0; index < routers; ++index) {
        routers_.push_back(functions_.create(options));
        functions_.setEndpoints(routers_.back().get(), specs, startTime);
    }
}

void EngineFleet::at(milliseconds time, std::function<void()> action)
{
    actions_.emplace(std::max(time, now_), std::move(action));
}

void EngineFleet::ask(milliseconds now)
{
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        const PromptClass &requestClass = classes_[index];
        for (; due_[index] >= 1.0; due_[index] -= 1.0) {
            const auto router = static_cast<unsigned>(nextRandom(random_) % routers_.size());
            Prompt prompt {
                .router = router, .requestClass = &requestClass, .submission = submissionOf(nextPermit_++, requestClass.spec.id.value()), .askedAt = now};
            prompt.submission.prefixHash = 1 + nextRandom(random_) % requestClass.subjects + 100'000 * (index + 1);
            prompt.submission.prefixTokens = requestClass.sharedTokens;
            prompt.submission.promptTokens = requestClass.sharedTokens + requestClass.ownTokens;
            prompt.submission.spreadSeed = nextRandom(random_);
            ++counts_[requestClass.spec.id.value()].asked;
            pending_[router].emplace(prompt.submission.permit, prompt);
            handle(router, functions_.submit(routers_[router].get(), prompt.submission, policy::at(now)), now);
        }
    }
}

void EngineFleet::handle(unsigned router, const Decisions &decisions, milliseconds now)
{
    for (const Rejection &rejection : decisions.rejections) {
        ++counts_[pending_[router].at(rejection.permit).requestClass->spec.id.value()].rejected;
        pending_[router].erase(rejection.permit);
    }
    for (const Grant &grant : decisions.grants) {
        const auto entry = pending_[router].extract(grant.permit);
        const std::size_t engine = engineByName_.at(grant.endpoint.value());
        engines_[engine].waiting.emplace(entry.mapped().requestClass->spec.tier, entry.mapped());
        startNext(engine, now);
    }
}

/// Removes the streams whose targets the prefill has made them miss, each of which counts once.
void EngineFleet::countInterrupted(Engine &engine, milliseconds now)
{
    std::erase_if(engine.streams, [&](const auto &entry) {
        const ClassSpec &spec = entry.second.requestClass->spec;
        const bool isInterrupted = now - std::max(engine.busySince, entry.second.firstTokenAt) > spec.interTokenTarget;
        counts_[spec.id.value()].interrupted += isInterrupted ? 1 : 0;
        return isInterrupted;
    });
}

void EngineFleet::startNext(std::size_t number, milliseconds now)
{
    Engine &engine = engines_[number];
    if (engine.isBusy || engine.waiting.empty()) {
        return;
    }
    engine.busySince = now > engine.idleSince ? now : engine.busySince;
    const Prompt prompt = engine.waiting.begin()->second;
    engine.waiting.erase(engine.waiting.begin());
    const bool isCached = !engine.cached.insert(prompt.submission.prefixHash).second;
    const double tokens = prompt.submission.promptTokens - (isCached ? prompt.requestClass->sharedTokens : 0);
    const milliseconds firstTokenAt = now + milliseconds(1 + static_cast<std::int64_t>(tokens / engine.tokensPerMs));
    engine.prefilled += tokens;
    engine.isBusy = true;
    at(firstTokenAt, [this, number, prompt, firstTokenAt] {
        engines_[number].isBusy = false;
        engines_[number].idleSince = firstTokenAt;
        countInterrupted(engines_[number], firstTokenAt);
        engines_[number].streams[prompt.submission.permit] = {.firstTokenAt = firstTokenAt, .requestClass = prompt.requestClass};
        PromptCounts &counts = counts_[prompt.requestClass->spec.id.value()];
        ++counts.started;
        counts.late += firstTokenAt - prompt.askedAt > prompt.requestClass->spec.firstTokenTarget ? 1 : 0;
        handle(prompt.router,
            functions_.recordProgress(routers_[prompt.router].get(), prompt.submission.permit, {.outputTokens = 1}, policy::at(firstTokenAt)),
            firstTokenAt);
        const milliseconds endAt = firstTokenAt + step * prompt.requestClass->outputTokens;
        at(endAt, [this, number, prompt, endAt] {
            engines_[number].streams.erase(prompt.submission.permit);
            const Completion completion {.outputTokens = prompt.requestClass->outputTokens};
            handle(prompt.router, functions_.complete(routers_[prompt.router].get(), prompt.submission.permit, completion, policy::at(endAt)), endAt);
        });
        startNext(number, firstTokenAt);
    });
}

/// The first router sums up the reports of all others and sends them the sum, which arrives an interval after the reports.
void EngineFleet::exchangeReports(milliseconds now)
{
    PoolHandle &aggregator = routers_.front();
    std::vector<std::vector<PeerRequest>> reported;
    for (std::size_t router = 1; router < routers_.size(); ++router) {
        reported.push_back(functions_.runningRequests(routers_[router].get()));
        functions_.recordPeerRequests(
            aggregator.get(), {.router = support::InstanceId("router-" + std::to_string(router)), .requests = reported.back()}, policy::at(now));
    }
    const PeerSummary summary = functions_.summarizeLoad(aggregator.get(), SummaryScope::AllRouters, policy::at(now));
    at(now + reportInterval, [this, summary, reported = std::move(reported), now] {
        for (std::size_t router = 1; router < routers_.size(); ++router) {
            functions_.recordPeerSummary(routers_[router].get(), {.summary = summary, .ownRequests = reported[router - 1]}, policy::at(now + reportInterval));
        }
    });
}

void EngineFleet::run(milliseconds duration, double rateFactor)
{
    const milliseconds end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(1)) {
        while (!actions_.empty() && actions_.begin()->first <= now_) {
            const std::function<void()> action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            action();
        }
        for (std::size_t index = 0; index < classes_.size(); ++index) {
            due_[index] += rateFactor * classes_[index].requestsPerSecond / 1'000.0;
        }
        ask(now_);
        if (now_ % reportInterval == milliseconds(0)) {
            exchangeReports(now_);
        }
    }
}

} // namespace mulberrywall::policy
