#include "Engine/Engine.h"

#include "Engine/EngineAnswers.h"
#include "Engine/EngineMessages.h"

#include "mulberrywall/Support/Ids.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace mulberrywall::standin
{

using http::ServerExchangePtr;
using http::Status;
using http::Verb;

namespace
{

constexpr std::chrono::milliseconds sampleInterval {50};
constexpr std::size_t bytesPerPromptToken = 4;
constexpr std::size_t maxCacheEvents = 10'000;
constexpr int crashExitCode = 70;

/// Tests that compare runs with requests use prompts that differ in their first bytes.
constexpr std::size_t loggedPromptBytes = 64;

json::value makeChoices(bool chat, bool stream, std::string_view text, bool last)
{
    json::object choice {{"index", 0}, {"finish_reason", last ? json::value("stop") : json::value()}};
    if (chat) {
        choice[stream ? "delta" : "message"] = json::object {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    return json::array {choice};
}

} // namespace

Engine::Engine(boost::asio::io_context &context, EngineOptions options)
    : context_(context),
      options_(std::move(options)),
      stepTimer_(context),
      sampleTimer_(context),
      cache_(options_.cacheBlocks),
      incarnation_(support::makeRandomId())
{
    for (const std::string &model : options_.models) {
        models_[model] = Clock::now();
    }
    sampleLoad();
}

void Engine::handle(const ServerExchangePtr &exchange)
{
    const std::string target(exchange->request().target());
    const std::string_view path = http::pathOf(target);
    const Verb verb = exchange->request().method();
    if (path == "/control") {
        handleControl(exchange);
        return;
    }
    if (path == "/counts") {
        reportCounts(exchange);
        return;
    }
    if (frozen_) {
        heldWhileFrozen_.push_back(exchange);
        return;
    }
    constexpr std::string_view requests = "/v1/requests/";
    if (verb == Verb::delete_ && path.starts_with(requests)) {
        cancelById(exchange, path.substr(requests.size()));
        return;
    }
    struct Route
    {
        Verb verb;
        std::string_view path;
        void (Engine::*handler)(const ServerExchangePtr &);
    };
    static constexpr Route routes[] = {
        {Verb::get, "/v1/load", &Engine::reportLoad},
        {Verb::get, "/v1/state", &Engine::reportState},
        {Verb::get, "/v1/models", &Engine::reportModels},
        {Verb::get, "/v1/cache/events", &Engine::reportCacheEvents},
        {Verb::post, "/v1/kv/export", &Engine::exportCache},
        {Verb::post, "/v1/kv/import", &Engine::importCache},
        {Verb::post, "/v1/orders", &Engine::handleOrder},
    };
    for (const Route &route : routes) {
        if (route.verb == verb && route.path == path) {
            (this->*route.handler)(exchange);
            return;
        }
    }
    if (verb == Verb::post && (path == "/v1/chat/completions" || path == "/v1/completions")) {
        generate(exchange, path == "/v1/chat/completions");
        return;
    }
    refuse(exchange, Status::not_found, "the engine has no page of this name");
}

void Engine::generate(const ServerExchangePtr &exchange, bool chat)
{
    if (leaving_ || refusing_ || Clock::now() < refusesUntil_) {
        refuseGeneration(exchange);
        return;
    }
    const json::object body = parseJsonBody(exchange);
    if (!hasModel(stringMember(body, "model"))) {
        ++refused_;
        refuse(exchange, Status::not_found, "the engine has not loaded this model");
        return;
    }
    auto generation = std::make_shared<Generation>();
    generation->id = http::fieldValue(exchange->request(), http::header::requestId);
    generation->model = stringMember(body, "model");
    generation->prompt = promptOf(body);
    generation->blocks = PrefixCache::blockHashes(generation->prompt);
    generation->firstToken = parseNumber(http::fieldValue(exchange->request(), http::header::resumeFrom));
    generation->nextToken = generation->firstToken;
    generation->lastToken = outputTokensOf(body);
    generation->priority = static_cast<unsigned>(parseNumber(http::fieldValue(exchange->request(), http::header::priority)));
    generation->exchange = exchange;
    generation->chat = chat;
    readBoolMember(body, "stream", generation->stream);
    exchange->onCallerGone([this, weak = std::weak_ptr(generation)] {
        if (const GenerationPtr gone = weak.lock()) {
            cancel(gone);
        }
    });
    ++counts_[generation->id].received;
    ++total_.received;
    waiting_.emplace(generation->priority, generation);
    admit();
}

void Engine::refuseGeneration(const ServerExchangePtr &exchange)
{
    ++refused_;
    http::Response response = makeRefusal(Status::service_unavailable, leaving_ ? "the engine is leaving" : "the engine refuses requests");
    addStatement(response);
    const std::chrono::duration<double> timeLeft = refusesUntil_ - Clock::now();
    if (timeLeft.count() > 0) {
        response.set(http::Field::retry_after, std::to_string(timeLeft.count()));
    }
    exchange->respond(std::move(response));
}

void Engine::addStatement(http::ResponseHeader &header) const
{
    if (statesLeaving_) {
        header.set(http::header::leaving, "1");
    }
}

void Engine::admit()
{
    while (!waiting_.empty() && running_.size() < options_.batchLimit) {
        const GenerationPtr generation = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        const std::size_t cachedBytes = cache_.match(generation->blocks) * PrefixCache::blockBytes;
        const std::size_t prefillTokens = (generation->prompt.size() - cachedBytes) / bytesPerPromptToken;
        generation->prefillEnd
            = Clock::now() + std::chrono::duration_cast<Clock::duration>(options_.prefillTokenTime * static_cast<double>(prefillTokens) * slowFactor_);
        ++counts_[generation->id].runs;
        ++total_.runs;
        // The counters are lost when the process crashes, so the log also records each run.
        support::log(support::Severity::Info,
            "run started",
            {{"request", generation->id}, {"first", generation->firstToken}, {"prompt", std::string_view(generation->prompt).substr(0, loggedPromptBytes)}});
        running_.push_back(generation);
    }
    armStep();
}

void Engine::armStep()
{
    if (stepArmed_ || running_.empty()) {
        return;
    }
    stepArmed_ = true;
    const double factor = slowFactor_ * (1.0 + options_.batchSlope * static_cast<double>(running_.size()));
    stepTimer_.expires_after(std::chrono::duration_cast<Clock::duration>(options_.baseTokenTime * factor));
    stepTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            step();
        }
    });
}

/// Runs one decoding step: generates one token for every running request whose prefill is complete.
void Engine::step()
{
    stepArmed_ = false;
    const Clock::time_point now = Clock::now();
    const std::vector<GenerationPtr> batch = frozen_ ? std::vector<GenerationPtr>() : running_;
    for (const GenerationPtr &generation : batch) {
        if (!generation->ended && generation->prefillEnd <= now) {
            emitToken(generation);
        }
    }
    std::erase_if(running_, [](const GenerationPtr &generation) { return generation->ended; });
    admit();
    notifyIfIdle();
}

void Engine::emitToken(const GenerationPtr &generation)
{
    if (!crashMarker_.empty() && generation->prompt.find(crashMarker_) != std::string::npos) {
        support::log(support::Severity::Error, "simulating a crash because the prompt contains the crash marker", {{"request", generation->id}});
        std::_Exit(crashExitCode);
    }
    if (generation->nextToken == generation->firstToken) {
        storeBlocks(generation->blocks);
    }
    if (generation->nextToken < generation->lastToken) {
        const std::size_t index = generation->nextToken++;
        ++counts_[generation->id].tokens;
        ++total_.tokens;
        if (generation->stream) {
            const json::object event {{"id", generation->id},
                {"object", generation->chat ? "chat.completion.chunk" : "text_completion"},
                {"model", generation->model},
                {"choices", makeChoices(generation->chat, true, tokenAt(generation->prompt, index), generation->nextToken == generation->lastToken)}};
            generation->pending += "data: " + json::serialize(event) + "\n\n";
        }
    }
    if (generation->nextToken >= generation->lastToken) {
        finish(generation);
    }
    if (generation->stream) {
        flush(generation);
    }
}

void Engine::flush(const GenerationPtr &generation)
{
    if (generation->writing || !generation->exchange) {
        return;
    }
    const auto written = [this, generation](const boost::system::error_code &error) {
        generation->writing = false;
        if (error) {
            cancel(generation);
            return;
        }
        flush(generation);
    };
    if (!generation->headerSent) {
        generation->headerSent = true;
        generation->writing = true;
        http::ResponseHeader header;
        header.result(Status::ok);
        header.set(http::Field::content_type, "text/event-stream");
        addStatement(header);
        generation->exchange->startStream(std::move(header), written);
        return;
    }
    if (!generation->pending.empty()) {
        generation->writing = true;
        generation->exchange->writeChunk(std::exchange(generation->pending, {}), written);
        return;
    }
    if (generation->ended) {
        generation->exchange->finishStream();
        generation->exchange.reset();
    }
}

void Engine::finish(const GenerationPtr &generation)
{
    generation->ended = true;
    ++counts_[generation->id].completed;
    ++total_.completed;
    if (generation->stream) {
        generation->pending += "data: [DONE]\n\n";
        return;
    }
    const std::size_t produced = generation->lastToken - std::min(generation->firstToken, generation->lastToken);
    const json::object body {{"id", generation->id},
        {"object", generation->chat ? "chat.completion" : "text_completion"},
        {"model", generation->model},
        {"choices", makeChoices(generation->chat, false, answerFor(generation->prompt, generation->lastToken, generation->firstToken), true)},
        {"usage", {{"prompt_tokens", generation->prompt.size() / bytesPerPromptToken}, {"completion_tokens", produced}}}};
    http::Response response = http::makeJsonResponse(Status::ok, json::serialize(body));
    addStatement(response);
    generation->exchange->respond(std::move(response));
    generation->exchange.reset();
}

void Engine::cancel(const GenerationPtr &generation)
{
    if (generation->exchange) {
        generation->exchange->abortStream();
        generation->exchange.reset();
    }
    if (generation->ended) {
        return;
    }
    generation->ended = true;
    ++counts_[generation->id].cancelled;
    ++total_.cancelled;
    std::erase_if(waiting_, [](const auto &entry) { return entry.second->ended; });
    std::erase_if(running_, [](const GenerationPtr &other) { return other->ended; });
    admit();
    notifyIfIdle();
}

void Engine::cancelById(const ServerExchangePtr &exchange, std::string_view id)
{
    std::vector<GenerationPtr> found;
    for (const GenerationPtr &generation : running_) {
        if (generation->id == id) {
            found.push_back(generation);
        }
    }
    for (const auto &[priority, generation] : waiting_) {
        if (generation->id == id) {
            found.push_back(generation);
        }
    }
    for (const GenerationPtr &generation : found) {
        cancel(generation);
    }
    respondJson(exchange, json::object {{"cancelled", found.size()}}, found.empty() ? Status::not_found : Status::ok);
}

void Engine::storeBlocks(const std::vector<std::uint64_t> &blocks)
{
    for (const CacheChange &change : cache_.store(blocks)) {
        cacheEvents_.push_back({.sequence = ++cacheSequence_, .time = Clock::now(), .change = change});
    }
    while (cacheEvents_.size() > maxCacheEvents) {
        cacheEvents_.pop_front();
    }
}

void Engine::sampleLoad()
{
    const Clock::time_point now = Clock::now();
    samples_.push_back({.time = now, .running = running_.size(), .waiting = waiting_.size(), .tokens = total_.tokens});
    // Keeps two samples that are older than the lag: reportLoad() reports the second and computes
    // the token rate from both.
    while (samples_.size() > 2 && samples_[2].time + options_.loadReportLag <= now) {
        samples_.pop_front();
    }
    sampleTimer_.expires_after(sampleInterval);
    sampleTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sampleLoad();
        }
    });
}

bool Engine::hasModel(const std::string &model) const
{
    const auto found = models_.find(model);
    return found != models_.end() && found->second <= Clock::now();
}

void Engine::leave(std::function<void()> handler)
{
    leaving_ = true;
    onIdle_ = std::move(handler);
    notifyIfIdle();
}

void Engine::notifyIfIdle()
{
    if (onIdle_ && running_.empty() && waiting_.empty()) {
        // Delays the handler because the last responses are still being written.
        sampleTimer_.expires_after(sampleInterval);
        sampleTimer_.async_wait([handler = std::exchange(onIdle_, nullptr)](const boost::system::error_code &) { handler(); });
    }
}

} // namespace mulberrywall::standin
