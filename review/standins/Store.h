#pragma once

#include "Http.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace review
{

/// The platform's metadata store: rows with versions in tables with one part, conditional transactions and long polls.
class Store
{
public:
    explicit Store(const std::string &host);

    [[nodiscard]] const Address &address() const;
    /// Writes a row as the operator or an endpoint would. Returns when the row is acknowledged.
    void write(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    void serve(Connection &connection);
    std::string respond(const Request &request);
    std::string getRows(const std::string &target);
    std::string feedRows(const std::string &target);
    std::string transact(const std::string &body);
    [[nodiscard]] std::string renderRows(const std::string &table, std::uint64_t afterVersion, bool includesDeleted) const;
    [[nodiscard]] bool hasChanges(const std::string &table, std::uint64_t afterVersion) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    std::uint64_t version_ = 0;
    Clock::time_point startedAt_ = Clock::now();
    Listener listener_;
};

} // namespace review
