#pragma once

#include "mulberrywall/Http/Server.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Reading of requests and writing of responses of the engine stand-in.
namespace mulberrywall::standin
{

namespace json = boost::json;

/// Responds with the JSON value.
void respondJson(const http::ServerExchangePtr &exchange, const json::value &body, http::Status status = http::Status::ok);
/// Returns a problem document that says that the request was not run.
http::Response makeRefusal(http::Status status, std::string detail);
/// Responds with such a problem document.
void refuse(const http::ServerExchangePtr &exchange, http::Status status, std::string detail);
/// Returns the number at the beginning of the text, or the fallback if there is none.
std::uint64_t parseNumber(std::string_view text, std::uint64_t fallback = 0);
/// Returns the JSON object in the body of the request, or an empty one.
json::object parseJsonBody(const http::ServerExchangePtr &exchange);
/// Returns the member if it is a string, or an empty string.
std::string stringMember(const json::object &object, std::string_view name);
/// Sets the flag if the member exists and is a boolean.
void readBoolMember(const json::object &object, std::string_view name, bool &flag);
/// Returns the hashes of blocks as an array of numbers.
json::array blocksToJson(const std::vector<std::uint64_t> &blocks);

} // namespace mulberrywall::standin
