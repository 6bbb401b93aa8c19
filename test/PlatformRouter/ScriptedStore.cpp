#include "ScriptedStore.h"

#include "platform/Base64.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace mulberrywall::platform
{

namespace json = boost::json;

/// Interval at which a long poll looks for changes.
static constexpr std::chrono::milliseconds pollInterval {10};

/// Returns the value of the parameter in the query of the target, or an empty string.
static std::string parameterOf(std::string_view target, std::string_view name)
{
    const std::size_t start = target.find(std::string(name) + "=");
    if (start == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = target.substr(start + name.size() + 1);
    return std::string(rest.substr(0, rest.find('&')));
}

ScriptedStore::ScriptedStore(support::WorkerPool &workers, std::shared_ptr<ScriptedTables> tables, RewriteValue rewriteValue)
    : tables_(std::move(tables)),
      rewriteValue_(std::move(rewriteValue)),
      server_(http::Server::create(
          workers.context(), {.listen = {boost::asio::ip::address_v4::loopback(), 0}}, [this](const http::ServerExchangePtr &exchange) { handle(exchange); }))
{
    server_->start();
}

ScriptedStore::ScriptedStore(support::WorkerPool &workers)
    : ScriptedStore(workers, std::make_shared<ScriptedTables>(), nullptr)
{
}

ScriptedStore::ScriptedStore(support::WorkerPool &workers, const ScriptedStore &store, RewriteValue rewriteValue)
    : ScriptedStore(workers, store.tables_, std::move(rewriteValue))
{
}

std::uint16_t ScriptedStore::port() const
{
    return server_->localEndpoint().port();
}

void ScriptedStore::set(const std::string &table, const std::string &key, ScriptedRow row)
{
    const std::scoped_lock lock(tables_->mutex);
    row.version = ++tables_->version;
    tables_->tables[table][key] = std::move(row);
}

void ScriptedStore::write(const std::string &table, const std::string &key, std::string value)
{
    set(table, key, {.value = std::move(value)});
}

void ScriptedStore::remove(const std::string &table, const std::string &key)
{
    set(table, key, {.deleted = true});
}

void ScriptedStore::setService(Service service)
{
    const std::scoped_lock lock(mutex_);
    service_ = service;
}

bool ScriptedStore::holdsWhileSilent(const http::ServerExchangePtr &exchange)
{
    const std::scoped_lock lock(mutex_);
    if (service_ == Service::Normal) {
        return false;
    }
    held_.push_back(exchange);
    return true;
}

void ScriptedStore::handle(const http::ServerExchangePtr &exchange)
{
    if (holdsWhileSilent(exchange)) {
        return;
    }
    const std::string target(exchange->request().target());
    const std::string table = parameterOf(target, "table");
    if (target.starts_with("/mulberrywall/rows-get")) {
        respondWithTable(exchange, table);
    } else if (target.starts_with("/mulberrywall/rows-feed")) {
        const auto wait = std::chrono::milliseconds(std::stoul(parameterOf(target, "waitMs")));
        respondWithChanges(exchange, table, std::stoull(parameterOf(target, "sinceRev")), Clock::now() + wait);
    } else {
        exchange->respond(http::makeProblemResponse({.status = http::Status::not_found, .title = "unknown call", .detail = target}));
    }
}

std::string ScriptedStore::renderRows(const std::string &table, std::uint64_t afterVersion, bool includesDeleted) const
{
    json::array rows;
    if (const auto found = tables_->tables.find(table); found != tables_->tables.end()) {
        for (const auto &[key, row] : found->second) {
            if (row.version <= afterVersion || (row.deleted && !includesDeleted)) {
                continue;
            }
            json::object rendered {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
            if (row.deleted) {
                rendered["deleted"] = true;
            } else {
                rendered["value"] = encodeBase64(rewriteValue_ ? rewriteValue_(key, row.value) : row.value);
            }
            rows.push_back(std::move(rendered));
        }
    }
    return json::serialize(json::object {{"rows", std::move(rows)}, {"truncated", false}, {"ver", tables_->version}});
}

void ScriptedStore::respondWithTable(const http::ServerExchangePtr &exchange, const std::string &table)
{
    const std::scoped_lock lock(tables_->mutex);
    exchange->respond(http::makeJsonResponse(http::Status::ok, renderRows(table, 0, false)));
}

void ScriptedStore::respondWithChanges(const http::ServerExchangePtr &exchange, const std::string &table, std::uint64_t version, Clock::time_point end)
{
    if (holdsWhileSilent(exchange)) {
        return;
    }
    {
        const std::scoped_lock lock(tables_->mutex);
        if (tables_->version > version || Clock::now() >= end) {
            exchange->respond(http::makeJsonResponse(http::Status::ok, renderRows(table, version, true)));
            return;
        }
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(exchange->executor(), pollInterval);
    timer->async_wait([this, timer, exchange, table, version, end](const boost::system::error_code &error) {
        if (!error) {
            respondWithChanges(exchange, table, version, end);
        }
    });
}

} // namespace mulberrywall::platform
