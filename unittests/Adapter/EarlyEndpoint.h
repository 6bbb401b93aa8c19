#pragma once

#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace mulberrywall::platform
{

/// How an endpoint ends a connection after its answer has arrived.
enum class EarlyEnd : std::uint8_t {
    Reset,
    /// Ends its own direction in order before.
    CloseThenReset,
};

/// An endpoint that answers a request whose long body it does not read, and resets the connection once the answer has arrived.
class EarlyEndpoint
{
public:
    /// Returns the answer to the request with this head.
    using Script = std::function<std::string(std::string_view head)>;

    EarlyEndpoint(support::WorkerPool &workers, Script script, EarlyEnd end = EarlyEnd::Reset)
        : acceptor_(workers.context(), boost::asio::ip::tcp::v4()),
          end_(end),
          script_(std::make_shared<const Script>(std::move(script)))
    {
        // Together with the send buffer of the router much shorter than a long body, so that the router is still writing.
        constexpr int receiveBufferBytes = 16 * 1024;
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        accept();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

private:
    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(boost::asio::ip::tcp::socket accepted, std::shared_ptr<const Script> scripted, EarlyEnd scriptedEnd)
            : socket(std::move(accepted)),
              timer(socket.get_executor()),
              script(std::move(scripted)),
              end(scriptedEnd)
        {
        }

        void start()
        {
            boost::asio::async_read_until(socket, received, "\r\n\r\n", [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                if (!error) {
                    const auto begin = boost::asio::buffers_begin(self->received.data());
                    self->write((*self->script)(std::string(begin, begin + static_cast<std::ptrdiff_t>(size))));
                }
            });
        }

        void write(std::string bytes)
        {
            answer = std::move(bytes);
            boost::asio::async_write(
                socket, boost::asio::buffer(answer), [self = shared_from_this()](const boost::system::error_code &, std::size_t) { self->resetOnceArrived(); });
        }

        /// Data that is in flight when a connection is reset may be lost.
        void resetOnceArrived()
        {
            int unacknowledgedBytes = 0;
            if (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledgedBytes) == 0 && unacknowledgedBytes > 0) {
                timer.expires_after(std::chrono::milliseconds(1));
                timer.async_wait([self = shared_from_this()](const boost::system::error_code &) { self->resetOnceArrived(); });
                return;
            }
            boost::system::error_code ignored;
            if (std::exchange(end, EarlyEnd::Reset) == EarlyEnd::CloseThenReset) {
                socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
                resetOnceArrived();
                return;
            }
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::shared_ptr<const Script> script;
        EarlyEnd end;
        boost::asio::streambuf received;
        std::string answer;
    };

    void accept()
    {
        acceptor_.async_accept(
            boost::asio::make_strand(acceptor_.get_executor()), [this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
                if (error) {
                    return;
                }
                std::make_shared<Connection>(std::move(socket), script_, end_)->start();
                accept();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    EarlyEnd end_;
    std::shared_ptr<const Script> script_;
};

} // namespace mulberrywall::platform
