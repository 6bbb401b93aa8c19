#include "Store.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>

namespace review
{

namespace json = boost::json;

namespace
{

constexpr std::string_view base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::array<unsigned, 3> group {};
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t offset = 0; offset < count; ++offset) {
            group.at(offset) = static_cast<unsigned char>(bytes[index + offset]);
        }
        const unsigned bits = (group[0] << 16U) | (group[1] << 8U) | group[2];
        text += base64Digits[(bits >> 18U) & 63U];
        text += base64Digits[(bits >> 12U) & 63U];
        text += count > 1 ? base64Digits[(bits >> 6U) & 63U] : '=';
        text += count > 2 ? base64Digits[bits & 63U] : '=';
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char digit : text) {
        const std::size_t value = base64Digits.find(digit);
        if (value == std::string_view::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>((bits >> count) & 255U);
        }
    }
    return bytes;
}

/// Returns the value of the parameter in the query, or an empty string. Names of tables and parts need no decoding here.
std::string parameterOf(std::string_view target, std::string_view name)
{
    const std::size_t queryStart = target.find('?');
    std::string_view query = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view entry = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (entry.starts_with(name) && entry.substr(name.size()).starts_with('=')) {
            return std::string(entry.substr(name.size() + 1));
        }
    }
    return {};
}

std::string renderResponse(std::string_view status, std::string_view body)
{
    return "HTTP/1.1 " + std::string(status) + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + std::string(body);
}

} // namespace

Store::Store(const std::string &host)
    : listener_(host, [this](Connection &connection) { serve(connection); })
{
}

const Address &Store::address() const
{
    return listener_.address();
}

void Store::write(const std::string &table, const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(mutex_);
    tables_[table][key] = {.value = value, .version = ++version_};
    changed_.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::scoped_lock lock(mutex_);
    tables_[table][key] = {.version = ++version_, .deleted = true};
    changed_.notify_all();
}

void Store::serve(Connection &connection)
{
    Request request;
    while (connection.readRequest(request)) {
        if (!connection.send(respond(request))) {
            return;
        }
        request = {};
    }
}

std::string Store::respond(const Request &request)
{
    if (request.target.starts_with("/mulberrywall/rows-get")) {
        return getRows(request.target);
    }
    if (request.target.starts_with("/mulberrywall/rows-feed")) {
        return feedRows(request.target);
    }
    if (request.target == "/mulberrywall/rows-tx") {
        return transact(request.body);
    }
    return renderResponse("404 Not Found", "{}");
}

std::string Store::renderRows(const std::string &table, std::uint64_t afterVersion, bool includesDeleted) const
{
    json::array rows;
    if (const auto found = tables_.find(table); found != tables_.end()) {
        for (const auto &[key, row] : found->second) {
            if (row.version <= afterVersion || (row.deleted && !includesDeleted)) {
                continue;
            }
            json::object rendered {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
            if (row.deleted) {
                rendered["deleted"] = true;
            } else {
                rendered["value"] = encodeBase64(row.value);
            }
            rows.push_back(std::move(rendered));
        }
    }
    const auto now = std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt_).count();
    return renderResponse("200 OK", json::serialize(json::object {{"rows", std::move(rows)}, {"truncated", false}, {"ver", version_}, {"nowMs", now}}));
}

bool Store::hasChanges(const std::string &table, std::uint64_t afterVersion) const
{
    const auto found = tables_.find(table);
    return found != tables_.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const auto &entry) { return entry.second.version > afterVersion; });
}

std::string Store::getRows(const std::string &target)
{
    const std::scoped_lock lock(mutex_);
    return renderRows(parameterOf(target, "table"), 0, false);
}

std::string Store::feedRows(const std::string &target)
{
    const std::string table = parameterOf(target, "table");
    const std::uint64_t sinceVersion = std::stoull(parameterOf(target, "sinceRev"));
    const milliseconds wait(std::stoll(parameterOf(target, "waitMs")));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return hasChanges(table, sinceVersion); });
    return renderRows(table, sinceVersion, true);
}

std::string Store::transact(const std::string &body)
{
    const json::object call = json::parse(body).as_object();
    const auto textOf = [](const json::value &entry, std::string_view name) {
        return std::string(entry.as_object().at(name).as_string());
    };
    const std::scoped_lock lock(mutex_);
    json::array current;
    bool holds = true;
    for (const json::value &condition : call.at("expectRev").as_array()) {
        const auto &rows = tables_[textOf(condition, "table")];
        const auto found = rows.find(textOf(condition, "key"));
        const bool exists = found != rows.end() && !found->second.deleted;
        holds = holds && condition.at("ver").to_number<std::uint64_t>() == (exists ? found->second.version : 0);
        if (exists) {
            current.push_back({{"table", textOf(condition, "table")},
                {"part", ""},
                {"key", found->first},
                {"value", encodeBase64(found->second.value)},
                {"ver", found->second.version}});
        }
    }
    if (!holds) {
        return renderResponse("412 Precondition Failed", json::serialize(json::object {{"rows", std::move(current)}, {"ver", version_}}));
    }
    ++version_;
    for (const json::value &write : call.at("writes").as_array()) {
        tables_[textOf(write, "table")][textOf(write, "key")] = {.value = decodeBase64(textOf(write, "value")), .version = version_};
    }
    for (const json::value &entry : call.at("deletes").as_array()) {
        tables_[textOf(entry, "table")][textOf(entry, "key")] = {.version = version_, .deleted = true};
    }
    changed_.notify_all();
    return renderResponse("200 OK", json::serialize(json::object {{"ver", version_}}));
}

} // namespace review
