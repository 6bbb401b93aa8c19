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

/// Forwards datagrams. Each client gets its own socket towards the target, so that replies can be
/// sent back to that client.
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
                const ClientFlow &flow = self->flowFor(self->sender_);
                self->forward(Direction::ToTarget, std::string(self->buffer_.data(), size), flow.socket, self->target_, self->sender_.address());
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
        faults_.perSource[source] = faults;
    }
    [[nodiscard]] const RouteCounts &counts() const override
    {
        return counts_;
    }

private:
    struct ClientFlow
    {
        std::shared_ptr<udp::socket> socket;
        std::shared_ptr<std::array<char, maxDatagramBytes>> buffer;
    };

    const ClientFlow &flowFor(const udp::endpoint &client)
    {
        const auto found = flows_.find(client);
        if (found != flows_.end()) {
            return found->second;
        }
        ClientFlow flow {.socket = std::make_shared<udp::socket>(context_, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
            .buffer = std::make_shared<std::array<char, maxDatagramBytes>>()};
        receiveFromTarget(flow, client);
        return flows_.emplace(client, std::move(flow)).first->second;
    }

    void receiveFromTarget(const ClientFlow &flow, const udp::endpoint &client)
    {
        flow.socket->async_receive(asio::buffer(*flow.buffer), [self = shared_from_this(), flow, client](const error_code &error, std::size_t size) {
            if (!error) {
                const std::shared_ptr<udp::socket> socket(self, &self->socket_);
                self->forward(Direction::ToClient, std::string(flow.buffer->data(), size), socket, client, client.address());
            }
            self->receiveFromTarget(flow, client);
        });
    }

    void forward(
        Direction direction, std::string data, const std::shared_ptr<udp::socket> &socket, const udp::endpoint &receiver, const asio::ip::address &source)
    {
        const Faults &faults = faults_.forSource(source);
        const auto index = static_cast<std::size_t>(direction);
        ++counts_.datagrams;
        const bool lost = std::uniform_real_distribution<double>(0.0, 1.0)(random_) < faults.dropShare;
        if (lost || faults.cut || faults.discard[index]) {
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
    std::map<udp::endpoint, ClientFlow> flows_;
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
