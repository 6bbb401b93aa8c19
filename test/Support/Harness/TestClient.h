#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
    /// The client closes its connection without reading the rest of the response.
    No,
};

struct Call
{
    /// IP address; only loopback ones are in use.
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout {30'000};
    /// Called for each server-sent event as it arrives. May be empty.
    std::function<Continue(const ServerSentEvent &)> onEvent;
};

struct Reply
{
    /// Error that interrupted the call; empty if the response is complete.
    std::string error;
    /// False if no connection was established, so that nothing was sent.
    bool connected = false;
    /// HTTP status, or 0 if no response header arrived.
    unsigned status = 0;
    /// Response header fields; names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    std::vector<ServerSentEvent> events;

    [[nodiscard]] bool complete() const
    {
        return error.empty();
    }
    [[nodiscard]] std::string header(const std::string &lowerCaseName) const;
    /// Returns the body as a JSON object, or an empty object if it is not one.
    [[nodiscard]] boost::json::object json() const;
    /// Returns the generated text of a completion, streamed or not.
    [[nodiscard]] std::string text() const;
    /// Returns whether the response is a stream that ended with "[DONE]".
    [[nodiscard]] bool done() const;
    /// Returns the problem document of an "error" event or of the body, or an empty object.
    [[nodiscard]] boost::json::object problem() const;
    /// Returns the member "outcome" of the problem document, or else the value of the outcome header field.
    [[nodiscard]] std::string outcome() const;
};

/// Makes one call on a new connection and blocks until it ends.
///
/// Doesn't use the product's HTTP library, so that a fault in that library cannot hide itself.
Reply send(const Call &call);

/// A client connection that stays open between calls, until the server closes it or a call fails. All calls must go to the same
/// address, one at a time.
class KeptConnection
{
public:
    KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;
    KeptConnection(KeptConnection &&) = delete;
    KeptConnection &operator=(KeptConnection &&) = delete;
    ~KeptConnection();

    /// Returns whether the next call uses a connection that earlier calls have used.
    [[nodiscard]] bool isOpen() const;
    /// Like harness::send(), but on the kept connection; connects if there is none.
    Reply send(const Call &call);

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// Sends a GET request and returns the body as a JSON object. Throws std::runtime_error unless the status is 200.
boost::json::object getJson(std::uint16_t port, const std::string &target);
/// Sends a POST request with a JSON body and returns the response body as a JSON object. Throws
/// std::runtime_error unless the status is 200.
boost::json::object postJson(std::uint16_t port, const std::string &target, const boost::json::object &body);

} // namespace mulberrywall::harness
