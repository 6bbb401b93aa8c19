#include "Http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr milliseconds connectTimeout {1'000};
/// Stand-ins keep idle connections for longer than any case runs.
constexpr milliseconds requestTimeout {130'000};
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headerEnd = "\r\n\r\n";

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char first, unsigned char second) {
        return std::tolower(first) == std::tolower(second);
    });
}

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/// Waits until the descriptor is ready. Returns false at the timeout.
bool waitFor(int descriptor, short events, milliseconds timeout)
{
    pollfd entry {.fd = descriptor, .events = events, .revents = 0};
    return ::poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

Headers parseHeaders(std::string_view text)
{
    Headers headers;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(lineEnd), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + lineEnd.size(), text.size()));
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) {
            continue;
        }
        std::string_view value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        headers.emplace_back(line.substr(0, colon), value);
    }
    return headers;
}

int openSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::runtime_error("could not create a socket");
    }
    return descriptor;
}

int bindSocket(const std::string &host, std::uint16_t port)
{
    const int descriptor = openSocket();
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = toSocketAddress({.host = host, .port = port});
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        throw std::runtime_error("could not bind to " + host + ": " + std::strerror(errno));
    }
    return descriptor;
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

std::string_view headerOf(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &field) { return equalsIgnoringCase(field.first, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::string Address::text() const
{
    return host + ":" + std::to_string(port);
}

Connection::Connection(int descriptor)
    : descriptor_(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close();
}

std::unique_ptr<Connection> Connection::open(const Address &address)
{
    const int descriptor = openSocket();
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    const sockaddr_in peer = toSocketAddress(address);
    int error = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        socklen_t size = sizeof(error);
        error = ETIMEDOUT;
        if (waitFor(descriptor, POLLOUT, connectTimeout)) {
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        }
    }
    if (error != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    return std::make_unique<Connection>(descriptor);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

int Connection::receive(milliseconds timeout)
{
    std::array<char, 65'536> bytes {};
    if (!waitFor(descriptor_, POLLIN, timeout)) {
        errno = ETIMEDOUT;
        return -1;
    }
    const ssize_t size = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (size > 0) {
        buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return static_cast<int>(size);
}

bool Connection::fill(std::size_t bytes)
{
    while (buffer_.size() < bytes) {
        if (receive(requestTimeout) <= 0) {
            return false;
        }
    }
    return true;
}

bool Connection::readHeader(std::string &startLine, Headers &headers)
{
    std::size_t end = buffer_.find(headerEnd);
    while (end == std::string::npos) {
        if (receive(requestTimeout) <= 0) {
            return false;
        }
        end = buffer_.find(headerEnd);
    }
    const std::string text = buffer_.substr(0, end + lineEnd.size());
    buffer_.erase(0, end + headerEnd.size());
    const std::size_t lineSize = text.find(lineEnd);
    startLine = text.substr(0, lineSize);
    headers = parseHeaders(std::string_view(text).substr(lineSize + lineEnd.size()));
    return true;
}

bool Connection::readBody(const Headers &headers, std::string &body)
{
    const std::string_view length = headerOf(headers, "Content-Length");
    const std::size_t bytes = length.empty() ? 0 : std::stoul(std::string(length));
    if (!fill(bytes)) {
        return false;
    }
    body = buffer_.substr(0, bytes);
    buffer_.erase(0, bytes);
    return true;
}

bool Connection::readRequest(Request &request)
{
    std::string line;
    if (!readHeader(line, request.headers)) {
        return false;
    }
    const std::size_t methodEnd = line.find(' ');
    const std::size_t targetEnd = line.find(' ', methodEnd + 1);
    request.method = line.substr(0, methodEnd);
    request.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    return readBody(request.headers, request.body);
}

void Connection::close()
{
    const std::scoped_lock lock(mutex_);
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

void Connection::reset()
{
    const linger immediate {.l_onoff = 1, .l_linger = 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    close();
}

void Connection::endSending()
{
    ::shutdown(descriptor_, SHUT_WR);
}

void Connection::interrupt()
{
    const std::scoped_lock lock(mutex_);
    ::shutdown(descriptor_, SHUT_RDWR);
}

void Connection::interruptAndReset()
{
    const linger immediate {.l_onoff = 1, .l_linger = 0};
    const std::scoped_lock lock(mutex_);
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    ::shutdown(descriptor_, SHUT_RD);
}

std::string &Connection::buffer()
{
    return buffer_;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t size = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string render(const Request &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

namespace
{

/// Reads a response of a connection step by step.
class ResponseReader
{
public:
    ResponseReader(Connection &connection, Clock::time_point end)
        : connection_(connection),
          end_(end)
    {
    }

    void read(Reply &reply)
    {
        std::string &buffer = connection_.buffer();
        std::size_t headerSize = buffer.find(headerEnd);
        while (headerSize == std::string::npos) {
            if (!receive(reply)) {
                return;
            }
            headerSize = buffer.find(headerEnd);
        }
        const std::size_t lineSize = buffer.find(lineEnd);
        reply.status = static_cast<unsigned>(std::stoul(buffer.substr(buffer.find(' ') + 1, 3)));
        reply.headers = parseHeaders(std::string_view(buffer).substr(lineSize + lineEnd.size(), headerSize - lineSize));
        buffer.erase(0, headerSize + headerEnd.size());
        if (equalsIgnoringCase(headerOf(reply.headers, "Transfer-Encoding"), "chunked")) {
            readChunks(reply);
            return;
        }
        const std::string_view length = headerOf(reply.headers, "Content-Length");
        if (length.empty()) {
            readUntilEnd(reply);
            return;
        }
        const std::size_t bytes = std::stoul(std::string(length));
        while (buffer.size() < bytes) {
            if (!receive(reply)) {
                reply.body = buffer;
                return;
            }
        }
        reply.body = buffer.substr(0, bytes);
        buffer.erase(0, bytes);
        reply.complete = true;
    }

private:
    bool receive(Reply &reply)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(end_ - Clock::now());
        const int size = connection_.receive(std::max(left, milliseconds(0)));
        if (size <= 0) {
            reply.failure = size == 0 ? "connection closed" : std::strerror(errno);
            return false;
        }
        return true;
    }

    void readUntilEnd(Reply &reply)
    {
        while (receive(reply)) {
        }
        reply.body = std::exchange(connection_.buffer(), {});
        reply.complete = reply.failure == "connection closed";
    }

    void readChunks(Reply &reply)
    {
        std::string &buffer = connection_.buffer();
        while (true) {
            std::size_t sizeEnd = buffer.find(lineEnd);
            while (sizeEnd == std::string::npos) {
                if (!receive(reply)) {
                    return;
                }
                sizeEnd = buffer.find(lineEnd);
            }
            const std::size_t size = std::stoul(buffer.substr(0, sizeEnd), nullptr, 16);
            const std::size_t whole = sizeEnd + lineEnd.size() + size + lineEnd.size();
            while (buffer.size() < whole) {
                if (!receive(reply)) {
                    return;
                }
            }
            reply.body += buffer.substr(sizeEnd + lineEnd.size(), size);
            buffer.erase(0, whole);
            if (size == 0) {
                reply.complete = true;
                return;
            }
        }
    }

    Connection &connection_;
    Clock::time_point end_;
};

} // namespace

Reply exchangeBytes(Connection &connection, std::string_view request, milliseconds timeout)
{
    const Clock::time_point start = Clock::now();
    Reply reply {.connected = true};
    if (!connection.send(request)) {
        // The response may have arrived before the connection was closed.
        reply.failure = "request not sent whole";
    }
    ResponseReader(connection, start + timeout).read(reply);
    reply.duration = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
    return reply;
}

Reply exchange(Connection &connection, const Request &request, milliseconds timeout)
{
    return exchangeBytes(connection, render(request), timeout);
}

Reply exchange(const Address &address, const Request &request, milliseconds timeout)
{
    const auto connection = Connection::open(address);
    if (!connection) {
        return {.failure = "not connected"};
    }
    return exchange(*connection, request, timeout);
}

Listener::Listener(const std::string &host, Serve serve, int receiveBufferBytes, std::uint16_t port)
    : descriptor_(bindSocket(host, port)),
      address_ {.host = host, .port = portOf(descriptor_)},
      serve_(std::move(serve))
{
    if (receiveBufferBytes > 0) {
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    }
    constexpr int backlog = 256;
    ::listen(descriptor_, backlog);
    thread_ = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    close();
    {
        const std::scoped_lock lock(mutex_);
        for (const auto &connection : connections_) {
            connection->interrupt();
        }
    }
    for (std::thread &thread : serving_) {
        thread.join();
    }
}

const Address &Listener::address() const
{
    return address_;
}

void Listener::close()
{
    {
        const std::scoped_lock lock(mutex_);
        if (std::exchange(closed_, true)) {
            return;
        }
    }
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
}

void Listener::resetConnections()
{
    const std::scoped_lock lock(mutex_);
    for (const auto &connection : connections_) {
        connection->interruptAndReset();
    }
}

void Listener::accept()
{
    while (true) {
        const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const auto connection = std::make_shared<Connection>(descriptor);
        const std::scoped_lock lock(mutex_);
        connections_.push_back(connection);
        serving_.emplace_back([this, connection] {
            serve_(*connection);
            connection->close();
        });
    }
}

std::uint16_t freePort(const std::string &host)
{
    const int descriptor = bindSocket(host, 0);
    const std::uint16_t port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

} // namespace review
