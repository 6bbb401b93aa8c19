#include "mulberrywall/BackingServices/TableClient.h"

#include "ServiceRequest.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mulberrywall::backingservices
{

namespace json = boost::json;
using http::Status;
using http::Verb;

namespace
{

std::string_view toString(WriteOperationKind kind)
{
    switch (kind) {
    case WriteOperationKind::InsertIfAbsent:
        return "insert-if-absent";
    case WriteOperationKind::Put:
        return "put";
    case WriteOperationKind::PutIfVersion:
        return "put-if-version";
    case WriteOperationKind::DeleteIfVersion:
        return "delete-if-version";
    }
    return "put";
}

std::string renderCommit(const std::vector<WriteOperation> &operations)
{
    json::array array;
    for (const WriteOperation &operation : operations) {
        json::object object;
        object["kind"] = toString(operation.kind);
        object["key"] = operation.key;
        if (operation.kind != WriteOperationKind::DeleteIfVersion) {
            object["value"] = operation.value;
        }
        if (operation.kind == WriteOperationKind::PutIfVersion || operation.kind == WriteOperationKind::DeleteIfVersion) {
            object["version"] = operation.version;
        }
        array.push_back(std::move(object));
    }
    return json::serialize(json::object {{"operations", std::move(array)}});
}

/// Parses a row. Throws if the document is not a row.
Row parseRow(const json::value &value)
{
    const json::object &object = value.as_object();
    return {
        .key = std::string(object.at("key").as_string()),
        .version = object.at("version").to_number<std::uint64_t>(),
        .value = std::string(object.at("value").as_string()),
    };
}

/// Parses the response to a commit that was applied or had conflicts. Throws if the body does not match the status.
CommitResult parseCommitResponse(const http::BufferedResponse &response)
{
    const json::value document = json::parse(response.body);
    CommitResult result;
    if (response.status == Status::ok) {
        result.version = document.as_object().at("version").to_number<std::uint64_t>();
        result.status = CommitStatus::Applied;
        return result;
    }
    for (const json::value &element : document.as_object().at("conflicts").as_array()) {
        const json::object &conflict = element.as_object();
        const json::value &row = conflict.at("row");
        result.conflicts.push_back({
            .operation = conflict.at("index").to_number<std::size_t>(),
            .current = row.is_null() ? std::nullopt : std::optional<Row>(parseRow(row)),
        });
    }
    result.status = CommitStatus::Conflict;
    return result;
}

CommitResult interpretCommit(const http::BufferedResponse &response)
{
    const bool isDecided = isComplete(response) && (response.status == Status::ok || response.status == Status::conflict);
    if (isDecided) {
        try {
            return parseCommitResponse(response);
        } catch (const std::exception &error) {
            return {.status = CommitStatus::Unknown, .detail = "the platform sent a commit response that cannot be read: " + std::string(error.what())};
        }
    }
    return {.status = isConfirmedNotApplied(response) ? CommitStatus::NotApplied : CommitStatus::Unknown, .detail = describeFailure(response)};
}

ReadResult interpretRead(const http::BufferedResponse &response)
{
    if (!isComplete(response) || (response.status != Status::ok && response.status != Status::not_found)) {
        return {.status = ReadStatus::Unavailable, .detail = describeFailure(response)};
    }
    if (response.status == Status::not_found) {
        return {.status = ReadStatus::Absent};
    }
    try {
        return {.status = ReadStatus::Found, .row = parseRow(json::parse(response.body))};
    } catch (const std::exception &error) {
        return {.status = ReadStatus::Unavailable, .detail = "the platform sent a row that cannot be read: " + std::string(error.what())};
    }
}

ScanResult interpretScan(const http::BufferedResponse &response)
{
    if (!isComplete(response) || response.status != Status::ok) {
        return {.status = ReadStatus::Unavailable, .detail = describeFailure(response)};
    }
    try {
        ScanResult result {.status = ReadStatus::Found};
        const json::value document = json::parse(response.body);
        for (const json::value &row : document.as_object().at("rows").as_array()) {
            result.rows.push_back(parseRow(row));
        }
        return result;
    } catch (const std::exception &error) {
        return {.status = ReadStatus::Unavailable, .detail = "the platform sent rows that cannot be read: " + std::string(error.what())};
    }
}

std::string tablePath(std::string_view table)
{
    return "/v1/tables/" + std::string(table);
}

} // namespace

TableClient::TableClient(boost::asio::any_io_executor executor, const BackingServiceOptions &options)
    : executor_(std::move(executor)),
      options_(options)
{
}

void TableClient::commit(std::string_view table, const std::vector<WriteOperation> &operations, std::function<void(CommitResult)> handler) const
{
    http::Request request(Verb::post, tablePath(table) + "/commit", 11);
    request.set(http::Field::content_type, "application/json");
    request.body() = renderCommit(operations);
    sendRequest(executor_, options_, std::move(request), [handler = std::move(handler)](const http::BufferedResponse &response) {
        handler(interpretCommit(response));
    });
}

void TableClient::read(std::string_view table, std::string_view key, std::function<void(ReadResult)> handler) const
{
    http::Request request(Verb::get, tablePath(table) + "/rows/" + std::string(key), 11);
    sendRequest(
        executor_, options_, std::move(request), [handler = std::move(handler)](const http::BufferedResponse &response) { handler(interpretRead(response)); });
}

void TableClient::scan(std::string_view table, std::string_view prefix, std::function<void(ScanResult)> handler) const
{
    http::Request request(Verb::get, tablePath(table) + "/rows?prefix=" + std::string(prefix), 11);
    sendRequest(
        executor_, options_, std::move(request), [handler = std::move(handler)](const http::BufferedResponse &response) { handler(interpretScan(response)); });
}

} // namespace mulberrywall::backingservices
