#include "Harness/TestClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <stdexcept>

namespace mulberrywall::harness
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;
using boost::system::error_code;

namespace
{

constexpr std::string_view streamEnd = "[DONE]";

json::object parseObject(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    return !error && value.is_object() ? value.get_object() : json::object();
}

/// Starts one asynchronous operation, runs the context until it completes and returns its error.
template <typename Start>
error_code runOperation(asio::io_context &context, Start start)
{
    error_code result;
    start([&result](const error_code &error, auto &&...) { result = error; });
    context.restart();
    context.run();
    return result;
}

/// Removes the complete server-sent events from the beginning of the text and returns them.
std::vector<ServerSentEvent> extractEvents(std::string &text)
{
    std::vector<ServerSentEvent> events;
    for (std::size_t end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
        ServerSentEvent event {.time = Clock::now()};
        std::size_t start = 0;
        while (start < end) {
            const std::size_t lineEnd = std::min(text.find('\n', start), end);
            const std::string line = text.substr(start, lineEnd - start);
            if (line.starts_with("data: ")) {
                event.data += line.substr(6);
            } else if (line.starts_with("event: ")) {
                event.name = line.substr(7);
            }
            start = lineEnd + 1;
        }
        events.push_back(std::move(event));
        text.erase(0, end + 2);
    }
    return events;
}

std::string textOfChoice(const json::object &document)
{
    const json::value *choices = document.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
        return {};
    }
    const json::object &choice = choices->get_array().front().as_object();
    for (const char *member : {"message", "delta"}) {
        if (const json::value *message = choice.if_contains(member); message != nullptr && message->as_object().contains("content")) {
            return std::string(message->as_object().at("content").as_string());
        }
    }
    const json::value *text = choice.if_contains("text");
    return text != nullptr ? std::string(text->as_string()) : std::string();
}

enum class ConnectionUse : std::uint8_t {
    /// The request asks the server to close the connection after its response.
    Once,
    Kept,
};

/// A connection and the bytes that were received on it but not yet parsed.
struct ClientConnection
{
    asio::io_context context {1};
    beast::tcp_stream stream {context};
    beast::flat_buffer buffer;
};

class Exchange
{
public:
    Exchange(const Call &call, ClientConnection &connection, ConnectionUse use)
        : call_(call),
          context_(connection.context),
          stream_(connection.stream),
          buffer_(connection.buffer),
          use_(use)
    {
    }

    Reply run()
    {
        const error_code error = exchange();
        if (error) {
            reply_.error = error.message();
        }
        return std::move(reply_);
    }

    /// Returns whether the server keeps the connection open after the response, which is complete.
    [[nodiscard]] bool keepsConnection() const
    {
        return use_ == ConnectionUse::Kept && parser_.is_done() && parser_.get().keep_alive();
    }

private:
    error_code connect()
    {
        if (stream_.socket().is_open()) {
            return {};
        }
        const asio::ip::tcp::endpoint peer(asio::ip::make_address(call_.address), call_.port);
        return runOperation(context_, [&](auto handler) { stream_.async_connect(peer, handler); });
    }

    error_code exchange()
    {
        stream_.expires_after(call_.timeout);
        if (const error_code error = connect()) {
            return error;
        }
        reply_.connected = true;
        beast::http::request<beast::http::string_body> request(beast::http::string_to_verb(call_.method), call_.target, 11);
        request.set(beast::http::field::host, "127.0.0.1");
        if (use_ == ConnectionUse::Once) {
            request.set(beast::http::field::connection, "close");
        }
        for (const auto &[name, value] : call_.headers) {
            request.set(name, value);
        }
        request.body() = call_.body;
        request.prepare_payload();
        // A peer may respond before it has read the whole request, so the client reads the response even
        // after a failed write.
        runOperation(context_, [&](auto handler) { beast::http::async_write(stream_, request, handler); });
        parser_.body_limit(boost::none);
        if (const error_code error = runOperation(context_, [&](auto handler) { beast::http::async_read_header(stream_, buffer_, parser_, handler); })) {
            return error;
        }
        readHeader();
        return readBody();
    }

    void readHeader()
    {
        reply_.status = parser_.get().result_int();
        for (const auto &field : parser_.get()) {
            std::string name(field.name_string());
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
            reply_.headers[name] = std::string(field.value());
        }
    }

    error_code readBody()
    {
        std::array<char, 16 * 1024> chunk {};
        std::string unparsed;
        while (!parser_.is_done()) {
            parser_.get().body().data = chunk.data();
            parser_.get().body().size = chunk.size();
            error_code error = runOperation(context_, [&](auto handler) { beast::http::async_read_some(stream_, buffer_, parser_, handler); });
            if (error == beast::http::error::need_buffer) {
                error = {};
            }
            const std::size_t size = chunk.size() - parser_.get().body().size;
            reply_.body.append(chunk.data(), size);
            unparsed.append(chunk.data(), size);
            if (reply_.header("content-type") == "text/event-stream" && deliver(unparsed) == Continue::No) {
                return asio::error::operation_aborted;
            }
            if (error) {
                return error;
            }
        }
        return {};
    }

    Continue deliver(std::string &unparsed)
    {
        for (ServerSentEvent &event : extractEvents(unparsed)) {
            reply_.events.push_back(std::move(event));
            if (call_.onEvent && call_.onEvent(reply_.events.back()) == Continue::No) {
                return Continue::No;
            }
        }
        return Continue::Yes;
    }

    const Call &call_;
    asio::io_context &context_;
    beast::tcp_stream &stream_;
    beast::flat_buffer &buffer_;
    ConnectionUse use_;
    beast::http::response_parser<beast::http::buffer_body> parser_;
    Reply reply_;
};

json::object requireOk(const Reply &reply, const std::string &target)
{
    if (!reply.complete() || reply.status != 200) {
        throw std::runtime_error("call of " + target + " failed: status " + std::to_string(reply.status) + " " + reply.error + " " + reply.body);
    }
    return reply.json();
}

} // namespace

std::string Reply::header(const std::string &lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

json::object Reply::json() const
{
    return parseObject(body);
}

std::string Reply::text() const
{
    if (events.empty()) {
        return textOfChoice(json());
    }
    std::string text;
    for (const ServerSentEvent &event : events) {
        if (event.name.empty() && event.data != streamEnd) {
            text += textOfChoice(parseObject(event.data));
        }
    }
    return text;
}

bool Reply::done() const
{
    return !events.empty() && events.back().data == streamEnd;
}

json::object Reply::problem() const
{
    for (const ServerSentEvent &event : events) {
        if (event.name == "error") {
            return parseObject(event.data);
        }
    }
    return header("content-type") == "application/problem+json" ? json() : json::object();
}

std::string Reply::outcome() const
{
    const json::object document = problem();
    const json::value *outcome = document.if_contains("outcome");
    return outcome != nullptr && outcome->is_string() ? std::string(outcome->get_string()) : header("mulberrywall-outcome");
}

Reply send(const Call &call)
{
    ClientConnection connection;
    return Exchange(call, connection, ConnectionUse::Once).run();
}

struct KeptConnection::State
{
    std::optional<ClientConnection> connection;
};

KeptConnection::KeptConnection()
    : state_(std::make_unique<State>())
{
}

KeptConnection::~KeptConnection() = default;

bool KeptConnection::isOpen() const
{
    return state_->connection.has_value();
}

Reply KeptConnection::send(const Call &call)
{
    if (!state_->connection) {
        state_->connection.emplace();
    }
    Exchange exchange(call, *state_->connection, ConnectionUse::Kept);
    Reply reply = exchange.run();
    if (!reply.complete() || !exchange.keepsConnection()) {
        state_->connection.reset();
    }
    return reply;
}

json::object getJson(std::uint16_t port, const std::string &target)
{
    return requireOk(send({.port = port, .method = "GET", .target = target}), target);
}

json::object postJson(std::uint16_t port, const std::string &target, const json::object &body)
{
    return requireOk(send({.port = port, .target = target, .body = json::serialize(body)}), target);
}

} // namespace mulberrywall::harness
