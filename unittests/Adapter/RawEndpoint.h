#pragma once

#include "EndpointBytes.h"

#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::platform
{

/// What an endpoint does with the connection after a write.
enum class AfterWrite : std::uint8_t {
    Keep,
    /// Ends the connection in order, so that the caller has received all bytes.
    Close,
    Reset,
};

/// Bytes that an endpoint writes, after a pause.
struct Write
{
    std::chrono::milliseconds pause {0};
    std::string bytes;
    AfterWrite then = AfterWrite::Keep;
};

/// An endpoint that answers a request on a kept connection with the writes that the script returns for its id.
class RawEndpoint
{
public:
    using Script = std::function<std::vector<Write>(const std::string &id)>;

    RawEndpoint(support::WorkerPool &workers, Script script)
        : acceptor_(workers.context(), {boost::asio::ip::address_v4::loopback(), 0}),
          script_(std::make_shared<Script>(std::move(script)))
    {
        accept();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

private:
    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(boost::asio::ip::tcp::socket accepted, std::shared_ptr<Script> scripted)
            : socket(std::move(accepted)),
              timer(socket.get_executor()),
              script(std::move(scripted))
        {
        }

        void readRequest()
        {
            boost::asio::async_read_until(socket, received, "\r\n\r\n", [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                if (error) {
                    return;
                }
                const auto begin = boost::asio::buffers_begin(self->received.data());
                const std::string head(begin, begin + static_cast<std::ptrdiff_t>(size));
                self->received.consume(size);
                self->write((*self->script)(requestIdIn(head)), 0);
                self->readRequest();
            });
        }

        void write(const std::vector<Write> &writes, std::size_t index)
        {
            if (index == writes.size()) {
                return;
            }
            timer.expires_after(writes[index].pause);
            timer.async_wait([self = shared_from_this(), writes, index](const boost::system::error_code &) {
                boost::asio::async_write(
                    self->socket, boost::asio::buffer(writes[index].bytes), [self, writes, index](const boost::system::error_code &, std::size_t) {
                        self->finishWrite(writes[index].then);
                        self->write(writes, index + 1);
                    });
            });
        }

        void finishWrite(AfterWrite then)
        {
            boost::system::error_code ignored;
            switch (then) {
            case AfterWrite::Keep:
                return;
            case AfterWrite::Close:
                socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
                return;
            case AfterWrite::Reset:
                // Closing a socket without lingering resets its connection.
                socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
                return;
            }
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::shared_ptr<Script> script;
        boost::asio::streambuf received;
    };

    void accept()
    {
        acceptor_.async_accept(
            boost::asio::make_strand(acceptor_.get_executor()), [this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
                if (error) {
                    return;
                }
                std::make_shared<Connection>(std::move(socket), script_)->readRequest();
                accept();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Script> script_;
};

} // namespace mulberrywall::platform
