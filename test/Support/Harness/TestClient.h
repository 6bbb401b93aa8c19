#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberrywall::harness
{

using Clock = std::chrono::steady_clock;

struct ServerSentEvent
{
    /// Empty for an event without a name.
    std::string name;
    std::string data;
    Clock::time_point time;
};

enum class Continue : std::uint8_t {
    Yes,
    /// The client closes its connection.
    No,
};

struct Call
{
    std::uint16_t port = 0;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout {30'000};
    /// Called for each server-sent event as it arrives; may be empty.
    std::function<Continue(const ServerSentEvent &)> onEvent;
};

struct Reply
{
    /// Empty when the response is complete; otherwise what ended it.
    std::string error;
    /// False when no connection was made, so that nothing was sent.
    bool connected = false;
    /// 0 when no header arrived.
    unsigned status = 0;
    /// Field names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    std::vector<ServerSentEvent> events;

    [[nodiscard]] bool complete() const
    {
        return error.empty();
    }
    [[nodiscard]] std::string header(const std::string &lowerCaseName) const;
    /// Returns the body as an object, or an empty one.
    [[nodiscard]] boost::json::object json() const;
    /// Returns the generated text of a completion, whole or streamed.
    [[nodiscard]] std::string text() const;
    /// True when a stream ended with "[DONE]".
    [[nodiscard]] bool done() const;
    /// Returns the problem document of an "error" event or of the body, or an empty object.
    [[nodiscard]] boost::json::object problem() const;
    /// Returns "outcome" of the problem document, or the outcome header.
    [[nodiscard]] std::string outcome() const;
};

/// Makes one call on a connection of its own to the loopback address and blocks until it ends.
///
/// Independent of the product's HTTP library, so that a fault in that library does not hide itself.
Reply send(const Call &call);

/// Sends GET and returns the body as an object; throws std::runtime_error when the call fails.
boost::json::object getJson(std::uint16_t port, const std::string &target);
/// Sends POST with a JSON body; throws std::runtime_error unless the status is 200.
boost::json::object postJson(std::uint16_t port, const std::string &target, const boost::json::object &body);

} // namespace mulberrywall::harness
