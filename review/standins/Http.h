#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Header fields in the order in which they were received or are to be sent.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with the name, without regard to case, or an empty view.
[[nodiscard]] std::string_view headerOf(const Headers &headers, std::string_view name);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

/// An IPv4 loopback address and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const;
};

/// A blocking TCP connection. Not thread-safe.
class Connection
{
public:
    explicit Connection(int descriptor);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    Connection(Connection &&) = delete;
    Connection &operator=(Connection &&) = delete;
    ~Connection();

    /// Returns nullptr if the connection could not be made within a second.
    static std::unique_ptr<Connection> open(const Address &address);

    /// Sends all bytes. Returns false if the peer has closed or reset the connection.
    bool send(std::string_view bytes);
    /// Appends received bytes to the buffer. Returns the number of bytes, 0 at the end of the stream, -1 after an error or the timeout.
    int receive(milliseconds timeout);
    /// Reads a request with a length or in chunks. Returns false if the connection ends before it is complete.
    bool readRequest(Request &request);
    void close();
    /// Closes the connection with a reset instead of an orderly end.
    void reset();
    /// Ends the sending direction in order.
    void endSending();
    /// Makes the blocking calls of other threads return, as after the end of the peer.
    void interrupt();
    /// The same, and the connection is closed with a reset.
    void interruptAndReset();

    [[nodiscard]] std::string &buffer();
    /// Returns true once the peer has closed or reset the connection. Bytes that were received stay unread.
    [[nodiscard]] bool isClosedByPeer() const;

private:
    bool readHeader(std::string &startLine, Headers &headers);
    bool readBody(const Headers &headers, std::string &body);
    bool fill(std::size_t bytes);

    /// Guards closing the descriptor against interrupt.
    std::mutex mutex_;
    int descriptor_;
    std::string buffer_;
};

/// What a client has received in response to one request.
struct Reply
{
    bool connected = false;
    /// The response has ended as its framing says.
    bool complete = false;
    unsigned status = 0;
    Headers headers;
    std::string body;
    milliseconds duration {0};
    /// How an incomplete response ended.
    std::string failure;
};

/// Sends the bytes of a request on the connection and reads the response.
Reply exchangeBytes(Connection &connection, std::string_view request, milliseconds timeout);
/// Sends the request on the connection and reads the response.
Reply exchange(Connection &connection, const Request &request, milliseconds timeout);
/// The same on a new connection.
Reply exchange(const Address &address, const Request &request, milliseconds timeout);

/// Renders the head and the body; adds a length if there is a body or the method is POST.
[[nodiscard]] std::string render(const Request &request);

/// Accepts connections on a port of a loopback address, each served by a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;

    /// Listens on a port of the host; port 0 takes a free one. A receive buffer of 0 keeps the default size.
    Listener(const std::string &host, Serve serve, int receiveBufferBytes = 0, std::uint16_t port = 0);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    Listener(Listener &&) = delete;
    Listener &operator=(Listener &&) = delete;
    /// Interrupts the connections and waits for their threads.
    ~Listener();

    [[nodiscard]] const Address &address() const;
    /// Accepts no more connections; later ones are refused. Open ones stay.
    void close();
    /// Ends the open connections with a reset.
    void resetConnections();

private:
    void accept();

    int descriptor_;
    Address address_;
    Serve serve_;
    std::mutex mutex_;
    bool closed_ = false;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::thread> serving_;
    std::thread thread_;
};

/// Returns a port of the host that was free just now.
[[nodiscard]] std::uint16_t freePort(const std::string &host);

} // namespace review
