#pragma once

#include "EndpointBytes.h"

#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace mulberrywall::platform
{

/// Bytes that an endpoint sends in place of a response: a start, and a part that it repeats until the router closes.
struct EndlessBytes
{
    std::string name;
    std::string target;
    /// "{id}" stands for the id of the request.
    std::string start;
    std::string repeated;
};

/// An endpoint that reads the start of a request, ignores the rest and sends bytes without end on each connection.
class EndlessEndpoint
{
public:
    EndlessEndpoint(support::WorkerPool &workers, const EndlessBytes &bytes)
        : acceptor_(workers.context(), {boost::asio::ip::address_v4::loopback(), 0}),
          state_(std::make_shared<State>())
    {
        constexpr std::size_t writeBytes = 64 * 1024;
        state_->start = bytes.start;
        while (state_->repeated.size() < writeBytes) {
            state_->repeated += bytes.repeated;
        }
        accept();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }
    [[nodiscard]] std::size_t sentBytes() const
    {
        return state_->sentBytes;
    }
    [[nodiscard]] bool isClosed() const
    {
        return state_->closed > 0;
    }

private:
    struct State
    {
        std::string start;
        std::string repeated;
        std::atomic<std::size_t> sentBytes = 0;
        std::atomic<unsigned> closed = 0;
    };

    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(boost::asio::ip::tcp::socket accepted, std::shared_ptr<State> owner)
            : socket(std::move(accepted)),
              state(std::move(owner))
        {
        }

        void start()
        {
            socket.async_read_some(boost::asio::buffer(request), [self = shared_from_this()](const boost::system::error_code &, std::size_t size) {
                self->startBytes = self->state->start;
                const std::size_t placeholder = self->startBytes.find("{id}");
                if (placeholder != std::string::npos) {
                    self->startBytes.replace(placeholder, 4, requestIdIn({self->request.data(), size}));
                }
                self->send(self->startBytes);
            });
        }

        void send(const std::string &bytes)
        {
            boost::asio::async_write(socket, boost::asio::buffer(bytes), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                self->state->sentBytes += size;
                if (error) {
                    ++self->state->closed;
                    return;
                }
                self->send(self->state->repeated);
            });
        }

        boost::asio::ip::tcp::socket socket;
        std::shared_ptr<State> state;
        std::string startBytes;
        std::array<char, 1024> request {};
    };

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            std::make_shared<Connection>(std::move(socket), state_)->start();
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<State> state_;
};

} // namespace mulberrywall::platform
