// Stand-ins for the cases of the second review: the platform's store, endpoints, callers, and the processes under test.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Writes what was sent, answered and run, with the time since the start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path),
          start_(Clock::now())
    {
    }

    void write(const std::string &text)
    {
        const std::scoped_lock lock(mutex_);
        const auto time = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
        file_ << time << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_;
};

inline std::string &textOfRecordPath()
{
    static std::string path = "record.txt";
    return path;
}

inline Record &record()
{
    static Record instance(textOfRecordPath());
    return instance;
}

struct Address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// A TCP socket that closes itself.
class Socket
{
public:
    explicit Socket(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    Socket(Socket &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        return *this;
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket()
    {
        close();
    }

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

    /// Closes the connection with a reset.
    void reset()
    {
        const linger option {.l_onoff = 1, .l_linger = 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    /// Returns false if the peer has gone.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t size = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
        return true;
    }

    /// Returns the received bytes: empty at the end of the stream, nothing at the deadline or on an error.
    std::optional<std::string> receive(Clock::time_point deadline)
    {
        const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
        pollfd entry {.fd = descriptor_, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return std::nullopt;
        }
        std::string buffer(16 * 1024, '\0');
        const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (size < 0) {
            return std::nullopt;
        }
        buffer.resize(static_cast<std::size_t>(size));
        return buffer;
    }

    [[nodiscard]] int descriptor() const
    {
        return descriptor_;
    }

private:
    int descriptor_;
};

inline Socket connectTo(const Address &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in peer = toSockaddr(address);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0) {
        return Socket();
    }
    const int on = 1;
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

/// Returns a listening socket; port 0 selects a free one, which is stored in the address.
inline Socket listenAt(Address &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in own = toSockaddr(address);
    if (::bind(socket.descriptor(), reinterpret_cast<const sockaddr *>(&own), sizeof(own)) != 0 || ::listen(socket.descriptor(), 512) != 0) {
        throw std::runtime_error("cannot listen at " + address.text() + ": " + std::strerror(errno));
    }
    socklen_t size = sizeof(own);
    ::getsockname(socket.descriptor(), reinterpret_cast<sockaddr *>(&own), &size);
    address.port = ntohs(own.sin_port);
    return socket;
}

/// Returns a port that was free just now.
inline std::uint16_t freePort(const std::string &ip)
{
    Address address {.ip = ip};
    listenAt(address);
    return address.port;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool equalNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

inline std::string headerOf(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalNames(key, name)) {
            return value;
        }
    }
    return {};
}

/// A received message: a request if `method` is set, else a response.
struct Message
{
    std::string method = {};
    std::string target = {};
    unsigned status = 0;
    Headers headers = {};
    std::string body = {};
};

inline std::string header(const Message &message, std::string_view name)
{
    return headerOf(message.headers, name);
}

/// Why a message ended.
enum class End {
    Complete,
    /// The peer closed the connection before the end.
    Closed,
    TimedOut,
    Malformed,
};

/// Reads messages of one connection.
class Reader
{
public:
    explicit Reader(Socket &socket)
        : socket_(socket)
    {
    }

    /// Reads the next message. The body of a response to HEAD is skipped.
    End read(Message &message, Clock::time_point deadline, bool isResponseToHead = false)
    {
        message = {};
        std::size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (const End result = fill(deadline); result != End::Complete) {
                return result;
            }
        }
        const std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        if (!parseHead(head, message)) {
            return End::Malformed;
        }
        return isResponseToHead ? End::Complete : readBody(message, deadline);
    }

    [[nodiscard]] const std::string &unread() const
    {
        return buffer_;
    }

    /// Reads until the connection closes or the deadline has come. Returns all unread bytes.
    std::string drain(Clock::time_point deadline)
    {
        while (fill(deadline) == End::Complete) {
        }
        return std::exchange(buffer_, {});
    }

private:
    End fill(Clock::time_point deadline)
    {
        const auto bytes = socket_.receive(deadline);
        if (!bytes) {
            return Clock::now() >= deadline ? End::TimedOut : End::Closed;
        }
        buffer_ += *bytes;
        return bytes->empty() ? End::Closed : End::Complete;
    }

    static bool parseHead(const std::string &head, Message &message)
    {
        std::size_t position = head.find("\r\n");
        const std::string first = head.substr(0, position);
        if (first.starts_with("HTTP/1.")) {
            message.status = static_cast<unsigned>(std::atoi(first.substr(9, 3).c_str()));
        } else {
            const std::size_t space = first.find(' ');
            const std::size_t last = first.rfind(' ');
            if (space == std::string::npos || last == space || first.substr(last + 1).substr(0, 5) != "HTTP/") {
                return false;
            }
            message.method = first.substr(0, space);
            message.target = first.substr(space + 1, last - space - 1);
        }
        for (position += 2; position < head.size();) {
            const std::size_t lineEnd = head.find("\r\n", position);
            const std::string line = head.substr(position, lineEnd - position);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return false;
            }
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
            position = lineEnd + 2;
        }
        return true;
    }

    End need(std::size_t bytes, Clock::time_point deadline)
    {
        while (buffer_.size() < bytes) {
            if (const End result = fill(deadline); result != End::Complete) {
                return result;
            }
        }
        return End::Complete;
    }

    End readBody(Message &message, Clock::time_point deadline)
    {
        if (equalNames(header(message, "Transfer-Encoding"), "chunked")) {
            return readChunks(message, deadline);
        }
        const std::string length = header(message, "Content-Length");
        if (!length.empty()) {
            const std::size_t bytes = std::stoul(length);
            const End result = need(bytes, deadline);
            message.body = buffer_.substr(0, bytes);
            buffer_.erase(0, message.body.size());
            return result;
        }
        if (message.status == 0 || message.status == 204 || message.status == 304) {
            return End::Complete;
        }
        End result = End::Complete;
        while ((result = fill(deadline)) == End::Complete) {
        }
        message.body = std::exchange(buffer_, {});
        return result == End::Closed ? End::Complete : result;
    }

    End readChunks(Message &message, Clock::time_point deadline)
    {
        for (;;) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (const End result = fill(deadline); result != End::Complete) {
                    return result;
                }
            }
            char *rest = nullptr;
            const std::size_t size = std::strtoul(buffer_.c_str(), &rest, 16);
            if (rest == buffer_.c_str()) {
                return End::Malformed;
            }
            if (const End result = need(lineEnd + 2 + size + 2, deadline); result != End::Complete) {
                return result;
            }
            message.body += buffer_.substr(lineEnd + 2, size);
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return End::Complete;
            }
        }
    }

    Socket &socket_;
    std::string buffer_;
};

/// Accepts connections and runs the handler for each on a thread of its own, until the case ends.
class Listener
{
public:
    using Handler = std::function<void(Socket &)>;

    Listener(Address address, Handler handler)
        : address_(std::move(address)),
          socket_(listenAt(address_)),
          handler_(std::move(handler))
    {
        std::thread([this] { accept(); }).detach();
    }

    [[nodiscard]] const Address &address() const
    {
        return address_;
    }

private:
    void accept()
    {
        for (;;) {
            const int descriptor = ::accept4(socket_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                std::this_thread::sleep_for(milliseconds(5));
                continue;
            }
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, descriptor] {
                Socket socket(descriptor);
                handler_(socket);
            }).detach();
        }
    }

    Address address_;
    Socket socket_;
    Handler handler_;
};

inline constexpr std::chrono::seconds connectionLifetime {110};

/// Serves requests of a connection one after another. The handler returns false to close it.
inline void serveRequests(Socket &socket, const std::function<bool(Socket &, const Message &)> &handler)
{
    Reader reader(socket);
    Message request;
    while (reader.read(request, Clock::now() + connectionLifetime) == End::Complete) {
        if (!handler(socket, request)) {
            return;
        }
    }
}

inline std::string renderResponse(unsigned status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string encodeBase64(std::string_view text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        const std::size_t count = std::min<std::size_t>(3, text.size() - index);
        std::uint32_t bits = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            bits = bits << 8U | (byte < count ? static_cast<unsigned char>(text[index + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            result += digit <= count ? digits[bits >> (18 - 6 * digit) & 0x3fU] : '=';
        }
    }
    return result;
}

/// The platform's metadata store: linearizable, loses nothing, keeps its whole history. Values stay in base64, as they come.
class Store
{
public:
    explicit Store(const std::string &ip = "127.0.0.1")
        : listener_(Address {.ip = ip},
            [this](Socket &socket) { serveRequests(socket, [this](Socket &peer, const Message &request) { return handle(peer, request); }); })
    {
    }

    [[nodiscard]] const Address &address() const
    {
        return listener_.address();
    }

    /// Writes as the operator or an endpoint. Returns after the write, which is its acknowledgement.
    void write(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(mutex_);
        set(table, key, Row {.value = encodeBase64(value)});
        changed_.notify_all();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::scoped_lock lock(mutex_);
        set(table, key, Row {.value = {}, .deleted = true});
        changed_.notify_all();
    }

    /// Decides for each call before it is served: false means that the connection stays silent.
    std::function<bool(const Message &)> isServed = [](const Message &) {
        return true;
    };

private:
    struct Row
    {
        std::string value;
        bool deleted = false;
        std::uint64_t version = 0;
    };

    void set(const std::string &table, const std::string &key, Row row)
    {
        row.version = version_;
        if (row.version == lastTransaction_) {
            row.version = ++version_;
        }
        lastTransaction_ = row.version;
        tables_[table][key] = std::move(row);
    }

    static std::string decodeQuery(const std::string &text)
    {
        std::string result;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                result += static_cast<char>(std::strtoul(text.substr(index + 1, 2).c_str(), nullptr, 16));
                index += 2;
            } else {
                result += text[index];
            }
        }
        return result;
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        for (const char *separator : {"?", "&"}) {
            const std::size_t start = target.find(separator + name + "=");
            if (start != std::string::npos) {
                const std::size_t value = start + name.size() + 2;
                return decodeQuery(target.substr(value, target.find('&', value) - value));
            }
        }
        return {};
    }

    json::object renderRow(const std::string &table, const std::string &key, const Row &row) const
    {
        json::object object {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
        if (row.deleted) {
            object["deleted"] = true;
        } else {
            object["value"] = row.value;
        }
        return object;
    }

    [[nodiscard]] std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
    }

    std::string renderRows(json::array rows) const
    {
        return json::serialize(json::object {{"rows", std::move(rows)}, {"truncated", false}, {"ver", version_}, {"nowMs", now()}});
    }

    bool respond(Socket &socket, unsigned status, const std::string &body)
    {
        return socket.send(renderResponse(status, {{"Content-Type", "application/json"}}, body));
    }

    bool handle(Socket &socket, const Message &request)
    {
        if (!isServed(request)) {
            std::this_thread::sleep_for(connectionLifetime);
            return false;
        }
        const std::string table = parameter(request.target, "table");
        if (request.target.starts_with("/mulberrywall/rows-get")) {
            return respondWithTable(socket, table, parameter(request.target, "from"));
        }
        if (request.target.starts_with("/mulberrywall/rows-feed")) {
            return respondWithChanges(
                socket, table, std::stoull(parameter(request.target, "sinceRev")), milliseconds(std::stoul(parameter(request.target, "waitMs"))));
        }
        if (request.target.starts_with("/mulberrywall/rows-tx")) {
            return commit(socket, json::parse(request.body).as_object());
        }
        return respond(socket, 404, "{}");
    }

    bool respondWithTable(Socket &socket, const std::string &table, const std::string &from)
    {
        std::unique_lock lock(mutex_);
        json::array rows;
        for (const auto &[key, row] : tables_[table]) {
            if (!row.deleted && key >= from) {
                rows.push_back(renderRow(table, key, row));
            }
        }
        const std::string body = renderRows(std::move(rows));
        lock.unlock();
        return respond(socket, 200, body);
    }

    bool respondWithChanges(Socket &socket, const std::string &table, std::uint64_t version, milliseconds wait)
    {
        std::unique_lock lock(mutex_);
        const auto isNewer = [&](const auto &entry) {
            return entry.second.version > version;
        };
        changed_.wait_for(lock, wait, [&] { return std::any_of(tables_[table].begin(), tables_[table].end(), isNewer); });
        std::vector<std::pair<std::string, Row>> newer;
        std::copy_if(tables_[table].begin(), tables_[table].end(), std::back_inserter(newer), isNewer);
        std::sort(newer.begin(), newer.end(), [](const auto &left, const auto &right) { return left.second.version < right.second.version; });
        json::array rows;
        for (const auto &[key, row] : newer) {
            rows.push_back(renderRow(table, key, row));
        }
        const std::string body = renderRows(std::move(rows));
        lock.unlock();
        return respond(socket, 200, body);
    }

    static std::string text(const json::object &object, const char *name)
    {
        const json::value *value = object.if_contains(name);
        return value == nullptr ? std::string() : std::string(value->as_string());
    }

    static const json::array &list(const json::object &object, const char *name)
    {
        static const json::array empty;
        const json::value *value = object.if_contains(name);
        return value == nullptr ? empty : value->as_array();
    }

    bool commit(Socket &socket, const json::object &transaction)
    {
        std::unique_lock lock(mutex_);
        json::array current;
        bool matches = true;
        for (const json::value &entry : list(transaction, "expectRev")) {
            const json::object &condition = entry.as_object();
            const Row &row = tables_[text(condition, "table")][text(condition, "key")];
            const std::uint64_t stored = row.deleted ? 0 : row.version;
            matches = matches && stored == condition.at("ver").to_number<std::uint64_t>();
            if (stored != 0) {
                current.push_back(renderRow(text(condition, "table"), text(condition, "key"), row));
            }
        }
        if (!matches) {
            const std::string body = renderRows(std::move(current));
            lock.unlock();
            return respond(socket, 412, body);
        }
        const std::uint64_t version = ++version_;
        for (const json::value &entry : list(transaction, "writes")) {
            const json::object &row = entry.as_object();
            tables_[text(row, "table")][text(row, "key")] = Row {.value = text(row, "value"), .version = version};
        }
        for (const json::value &entry : list(transaction, "deletes")) {
            const json::object &row = entry.as_object();
            tables_[text(row, "table")][text(row, "key")] = Row {.value = {}, .deleted = true, .version = version};
        }
        lastTransaction_ = version;
        const std::string body = json::serialize(json::object {{"ver", version}, {"nowMs", now()}});
        changed_.notify_all();
        lock.unlock();
        return respond(socket, 200, body);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    std::uint64_t version_ = 100;
    std::uint64_t lastTransaction_ = 100;
    Clock::time_point start_ = Clock::now() - std::chrono::seconds(1);
    Listener listener_;
};

inline constexpr std::string_view seal = "3e1b.07.5a2.600.0.c9f2a4d1";

/// An endpoint of the platform. It registers itself in the store, and answers each request as `run` says.
class Endpoint
{
public:
    /// Called for each request that runs. Returns false to close the connection.
    using Run = std::function<bool(Socket &, const Message &)>;

    Endpoint(Store &store, std::string id, std::string service, unsigned slots, Run run)
        : store_(store),
          id_(std::move(id)),
          service_(std::move(service)),
          slots_(slots),
          run_(std::move(run)),
          born_(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()),
          listener_(
              Address {}, [this](Socket &socket) { serveRequests(socket, [this](Socket &peer, const Message &request) { return handle(peer, request); }); })
    {
        std::thread([this] {
            for (unsigned sequence = 1;; ++sequence) {
                beat(sequence);
                std::this_thread::sleep_for(milliseconds(1'200));
            }
        }).detach();
    }

    [[nodiscard]] const std::string &id() const
    {
        return id_;
    }

private:
    void beat(unsigned sequence)
    {
        json::object entry {{"service", service_},
            {"address", listener_.address().text()},
            {"zone", "dc-a"},
            {"version", "v1"},
            {"slots", slots_},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"seq", sequence},
            {"born", born_}};
        store_.write("servers", id_, json::serialize(entry));
    }

    bool handle(Socket &socket, const Message &request)
    {
        if (request.target == "/healthz") {
            return socket.send(renderResponse(200, {{"Mulberrywall-Instance-Id", id_}}, ""));
        }
        const std::string expected = header(request, "Mulberrywall-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            return socket.send(renderResponse(421, {{"Mulberrywall-Instance-Id", id_}}, ""));
        }
        return run_(socket, request);
    }

    Store &store_;
    std::string id_;
    std::string service_;
    unsigned slots_;
    Run run_;
    std::int64_t born_;
    Listener listener_;
};

/// Answers with a body of the endpoint.
inline bool answerWhole(Socket &socket, const Message &request, const std::string &body)
{
    return socket.send(
        renderResponse(200, {{"Mulberrywall-Request-Id", header(request, "Mulberrywall-Request-Id")}, {"Mulberrywall-Server-Seal", std::string(seal)}}, body));
}

inline std::string renderChunk(const std::string &text)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline std::string streamHead(const Message &request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nMulberrywall-Request-Id: "
        + header(request, "Mulberrywall-Request-Id") + "\r\nMulberrywall-Server-Seal: " + std::string(seal) + "\r\n\r\n";
}

inline std::string renderEvent(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

/// Answers with a stream of events.
inline bool answerStream(Socket &socket, const Message &request, unsigned events, milliseconds pause)
{
    if (!socket.send(streamHead(request))) {
        return false;
    }
    for (unsigned id = 1; id <= events; ++id) {
        std::this_thread::sleep_for(pause);
        if (!socket.send(renderChunk(renderEvent(id)))) {
            return false;
        }
    }
    return socket.send("0\r\n\r\n");
}

/// What a caller has sent and received.
struct Answer
{
    /// False if no connection was made or the request could not be written.
    bool sent = false;
    End end = End::Closed;
    Message message;
    milliseconds time {0};
};

struct Request
{
    std::string method = "GET";
    std::string target;
    Headers headers;
    std::string body = {};
};

inline std::string render(const Request &request)
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

/// Sends the request on a connection of its own and waits for the answer.
inline Answer call(const Address &address, const Request &request, milliseconds timeout)
{
    const auto start = Clock::now();
    Answer answer;
    Socket socket = connectTo(address);
    answer.sent = socket.descriptor() >= 0 && socket.send(render(request));
    if (answer.sent) {
        Reader reader(socket);
        answer.end = reader.read(answer.message, start + timeout, request.method == "HEAD");
    }
    answer.time = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
    return answer;
}

inline std::string describe(const Answer &answer)
{
    const std::string time = " after " + std::to_string(answer.time.count()) + " ms";
    if (!answer.sent) {
        return "no connection" + time;
    }
    switch (answer.end) {
    case End::Complete:
        return "status " + std::to_string(answer.message.status) + time;
    case End::Closed:
        return "connection closed" + time;
    case End::TimedOut:
        return "no answer" + time;
    case End::Malformed:
        return "bytes that are no answer" + time;
    }
    return {};
}

inline std::string makeId()
{
    static std::atomic<std::uint64_t> next {0x9c41d07be2a30000};
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++next));
    return text;
}

inline std::vector<std::string> splitWords(const std::string &text)
{
    std::vector<std::string> words;
    std::size_t start = 0;
    while ((start = text.find_first_not_of(' ', start)) != std::string::npos) {
        const std::size_t end = std::min(text.find(' ', start), text.size());
        words.push_back(text.substr(start, end - start));
        start = end;
    }
    return words;
}

/// Returns the command that the deploy file states for the router.
inline std::vector<std::string> routerCommand()
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("run = \"")) {
            return splitWords(line.substr(7, line.rfind('"') - 7));
        }
    }
    throw std::runtime_error("the deploy file has no command");
}

/// Returns a loopback address that other runs on this machine hardly use. The port of the metrics stands in the command.
inline std::string makeLoopbackAddress(unsigned number = 0)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(100 + number) + "." + std::to_string(process / 250 % 250) + "." + std::to_string(1 + process % 250);
}

/// The router as a process of its own, with the command of the deploy file.
class Router
{
public:
    struct Options
    {
        std::string name = "edge-dc-a-1";
        /// Each router needs an address of its own, because the port of its metrics is fixed.
        std::string ip = makeLoopbackAddress();
        /// Members of the settings file that replace or add to the usual ones.
        json::object settings;
    };

    Router(const Store &store, Options options, const std::string &folder)
        : options_(std::move(options)),
          front_ {.ip = options_.ip, .port = freePort(options_.ip)},
          ready_ {.ip = options_.ip, .port = freePort(options_.ip)},
          control_ {.ip = options_.ip, .port = freePort(options_.ip)},
          settingsFile_(folder + "/" + options_.name + ".json"),
          logFile_(folder + "/" + options_.name + ".log")
    {
        writeSettings(store);
    }
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;
    ~Router()
    {
        kill();
    }

    void start()
    {
        const std::vector<std::string> words = routerCommand();
        std::vector<char *> arguments;
        for (const std::string &word : words) {
            arguments.push_back(const_cast<char *>(word.c_str()));
        }
        arguments.push_back(nullptr);
        const std::string variable = "MULBERRYWALL_NODE_FILE=" + settingsFile_;
        std::vector<char *> environment {const_cast<char *>(variable.c_str()), nullptr};
        const int log = ::open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        process_ = ::fork();
        if (process_ == 0) {
            // Other threads may have held locks, so that only system calls are made here.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            // Ignored signals would be inherited.
            ::signal(SIGPIPE, SIG_DFL);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::execve(arguments.front(), arguments.data(), environment.data());
            ::_exit(127);
        }
        ::close(log);
        record().write("started " + options_.name + ", process " + std::to_string(process_));
    }

    void signal(int number)
    {
        record().write("signal " + std::to_string(number) + " to " + options_.name);
        ::kill(process_, number);
    }

    /// Returns whether the process still runs.
    bool isRunning()
    {
        if (process_ <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(process_, &status, WNOHANG) == 0) {
            return true;
        }
        record().write(options_.name + " has ended, wait status " + std::to_string(status));
        process_ = -1;
        return false;
    }

    void kill()
    {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }

    [[nodiscard]] bool isReady() const
    {
        const Answer answer = call(ready_, {.target = "/readyz", .headers = {{"Host", "h"}}}, milliseconds(1'000));
        return answer.end == End::Complete && answer.message.status == 200;
    }

    [[nodiscard]] bool waitUntilReady(milliseconds limit) const
    {
        const auto end = Clock::now() + limit;
        while (Clock::now() < end) {
            if (isReady()) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

    [[nodiscard]] const Address &front() const
    {
        return front_;
    }
    [[nodiscard]] const Address &control() const
    {
        return control_;
    }
    [[nodiscard]] pid_t process() const
    {
        return process_;
    }

    void writeSettings(const Store &store) const
    {
        json::object settings {{"nodeName", options_.name},
            {"role", "router"},
            {"machineClass", "edge"},
            {"serves", json::array {"edge", "control"}},
            {"ip", options_.ip},
            {"zone", "dc-a"},
            {"region", "region-a"},
            {"zones", json::object {{"dc-a", "region-a"}}},
            {"listen", json::object {{"front", front_.text()}, {"ready", ready_.text()}, {"control", control_.text()}}},
            {"seeds", json::array {}},
            {"bootstrap", true},
            {"limits", json::object {{"cpuShare", 0.25}, {"cores", 1}, {"memoryMb", 260}, {"maxFds", 4100}, {"linkMbps", 1000.0}, {"diskMb", 0}}},
            {"dataDir", nullptr},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeatMs", 1200},
            {"contracts", json::array {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"}},
            {"bounds",
                json::object {{"seedLagS", 3},
                    {"reuseAfterS", 2},
                    {"contactMs", 3000},
                    {"ackMs", 4000},
                    {"catchUpS", 4},
                    {"drainMs", 2000},
                    {"graceS", 8},
                    {"lossSlackMs", 200},
                    {"configApplyMs", 2000},
                    {"backMs", 250},
                    {"outerMs", 5000},
                    {"strictRevoke", true},
                    {"revokeMs", 5000},
                    {"retryRatio", 0.2},
                    {"retryWindowS", 10},
                    {"retrySlack", 54},
                    {"recoverS", 12},
                    {"deliveryDelayMs", 120},
                    {"reuseWindowS", 10}}},
            {"platform",
                json::object {{"address", store.address().text()},
                    {"form", "table"},
                    {"writesPerS", 400},
                    {"readsPerS", 2000},
                    {"txMs", 5.0},
                    {"partWritesS", 200},
                    {"rowBytes", 65536},
                    {"across", false},
                    {"historyS", 20}}}};
        for (const auto &[name, value] : options_.settings) {
            settings[name] = value;
        }
        std::ofstream(settingsFile_) << json::serialize(settings);
    }

private:
    Options options_;
    Address front_;
    Address ready_;
    Address control_;
    std::string settingsFile_;
    std::string logFile_;
    pid_t process_ = -1;
};

inline constexpr std::string_view callerKey = "n2ctnfzs989anu6wsjnb";
inline constexpr std::string_view host = "ficu95.example";

/// A route of the operator's document.
struct Route
{
    std::string name;
    std::string type;
    std::string service;
    unsigned timeoutMs = 2'000;
    unsigned sloMs = 300;
    unsigned attempts = 1;
    bool resumable = false;
};

/// Returns the operator's document. The service "engine" has model engines, the service "ledger" has none.
inline json::object makeDocument(std::uint64_t version, const std::vector<Route> &routes)
{
    json::array list;
    for (const Route &route : routes) {
        json::object object {{"name", route.name},
            {"host", host},
            {"prefix", "/" + route.name + "/"},
            {"type", route.type},
            {"timeoutMs", route.timeoutMs},
            {"sloMs", route.sloMs},
            {"priority", 1},
            {"service", route.service},
            {"attempts", route.attempts},
            {"public", false}};
        if (route.type == "stream") {
            object["sticky"] = true;
            object["resumable"] = route.resumable;
            object["itlTargetMs"] = 2'000;
        }
        list.push_back(std::move(object));
    }
    const json::object engine {{"slots", 64},
        {"kvCapacity", 557973},
        {"kvTokenBytes", 18432},
        {"linkMbps", 180000.0},
        {"moves", true},
        {"backups", true},
        {"stride", 6},
        {"most", 12},
        {"pinMs", 4000.0},
        {"holdMs", 2000.0},
        {"handleS", 5.0},
        {"models", json::array {json::object {{"name", "m"}}}}};
    return json::object {{"version", version},
        {"routes", std::move(list)},
        {"services",
            json::array {
                json::object {{"name", "engine"}, {"healthPath", "/healthz"}, {"maxConns", 360}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}},
                json::object {{"name", "ledger"}, {"healthPath", "/healthz"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
        {"limits", json::object {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
        {"tenants", json::array {json::object {{"name", "hule930"}, {"apiKeys", json::array {callerKey}}, {"priority", 1}}}}};
}

/// Returns the fields that each request of a caller has.
inline Headers callerHeaders(const std::string &id, unsigned deadlineMs)
{
    return {{"Host", std::string(host)},
        {"Mulberrywall-Request-Id", id},
        {"Mulberrywall-Deadline-Ms", std::to_string(deadlineMs)},
        {"Authorization", "Bearer " + std::string(callerKey)}};
}

/// Returns whether the case runs with its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

/// A temporary folder that is removed at the end.
class Folder
{
public:
    Folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "mulberrywall-review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot make a temporary folder");
        }
        path_ = pattern;
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    ~Folder()
    {
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(path_);
        } else {
            std::cerr << "logs: " << path_ << '\n';
        }
    }

    [[nodiscard]] const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

/// Makes a stand-in that is never destroyed, because its threads run until the process ends.
template <typename StandIn, typename... Arguments>
StandIn &keep(Arguments &&...arguments)
{
    return *new StandIn(std::forward<Arguments>(arguments)...);
}

/// Runs the case. The first argument is the folder of the record; the working folder is the root of the repository.
inline int runCase(int argc, char **argv, const std::function<Verdict(const std::string &folder)> &body)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 1) {
        textOfRecordPath() = std::string(argv[1]) + "/record.txt";
    }
    int result = static_cast<int>(Verdict::NotRun);
    try {
        const Folder folder;
        record().write(hasTrouble() ? "with the disruption" : "without the disruption");
        result = static_cast<int>(body(folder.path()));
    } catch (const std::exception &error) {
        record().write(std::string("could not run: ") + error.what());
    }
    record().write("exit " + std::to_string(result));
    // Threads of the stand-ins still run.
    std::cout.flush();
    ::_exit(result);
}

} // namespace review
