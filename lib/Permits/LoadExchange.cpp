#include "mulberrywall/Permits/LoadExchange.h"

#include "mulberrywall/Membership/Authenticator.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace mulberrywall::permits
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::steady_clock;

constexpr std::size_t maxDatagramBytes = 8 * 1024;

class UdpLoadExchange final : public LoadExchange, public std::enable_shared_from_this<UdpLoadExchange>
{
public:
    UdpLoadExchange(asio::io_context &context, PoolTable &pools, LoadExchangeOptions options, PeerAddresses peers)
        : strand_(asio::make_strand(context)),
          socket_(strand_, options.listen),
          timer_(strand_),
          pools_(pools),
          options_(std::move(options)),
          peers_(std::move(peers)),
          // A restarted process must not be taken for an older one.
          sequence_(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1)))
    {
        socket_.non_blocking(true);
    }

    void start() override
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->receive();
            self->tick();
        });
    }

    void stop() override
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->stopped_ = true;
            self->timer_.cancel();
            boost::system::error_code ignored;
            self->socket_.close(ignored);
        });
    }

    [[nodiscard]] udp::endpoint localEndpoint() const override
    {
        return socket_.local_endpoint();
    }

private:
    using PoolRequests = std::vector<std::pair<support::PoolId, std::vector<policy::PeerRequest>>>;

    void tick()
    {
        if (stopped_) {
            return;
        }
        sendIfDue();
        timer_.expires_after(options_.interval);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->tick();
            }
        });
    }

    [[nodiscard]] PoolRequests collect() const
    {
        PoolRequests result;
        std::size_t room = options_.maxRequests;
        for (const auto &[id, pool] : pools_.pools()) {
            std::vector<policy::PeerRequest> requests = pool->runningRequests();
            std::sort(requests.begin(), requests.end(), [](const policy::PeerRequest &left, const policy::PeerRequest &right) {
                return std::tie(right.unreadTokens, left.endpoint, left.prefixHash) < std::tie(left.unreadTokens, right.endpoint, right.prefixHash);
            });
            requests.resize(std::min(requests.size(), room));
            room -= requests.size();
            if (!requests.empty()) {
                result.emplace_back(id, std::move(requests));
            }
        }
        return result;
    }

    void sendIfDue()
    {
        PoolRequests current = collect();
        const auto now = steady_clock::now();
        if (current == sent_ && now - sentAt_ < options_.repeatInterval) {
            return;
        }
        sent_ = std::move(current);
        sentAt_ = now;
        std::vector<std::uint8_t> datagram = encode(LoadReport {.instance = options_.instance, .sequence = ++sequence_, .pools = sent_});
        membership::appendTag(datagram, options_.secret);
        for (const udp::endpoint &peer : peers_()) {
            // A report that the system does not take is replaced by the next one.
            boost::system::error_code ignored;
            socket_.send_to(asio::buffer(datagram), peer, 0, ignored);
        }
    }

    void receive()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            if (self->stopped_ || error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                self->onDatagram(std::span<const std::uint8_t>(self->buffer_).first(size));
            }
            self->receive();
        });
    }

    void onDatagram(std::span<const std::uint8_t> datagram)
    {
        const auto payload = membership::verifyTag(datagram, options_.secret);
        auto report = payload ? decodeLoadReport(*payload) : std::nullopt;
        if (!report) {
            support::log(support::Severity::Debug, "dropped a load report that is not authentic or malformed", {{"sender", sender_.address().to_string()}});
            return;
        }
        if (report->instance == options_.instance || !isNew(report->instance, report->sequence)) {
            return;
        }
        for (const auto &[id, pool] : pools_.pools()) {
            const auto found = std::find_if(report->pools.begin(), report->pools.end(), [&id = id](const auto &entry) { return entry.first == id; });
            pool->recordPeerRequests(
                {.router = report->instance, .requests = found == report->pools.end() ? std::vector<policy::PeerRequest>() : std::move(found->second)});
        }
    }

    /// A router whose clock was set back starts again with lower numbers, after the time that its restart takes.
    bool isNew(const support::InstanceId &router, std::uint64_t sequence)
    {
        LastReport &last = lastReports_[router];
        const auto now = steady_clock::now();
        if (sequence <= last.sequence && now - last.receivedAt < 2 * options_.repeatInterval) {
            return false;
        }
        last = {.sequence = sequence, .receivedAt = now};
        return true;
    }

    struct LastReport
    {
        std::uint64_t sequence = 0;
        steady_clock::time_point receivedAt;
    };

    asio::strand<asio::io_context::executor_type> strand_;
    udp::socket socket_;
    asio::steady_timer timer_;
    PoolTable &pools_;
    LoadExchangeOptions options_;
    PeerAddresses peers_;
    std::uint64_t sequence_;
    PoolRequests sent_;
    steady_clock::time_point sentAt_;
    std::map<support::InstanceId, LastReport> lastReports_;
    udp::endpoint sender_;
    std::array<std::uint8_t, maxDatagramBytes> buffer_ {};
    bool stopped_ = false;
};

} // namespace

std::shared_ptr<LoadExchange> LoadExchange::create(asio::io_context &context, PoolTable &pools, LoadExchangeOptions options, PeerAddresses peers)
{
    return std::make_shared<UdpLoadExchange>(context, pools, std::move(options), std::move(peers));
}

} // namespace mulberrywall::permits
