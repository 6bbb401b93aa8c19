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
    std::vector<std::string> models {"m"};
    std::size_t batchLimit = 8;
    /// Interval between tokens of a batch of one.
    std::chrono::microseconds baseTokenTime {2'000};
    /// Relative growth of the interval for each further request in the batch.
    double batchSlope = 0.05;
    /// Time per prompt token that is not in the prefix cache.
    std::chrono::microseconds prefillTokenTime {20};
    std::size_t cacheBlocks = 1024;
    std::chrono::milliseconds loadReportLag {500};
    std::chrono::milliseconds cacheEventLag {300};
    /// Every n-th cache event is lost; 0 loses none.
    std::uint64_t cacheEventGap = 7;
    /// Time that a model named by an order takes to become ready.
    std::chrono::milliseconds modelLoadTime {200};
    bool checksFencing = true;
    /// When set, orders need it as their bearer key.
    std::string orderKey;
};

/// A model engine with continuous batching for tests. All calls run on one thread.
class Engine
{
public:
    Engine(boost::asio::io_context &context, EngineOptions options);

    void handle(const http::ServerExchangePtr &exchange);
    /// Refuses new requests and calls the handler when the last active one has ended.
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

    struct Count
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
    void order(const http::ServerExchangePtr &exchange);
    void control(const http::ServerExchangePtr &exchange);
    void checkIdle();
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
    std::map<std::string, Count> counts_;
    Count total_;
    std::uint64_t refused_ = 0;
    std::uint64_t staleOrders_ = 0;
    std::deque<LoadSample> samples_;
    std::deque<CacheEvent> cacheEvents_;
    std::uint64_t cacheSequence_ = 0;
    /// Models with the time from which each is ready.
    std::map<std::string, Clock::time_point> models_;
    std::string role_ = "mixed";
    std::uint64_t fencing_ = 0;
    /// Number of the order that was carried out last; lower than fencing_ only when old numbers are accepted.
    std::uint64_t lastOrderFencing_ = 0;
    std::string incarnation_;
    double slowFactor_ = 1.0;
    bool frozen_ = false;
    bool leaving_ = false;
    bool refusing_ = false;
    std::string crashMarker_;
    std::function<void()> onIdle_;
    std::vector<http::ServerExchangePtr> heldWhileFrozen_;
};

} // namespace mulberrywall::standin
