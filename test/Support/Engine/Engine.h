#pragma once

#include "Engine/PrefixCache.h"

#include "mulberrywall/Http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberrywall::standin
{

using Clock = std::chrono::steady_clock;

struct EngineOptions
{
    /// Names of the models that are loaded at the start.
    std::vector<std::string> models {"m"};
    /// Maximum number of requests that run in one batch.
    std::size_t batchLimit = 8;
    /// Base of the inter-token latency, before the increase by batchSlope.
    std::chrono::microseconds baseTokenTime {2'000};
    /// Relative increase of the inter-token latency per request in the batch.
    double batchSlope = 0.05;
    /// Prefill time per prompt token that is not in the prefix cache.
    std::chrono::microseconds prefillTokenTime {20};
    /// Capacity of the prefix cache in blocks.
    std::size_t cacheBlocks = 1024;
    /// Age that a load sample must reach before GET /v1/load returns it.
    std::chrono::milliseconds loadReportLag {500};
    /// Delay after which a cache event becomes visible.
    std::chrono::milliseconds cacheEventLag {300};
    /// Drops every n-th cache event; 0 drops none.
    std::uint64_t cacheEventGap = 7;
    /// Time to load a model that an order requests and that is not loaded yet.
    std::chrono::milliseconds modelLoadTime {200};
    /// If set, orders with a fencing number lower than the highest one received are rejected.
    bool checksFencing = true;
    /// Bearer key that orders must carry. If empty, the engine accepts orders from every sender.
    std::string orderKey;
};

/// Simulates a model engine with continuous batching for tests. Not thread-safe: all calls must
/// come from one thread.
class Engine
{
public:
    Engine(boost::asio::io_context &context, EngineOptions options);

    /// Serves one HTTP request. While the engine is frozen, only /control and /counts are answered;
    /// other requests are held.
    void handle(const http::ServerExchangePtr &exchange);
    /// Refuses new requests and calls the handler once all running and waiting requests have ended.
    void leave(std::function<void()> handler);

private:
    struct Generation
    {
        std::string id;
        std::string model;
        std::string prompt;
        std::vector<std::uint64_t> blocks;
        std::size_t nextToken = 0;
        std::size_t lastToken = 0;
        std::size_t firstToken = 0;
        unsigned priority = 0;
        Clock::time_point prefillEnd;
        http::ServerExchangePtr exchange;
        bool chat = false;
        bool stream = false;
        bool ended = false;
        bool headerSent = false;
        bool writing = false;
        std::string pending;
    };
    using GenerationPtr = std::shared_ptr<Generation>;

    struct RequestCounters
    {
        std::uint64_t received = 0;
        std::uint64_t runs = 0;
        std::uint64_t tokens = 0;
        std::uint64_t completed = 0;
        std::uint64_t cancelled = 0;
    };
    struct LoadSample
    {
        Clock::time_point time;
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::uint64_t tokens = 0;
    };
    struct CacheEvent
    {
        std::uint64_t sequence = 0;
        Clock::time_point time;
        CacheChange change;
    };

    void generate(const http::ServerExchangePtr &exchange, bool chat);
    void refuseGeneration(const http::ServerExchangePtr &exchange);
    /// Adds to a response for a generation that the engine is leaving, if it is to say so.
    void addStatement(http::ResponseHeader &header) const;
    void admit();
    void armStep();
    void step();
    void emitToken(const GenerationPtr &generation);
    void flush(const GenerationPtr &generation);
    void finish(const GenerationPtr &generation);
    void cancel(const GenerationPtr &generation);
    void cancelById(const http::ServerExchangePtr &exchange, std::string_view id);
    void storeBlocks(const std::vector<std::uint64_t> &blocks);
    void sampleLoad();
    void reportLoad(const http::ServerExchangePtr &exchange);
    void reportState(const http::ServerExchangePtr &exchange);
    void reportModels(const http::ServerExchangePtr &exchange);
    void reportCounts(const http::ServerExchangePtr &exchange);
    void reportCacheEvents(const http::ServerExchangePtr &exchange);
    void exportCache(const http::ServerExchangePtr &exchange);
    void importCache(const http::ServerExchangePtr &exchange);
    void applyOrder(const boost::json::object &desired);
    void handleOrder(const http::ServerExchangePtr &exchange);
    void handleControl(const http::ServerExchangePtr &exchange);
    void notifyIfIdle();
    [[nodiscard]] boost::json::object state() const;
    [[nodiscard]] bool hasModel(const std::string &model) const;

    boost::asio::io_context &context_;
    EngineOptions options_;
    boost::asio::steady_timer stepTimer_;
    boost::asio::steady_timer sampleTimer_;
    bool stepArmed_ = false;
    PrefixCache cache_;
    std::vector<GenerationPtr> running_;
    std::multimap<unsigned, GenerationPtr> waiting_;
    std::map<std::string, RequestCounters> counts_;
    RequestCounters total_;
    std::uint64_t refused_ = 0;
    std::uint64_t staleOrders_ = 0;
    std::deque<LoadSample> samples_;
    std::deque<CacheEvent> cacheEvents_;
    std::uint64_t cacheSequence_ = 0;
    /// Maps the name of each model to the time at which its loading is complete.
    std::map<std::string, Clock::time_point> models_;
    std::string role_ = "mixed";
    /// Highest fencing number of any accepted order.
    std::uint64_t fencing_ = 0;
    /// Fencing number of the order that was applied last. Lower than fencing_ only if the check of
    /// fencing numbers is off.
    std::uint64_t lastOrderFencing_ = 0;
    std::string incarnation_;
    double slowFactor_ = 1.0;
    bool frozen_ = false;
    bool leaving_ = false;
    bool refusing_ = false;
    /// Requests are refused until then, with the time that is left.
    Clock::time_point refusesUntil_;
    /// The engine goes on serving and says in its responses, and nowhere else, that it is leaving.
    bool statesLeaving_ = false;
    /// The process exits when it generates a token for a prompt that contains this text; empty
    /// disables the fault.
    std::string crashMarker_;
    std::function<void()> onIdle_;
    std::vector<http::ServerExchangePtr> heldWhileFrozen_;
};

} // namespace mulberrywall::standin
