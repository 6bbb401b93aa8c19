#include "FaultProxy/Route.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <string>
#include <utility>

namespace mulberrywall::standin
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace
{

constexpr std::size_t maxDatagramBytes = 65'536;

/// Forwards datagrams; each client gets a socket of its own, on which the target's replies return.
class DatagramRoute final : public Route, public std::enable_shared_from_this<DatagramRoute>
{
public:
    DatagramRoute(asio::io_context &context, std::uint16_t port, const udp::endpoint &target, std::uint64_t seed)
        : context_(context),
          socket_(context, udp::endpoint(asio::ip::address_v4::loopback(), port)),
          target_(target),
          random_(seed)
    {
    }

    void receiveFromClients()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_, [self = shared_from_this()](const error_code &error, std::size_t size) {
            if (!error) {
                const Peer &peer = self->peerFor(self->sender_);
                self->forward(Direction::ToTarget, std::string(self->buffer_.data(), size), peer.socket, self->target_, self->sender_.address());
            }
            self->receiveFromClients();
        });
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return socket_.local_endpoint().port();
    }
    void setFaults(const Faults &faults) override
    {
        faults_.all = faults;
    }
    void setFaults(const asio::ip::address &source, const Faults &faults) override
    {
        faults_.bySource[source] = faults;
    }
    [[nodiscard]] const RouteCounts &counts() const override
    {
        return counts_;
    }

private:
    struct Peer
    {
        std::shared_ptr<udp::socket> socket;
        std::shared_ptr<std::array<char, maxDatagramBytes>> buffer;
    };

    const Peer &peerFor(const udp::endpoint &client)
    {
        const auto found = peers_.find(client);
        if (found != peers_.end()) {
            return found->second;
        }
        Peer peer {.socket = std::make_shared<udp::socket>(context_, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
            .buffer = std::make_shared<std::array<char, maxDatagramBytes>>()};
        receiveFromTarget(peer, client);
        return peers_.emplace(client, std::move(peer)).first->second;
    }

    void receiveFromTarget(const Peer &peer, const udp::endpoint &client)
    {
        peer.socket->async_receive(asio::buffer(*peer.buffer), [self = shared_from_this(), peer, client](const error_code &error, std::size_t size) {
            if (!error) {
                const std::shared_ptr<udp::socket> socket(self, &self->socket_);
                self->forward(Direction::ToClient, std::string(peer.buffer->data(), size), socket, client, client.address());
            }
            self->receiveFromTarget(peer, client);
        });
    }

    void forward(
        Direction direction, std::string data, const std::shared_ptr<udp::socket> &socket, const udp::endpoint &receiver, const asio::ip::address &source)
    {
        const Faults &faults = faults_.of(source);
        const auto index = static_cast<std::size_t>(direction);
        ++counts_.datagrams;
        const bool lost = std::uniform_real_distribution<double>(0.0, 1.0)(random_) < faults.dropShare;
        if (lost || faults.cut || faults.swallow[index]) {
            ++counts_.datagramsLost;
            return;
        }
        counts_.bytes[index] += data.size();
        if (faults.delay.count() == 0) {
            error_code ignored;
            socket->send_to(asio::buffer(data), receiver, 0, ignored);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(context_, faults.delay);
        timer->async_wait([timer, socket, receiver, data = std::move(data)](const error_code &) {
            error_code ignored;
            socket->send_to(asio::buffer(data), receiver, 0, ignored);
        });
    }

    asio::io_context &context_;
    udp::socket socket_;
    udp::endpoint target_;
    udp::endpoint sender_;
    std::array<char, maxDatagramBytes> buffer_ {};
    std::map<udp::endpoint, Peer> peers_;
    std::mt19937_64 random_;
    RouteFaults faults_;
    RouteCounts counts_;
};

} // namespace

std::shared_ptr<Route> makeDatagramRoute(asio::io_context &context, std::uint16_t port, const udp::endpoint &target, std::uint64_t seed)
{
    auto route = std::make_shared<DatagramRoute>(context, port, target, seed);
    route->receiveFromClients();
    return route;
}

} // namespace mulberrywall::standin
