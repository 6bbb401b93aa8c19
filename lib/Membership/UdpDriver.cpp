#include "mulberrywall/Membership/UdpDriver.h"

#include "mulberrywall/Membership/Authenticator.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v6.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <mutex>

namespace mulberrywall::membership
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::steady_clock;

/// Maximum time to wait until the announcement that this member leaves has been gossiped.
constexpr std::chrono::seconds leaveTimeout {2};

template <typename Endpoint>
SocketAddress addressOf(const Endpoint &endpoint)
{
    const auto ip = endpoint.address();
    const asio::ip::address_v6 v6 = ip.is_v4() ? asio::ip::make_address_v6(asio::ip::v4_mapped, ip.to_v4()) : ip.to_v6();
    return {.ip = v6.to_bytes(), .port = endpoint.port()};
}

asio::ip::address ipOf(const SocketAddress &address)
{
    const asio::ip::address_v6 v6(address.ip);
    if (v6.is_v4_mapped()) {
        return asio::ip::make_address_v4(asio::ip::v4_mapped, v6);
    }
    return v6;
}

class UdpDriverImplementation : public UdpDriver, public std::enable_shared_from_this<UdpDriverImplementation>
{
public:
    UdpDriverImplementation(asio::io_context &context, const UdpDriverOptions &options)
        : strand_(asio::make_strand(context)),
          socket_(strand_, options.listen),
          timer_(strand_),
          secret_(options.secret),
          random_(std::random_device {}())
    {
        socket_.non_blocking(true);
        MembershipOptions protocol = options.protocol;
        if (protocol.self.address == SocketAddress {}) {
            protocol.self.address = toAddress(socket_.local_endpoint());
        }
        localEndpoint_ = socket_.local_endpoint();
        state_ = createState(protocol, steady_clock::now(), random_);
    }

    void start() override
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->receiveNext();
            self->advanceProtocol();
        });
    }

    void stop() override
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->stopped_ = true;
            boost::system::error_code ignored;
            self->socket_.close(ignored);
            self->timer_.cancel();
            self->subscribers_.clear();
        });
    }

    void leave(std::function<void()> handler) override
    {
        asio::post(strand_, [self = shared_from_this(), handler = std::move(handler)] {
            self->leaveDeadline_ = steady_clock::now() + leaveTimeout;
            self->onLeft_ = handler;
            self->perform([](MembershipState &state, TimePoint now, RandomEngine &random) { return membership::leave(state, now, random); });
            self->scheduleNext();
        });
    }

    void announce(GossipItem item) override
    {
        asio::post(strand_, [self = shared_from_this(), item = std::move(item)] {
            self->perform([&item](MembershipState &state, TimePoint now, RandomEngine &) { return membership::announce(state, item, now); });
            self->scheduleNext();
        });
    }

    std::shared_ptr<void> subscribe(ItemHandler handler) override
    {
        auto subscriber = std::make_shared<ItemHandler>(std::move(handler));
        asio::post(strand_, [self = shared_from_this(), weak = std::weak_ptr(subscriber)] { self->subscribers_.push_back(weak); });
        return subscriber;
    }

    udp::endpoint localEndpoint() const override
    {
        return localEndpoint_;
    }
    Member self() const override
    {
        const std::scoped_lock lock(mutex_);
        return state_.self;
    }
    std::vector<Member> liveMembers() const override
    {
        const std::scoped_lock lock(mutex_);
        return membership::liveMembers(state_);
    }
    std::vector<Member> liveMembers(const support::DataCentreId &dataCentre) const override
    {
        const std::scoped_lock lock(mutex_);
        return membership::liveMembers(state_, dataCentre);
    }
    std::uint64_t configurationRevision() const override
    {
        const std::scoped_lock lock(mutex_);
        return state_.configurationRevision;
    }
    bool isLeaving(const support::EndpointId &endpoint, std::uint64_t incarnation) const override
    {
        const std::scoped_lock lock(mutex_);
        return membership::isLeaving(state_, endpoint, incarnation);
    }
    std::vector<PoolLoad> poolLoads(const support::PoolId &pool) const override
    {
        const std::scoped_lock lock(mutex_);
        return membership::poolLoads(state_, pool);
    }
    MembershipCounters counters() const override
    {
        const std::scoped_lock lock(mutex_);
        return state_.counters;
    }

private:
    /// Runs a command of the state machine with the mutex locked, then carries out its output with the mutex unlocked.
    template <typename Command>
    void perform(Command command)
    {
        if (stopped_) {
            return;
        }
        CommandOutput output;
        {
            const std::scoped_lock lock(mutex_);
            output = command(state_, steady_clock::now(), random_);
        }
        for (OutgoingDatagram &datagram : output.datagrams) {
            send(datagram);
        }
        for (const GossipItem &item : output.events) {
            notifySubscribers(item);
        }
    }

    void send(OutgoingDatagram &datagram)
    {
        appendTag(datagram.payload, secret_);
        boost::system::error_code ignored;
        // Send errors are ignored: the protocol tolerates lost datagrams.
        socket_.send_to(asio::buffer(datagram.payload), toUdpEndpoint(datagram.to), 0, ignored);
    }

    void notifySubscribers(const GossipItem &item)
    {
        std::erase_if(subscribers_, [](const auto &subscriber) { return subscriber.expired(); });
        const auto subscribers = subscribers_;
        for (const auto &weak : subscribers) {
            if (const auto subscriber = weak.lock()) {
                (*subscriber)(item);
            }
        }
    }

    void receiveNext()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->onReceive(error, size);
        });
    }

    void onReceive(const boost::system::error_code &error, std::size_t size)
    {
        if (stopped_ || error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            support::logExceptions("receive membership datagram", [&] { handleDatagram(std::span(buffer_).first(size)); });
        }
        receiveNext();
    }

    void handleDatagram(std::span<const std::uint8_t> datagram)
    {
        const auto payload = verifyTag(datagram, secret_);
        if (!payload) {
            const std::scoped_lock lock(mutex_);
            ++state_.counters.unauthenticated;
            return;
        }
        perform(
            [&](MembershipState &state, TimePoint now, RandomEngine &random) { return membership::receive(state, toAddress(sender_), *payload, now, random); });
        scheduleNext();
    }

    void advanceProtocol()
    {
        support::logExceptions("advance membership", [this] {
            perform([](MembershipState &state, TimePoint now, RandomEngine &random) { return advance(state, now, random); });
            completeLeave();
        });
        scheduleNext();
    }

    void scheduleNext()
    {
        if (stopped_) {
            return;
        }
        TimePoint next;
        {
            const std::scoped_lock lock(mutex_);
            next = nextWakeUp(state_);
        }
        if (next == timer_.expiry() && scheduled_) {
            return;
        }
        scheduled_ = true;
        timer_.expires_at(next);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->scheduled_ = false;
                self->advanceProtocol();
            }
        });
    }

    void completeLeave()
    {
        if (!onLeft_) {
            return;
        }
        bool spread = false;
        {
            const std::scoped_lock lock(mutex_);
            spread = areUrgentItemsSent(state_);
        }
        if (spread || steady_clock::now() >= leaveDeadline_) {
            const auto handler = std::exchange(onLeft_, nullptr);
            handler();
        }
    }

    asio::strand<asio::io_context::executor_type> strand_;
    udp::socket socket_;
    asio::steady_timer timer_;
    std::string secret_;
    udp::endpoint localEndpoint_;
    udp::endpoint sender_;
    std::array<std::uint8_t, 2'048> buffer_ {};
    std::vector<std::weak_ptr<ItemHandler>> subscribers_;
    std::function<void()> onLeft_;
    TimePoint leaveDeadline_;
    bool scheduled_ = false;
    bool stopped_ = false;

    /// Guards state_ and random_. No other mutex is locked while it is held.
    mutable std::mutex mutex_;
    MembershipState state_;
    RandomEngine random_;
};

} // namespace

SocketAddress toAddress(const udp::endpoint &endpoint)
{
    return addressOf(endpoint);
}

SocketAddress toAddress(const asio::ip::tcp::endpoint &endpoint)
{
    return addressOf(endpoint);
}

udp::endpoint toUdpEndpoint(const SocketAddress &address)
{
    return {ipOf(address), address.port};
}

asio::ip::tcp::endpoint toTcpEndpoint(const SocketAddress &address)
{
    return {ipOf(address), address.port};
}

std::uint64_t incarnationFromClock()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

std::shared_ptr<UdpDriver> UdpDriver::create(asio::io_context &context, const UdpDriverOptions &options)
{
    return std::make_shared<UdpDriverImplementation>(context, options);
}

} // namespace mulberrywall::membership
