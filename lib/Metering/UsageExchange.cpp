#include "mulberrywall/Metering/UsageExchange.h"

#include "UsageCodec.h"

#include "mulberrywall/Membership/Authenticator.h"
#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Metering/AcknowledgedCounts.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

namespace mulberrywall::metering
{

UsagePeer usagePeerOf(const membership::Member &member)
{
    const auto address = membership::toUdpEndpoint(member.address);
    return {.instance = member.instance, .address = {address.address(), static_cast<std::uint16_t>(address.port() + usagePortOffset)}};
}

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

/// Larger datagrams are truncated by the system, so that their authentication fails.
constexpr std::size_t receiveBufferBytes = 4'096;

class UdpUsageExchange final : public UsageExchange, public std::enable_shared_from_this<UdpUsageExchange>
{
public:
    UdpUsageExchange(asio::io_context &context,
        std::shared_ptr<UsageCounter> counter,
        std::shared_ptr<SharedUsageLedger> ledger,
        UsageExchangeOptions options,
        UsageExchangeHandlers handlers)
        : strand_(asio::make_strand(context)),
          socket_(strand_, options.listen),
          timer_(strand_),
          counter_(std::move(counter)),
          ledger_(std::move(ledger)),
          options_(std::move(options)),
          handlers_(std::move(handlers)),
          buffer_(receiveBufferBytes)
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
        asio::dispatch(strand_, [self = shared_from_this()] {
            if (std::exchange(self->stopped_, true)) {
                return;
            }
            support::logExceptions("send last usage", [&self] {
                self->counter_->closeAllWindows(support::BootClock::now());
                self->sendCounts();
            });
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
    void tick()
    {
        if (stopped_) {
            return;
        }
        support::logExceptions("send usage", [this] { sendCounts(); });
        timer_.expires_after(options_.interval);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->tick();
            }
        });
    }

    void sendCounts()
    {
        const auto now = support::BootClock::now();
        counter_->closeWindows(now);
        logUncounted();
        UsageMessage message = counter_->message(now);
        message.sequence = ++sequence_;
        addWaiting(message.demand);
        const bool demandChanged = message.demand != lastDemand_;
        lastDemand_ = message.demand;
        const std::vector<UsagePeer> candidates = handlers_.candidates();
        forgetOthers(candidates);
        for (const UsagePeer &candidate : candidates) {
            if (candidate.instance == counter_->options().instance) {
                ledger_->record(message, counter_->openWindow(now), now);
                continue;
            }
            UsageMessage part = message;
            part.windows = acknowledged_[candidate.instance].lacking(message.windows);
            if (demandChanged || !part.windows.empty()) {
                send(part, candidate.address);
            }
        }
    }

    void logUncounted()
    {
        const std::uint64_t uncounted = counter_->uncounted();
        if (uncounted > loggedUncounted_) {
            support::log(support::Severity::Error, "requests not counted; too many organisations in one window", {{"requests", uncounted - loggedUncounted_}});
            loggedUncounted_ = uncounted;
        }
    }

    void addWaiting(std::vector<PoolDemand> &demand) const
    {
        if (!handlers_.waiting) {
            return;
        }
        for (const auto &[pool, waiting] : handlers_.waiting()) {
            const auto found = std::find_if(demand.begin(), demand.end(), [&id = pool](const PoolDemand &entry) { return entry.pool == id; });
            if (found != demand.end()) {
                found->waiting = waiting;
            } else if (waiting > 0 && pool.value().size() <= maxNameBytes) {
                demand.push_back({.pool = pool, .waiting = waiting});
            }
        }
    }

    /// Forgets the acknowledgements of routers that are no candidates any more.
    void forgetOthers(std::span<const UsagePeer> candidates)
    {
        std::erase_if(acknowledged_, [candidates](const auto &entry) {
            return std::none_of(candidates.begin(), candidates.end(), [&entry](const UsagePeer &candidate) { return candidate.instance == entry.first; });
        });
    }

    void send(const UsageMessage &message, const udp::endpoint &receiver)
    {
        for (std::vector<std::uint8_t> &datagram : encode(message, options_.maxDatagramBytes)) {
            send(std::move(datagram), receiver);
        }
    }

    void send(std::vector<std::uint8_t> datagram, const udp::endpoint &receiver)
    {
        membership::appendTag(datagram, options_.secret);
        // Errors are ignored: what is not acknowledged is sent again.
        boost::system::error_code ignored;
        socket_.send_to(asio::buffer(datagram), receiver, 0, ignored);
    }

    void receive()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            if (self->stopped_ || error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                support::logExceptions("receive usage", [&] { self->onDatagram(std::span<const std::uint8_t>(self->buffer_).first(size)); });
            }
            self->receive();
        });
    }

    void onDatagram(std::span<const std::uint8_t> bytes)
    {
        const auto payload = membership::verifyTag(bytes, options_.secret);
        const auto datagram = payload ? decodeUsageDatagram(*payload) : std::nullopt;
        if (!datagram) {
            support::log(
                support::Severity::Debug, "dropped a usage datagram that is malformed or not authenticated", {{"sender", sender_.address().to_string()}});
            return;
        }
        if (const auto *message = std::get_if<UsageMessage>(&*datagram)) {
            onMessage(*message);
            return;
        }
        onAcknowledgement(std::get<UsageAcknowledgement>(*datagram));
    }

    void onMessage(const UsageMessage &message)
    {
        if (message.instance == counter_->options().instance) {
            return;
        }
        const auto now = support::BootClock::now();
        counter_->recordRouterClock(message.instance, message.anchoredTime, now);
        const UsageAcknowledgement acknowledgement {.instance = counter_->options().instance,
            .incarnation = counter_->incarnation(),
            .countsIncarnation = message.incarnation,
            .time = counter_->now(now),
            .clocks = static_cast<std::uint16_t>(std::min<unsigned>(counter_->clocks(), std::numeric_limits<std::uint16_t>::max())),
            .windows = ledger_->record(message, counter_->openWindow(now), now)};
        send(encode(acknowledgement), sender_);
    }

    void onAcknowledgement(const UsageAcknowledgement &acknowledgement)
    {
        const auto candidate = acknowledged_.find(acknowledgement.instance);
        if (candidate == acknowledged_.end() || acknowledgement.countsIncarnation != counter_->incarnation()) {
            return;
        }
        candidate->second.record(acknowledgement);
        counter_->recordCandidateClock(acknowledgement.instance, acknowledgement.time, acknowledgement.clocks, support::BootClock::now());
    }

    asio::strand<asio::io_context::executor_type> strand_;
    udp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<UsageCounter> counter_;
    std::shared_ptr<SharedUsageLedger> ledger_;
    UsageExchangeOptions options_;
    UsageExchangeHandlers handlers_;
    std::uint64_t sequence_ = 0;
    std::vector<PoolDemand> lastDemand_;
    std::uint64_t loggedUncounted_ = 0;
    std::map<support::InstanceId, AcknowledgedCounts> acknowledged_;
    udp::endpoint sender_;
    std::vector<std::uint8_t> buffer_;
    bool stopped_ = false;
};

} // namespace

std::shared_ptr<UsageExchange> UsageExchange::create(asio::io_context &context,
    std::shared_ptr<UsageCounter> counter,
    std::shared_ptr<SharedUsageLedger> ledger,
    UsageExchangeOptions options,
    UsageExchangeHandlers handlers)
{
    return std::make_shared<UdpUsageExchange>(context, std::move(counter), std::move(ledger), std::move(options), std::move(handlers));
}

} // namespace mulberrywall::metering
