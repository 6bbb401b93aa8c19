#include "Engine/EngineMessages.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <utility>

namespace mulberrywall::standin
{

using http::ServerExchangePtr;
using http::Status;

void respondJson(const ServerExchangePtr &exchange, const json::value &body, Status status)
{
    exchange->respond(http::makeJsonResponse(status, json::serialize(body)));
}

http::Response makeRefusal(Status status, std::string detail)
{
    http::Response response = http::makeProblemResponse({.status = status, .title = "refused", .detail = std::move(detail)});
    response.set(http::header::notRun, "1");
    return response;
}

void refuse(const ServerExchangePtr &exchange, Status status, std::string detail)
{
    exchange->respond(makeRefusal(status, std::move(detail)));
}

std::uint64_t parseNumber(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

json::object parseJsonBody(const ServerExchangePtr &exchange)
{
    boost::system::error_code error;
    json::value body = json::parse(exchange->request().body(), error);
    return error || !body.is_object() ? json::object() : body.get_object();
}

std::string stringMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

void readBoolMember(const json::object &object, std::string_view name, bool &flag)
{
    if (const json::value *value = object.if_contains(name); value != nullptr && value->is_bool()) {
        flag = value->get_bool();
    }
}

json::array blocksToJson(const std::vector<std::uint64_t> &blocks)
{
    json::array array;
    for (const std::uint64_t block : blocks) {
        array.emplace_back(block);
    }
    return array;
}

} // namespace mulberrywall::standin
