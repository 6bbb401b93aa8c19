#pragma once

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::platform
{

/// A row of a scripted store.
struct ScriptedRow
{
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

/// The tables of a scripted store, which several addresses may serve. The mutex guards all members.
struct ScriptedTables
{
    std::mutex mutex;
    std::map<std::string, std::map<std::string, ScriptedRow>> tables;
    std::uint64_t version = 0;
};

/// A store of the users' platform in this process: rows with versions, and long polls.
class ScriptedStore
{
public:
    /// Returns what this address serves in place of the value of a row.
    using RewriteValue = std::function<std::string(const std::string &key, const std::string &value)>;

    enum class Service : std::uint8_t {
        Normal,
        /// Calls are accepted and get no response.
        Silent,
    };

    explicit ScriptedStore(support::WorkerPool &workers);
    /// A further address of the store, with a service of its own. The function, which may be empty, must be thread-safe.
    ScriptedStore(support::WorkerPool &workers, const ScriptedStore &store, RewriteValue rewriteValue);

    /// Writes the row as the platform would; pending long polls of the table respond.
    void write(const std::string &table, const std::string &key, std::string value);
    void remove(const std::string &table, const std::string &key);
    void setService(Service service);

    [[nodiscard]] std::uint16_t port() const;

private:
    ScriptedStore(support::WorkerPool &workers, std::shared_ptr<ScriptedTables> tables, RewriteValue rewriteValue);

    using Clock = std::chrono::steady_clock;

    void handle(const http::ServerExchangePtr &exchange);
    void respondWithTable(const http::ServerExchangePtr &exchange, const std::string &table);
    /// Responds with the rows that have changed after the version, or without rows at the end of the wait.
    void respondWithChanges(const http::ServerExchangePtr &exchange, const std::string &table, std::uint64_t version, Clock::time_point end);
    /// Returns the body of a response with the table's rows of a later version.
    [[nodiscard]] std::string renderRows(const std::string &table, std::uint64_t afterVersion, bool includesDeleted) const;
    /// Returns whether the exchange is kept without a response.
    bool holdsWhileSilent(const http::ServerExchangePtr &exchange);
    void set(const std::string &table, const std::string &key, ScriptedRow row);

    std::shared_ptr<ScriptedTables> tables_;
    RewriteValue rewriteValue_;
    mutable std::mutex mutex_;
    Service service_ = Service::Normal;
    std::vector<http::ServerExchangePtr> held_;
    std::shared_ptr<http::Server> server_;
};

} // namespace mulberrywall::platform
