#include "mulberrywall/Permits/LoadExchange.h"

#include "mulberrywall/Membership/Authenticator.h"
#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <tuple>
#include <vector>

namespace mulberrywall::permits
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::steady_clock;

/// Maximum payload of a UDP datagram over IPv4.
constexpr std::size_t maxDatagramBytes = 65'507;
/// The same without the authentication tag.
constexpr std::size_t maxPayloadBytes = maxDatagramBytes - membership::tagBytes;

/// Reports kept to identify the one that a summary includes; it is at most some hundred milliseconds old.
constexpr std::size_t maxSentReports = 20;

std::chrono::milliseconds summaryInterval(const LoadExchangeOptions &options, const LoadRoutes &routes)
{
    const std::chrono::milliseconds forAllReceivers(1'000 * routes.summaryReceivers.size() / options.maxSummariesPerSecond);
    return std::max(options.summaryInterval, forAllReceivers);
}

std::uint64_t makeClockOffset()
{
    // The limit keeps timestamps positive and far below the maximum of a 64-bit number.
    constexpr std::uint64_t maximum = std::uint64_t {1} << 60U;
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1, maximum)(device);
}

class UdpLoadExchange final : public LoadExchange, public std::enable_shared_from_this<UdpLoadExchange>
{
public:
    UdpLoadExchange(asio::io_context &context, PoolTable &pools, LoadExchangeOptions options, LoadExchangeHandlers handlers)
        : strand_(asio::make_strand(context)),
          socket_(strand_, options.listen),
          timer_(strand_),
          pools_(pools),
          options_(std::move(options)),
          handlers_(std::move(handlers)),
          // The sequence starts at the current time, so that datagrams of a restarted process are not taken for older ones.
          sequence_(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1))),
          startedAt_(support::BootClock::now()),
          clockOffset_(makeClockOffset()),
          buffer_(maxDatagramBytes)
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
    void tick()
    {
        if (stopped_) {
            return;
        }
        support::logExceptions("send load", [this] {
            const LoadRoutes routes = handlers_.currentRoutes();
            sendReportIfDue(routes);
            sendSummariesIfDue(routes);
        });
        timer_.expires_after(options_.interval);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->tick();
            }
        });
    }

    [[nodiscard]] RouterLoadReport collectRunningRequests() const
    {
        RouterLoadReport result;
        std::size_t remaining = options_.maxRequests;
        for (const auto &[id, pool] : pools_.pools()) {
            std::vector<policy::PeerRequest> requests = pool->runningRequests();
            std::sort(requests.begin(), requests.end(), [](const policy::PeerRequest &left, const policy::PeerRequest &right) {
                return std::tie(right.pendingPrefillTokens, left.endpoint, left.prefixHash)
                    < std::tie(left.pendingPrefillTokens, right.endpoint, right.prefixHash);
            });
            requests.resize(std::min(requests.size(), remaining));
            remaining -= requests.size();
            if (!requests.empty()) {
                result.emplace_back(id, std::move(requests));
            }
        }
        return result;
    }

    [[nodiscard]] PrefixReport collectNewPrefixes() const
    {
        PrefixReport result;
        for (const auto &[id, pool] : pools_.pools()) {
            std::vector<policy::PeerPrefix> prefixes = pool->newPrefixes();
            if (!prefixes.empty()) {
                result.emplace_back(id, std::move(prefixes));
            }
        }
        return result;
    }

    void sendReportIfDue(const LoadRoutes &routes)
    {
        RouterLoadReport current = collectRunningRequests();
        const auto now = steady_clock::now();
        const bool changed = sentReports_.empty() || current != sentReports_.back().report;
        if (!changed && now - lastReportAt_ < options_.repeatInterval) {
            return;
        }
        lastReportAt_ = now;
        if (sentReports_.size() >= maxSentReports) {
            sentReports_.pop_front();
        }
        sentReports_.push_back({.sentAtMs = makeStamp(support::BootClock::now()), .report = std::move(current)});
        Findings findings = collectFindings(policy::LossSource::Own);
        findings.newPrefixes = collectNewPrefixes();
        for (const membership::Member &peer : routes.reportReceivers) {
            // Aggregators read changes at once; hundreds of routers that passed on the same ones would fill their links.
            const StoreChanges changes = routes.role == LoadRole::Direct ? changesFor(peer, options_.directChangeDelay) : StoreChanges();
            send(peer, sentReports_.back().report, findings, changes);
        }
    }

    void sendSummariesIfDue(const LoadRoutes &routes)
    {
        const auto now = steady_clock::now();
        if (now - lastSummaryAt_ < summaryInterval(options_, routes)) {
            return;
        }
        lastSummaryAt_ = now;
        if (!routes.summaryReceivers.empty()) {
            sendSummaries(routes.summaryReceivers, summarize(policy::SummaryScope::AllRouters, {}), policy::LossSource::Summary);
        }
        if (!routes.totalReceivers.empty()) {
            sendSummaries(routes.totalReceivers, summarize(policy::SummaryScope::DataCentre, options_.dataCentre), policy::LossSource::Report);
        }
    }

    [[nodiscard]] std::vector<PeerLoadSummary> summarize(policy::SummaryScope scope, const support::DataCentreId &dataCentre) const
    {
        PeerLoadSummary summary {.dataCentre = dataCentre};
        for (const auto &[id, pool] : pools_.pools()) {
            summary.pools.emplace_back(id, pool->summarizeLoad(scope));
        }
        return splitSummary(std::move(summary), options_.maxEndpointsPerDatagram);
    }

    void sendSummaries(std::span<const membership::Member> receivers, std::span<const PeerLoadSummary> parts, policy::LossSource farthestLoss)
    {
        const Findings findings = collectFindings(farthestLoss);
        for (const membership::Member &peer : receivers) {
            const StoreChanges changes = changesFor(peer, std::chrono::milliseconds(0));
            for (const PeerLoadSummary &part : parts) {
                send(peer, part, findings, changes);
            }
        }
    }

    /// Returns the changes that the peer lacked when it sent its latest datagram.
    [[nodiscard]] StoreChanges changesFor(const membership::Member &peer, std::chrono::milliseconds minimumAge) const
    {
        const auto latest = lastReceived_.find(peer.instance);
        return latest == lastReceived_.end() ? StoreChanges() : handlers_.changesAfter(latest->second.freshness, minimumAge);
    }

    /// What routers pass on to each other besides their load.
    struct Findings
    {
        std::vector<policy::LostEndpoint> lost;
        SegmentReport segments;
        PrefixReport newPrefixes;
    };

    [[nodiscard]] Findings collectFindings(policy::LossSource farthestLoss) const
    {
        Findings result;
        for (const auto &[id, pool] : pools_.pools()) {
            const std::vector<policy::LostEndpoint> lost = pool->lostEndpoints(farthestLoss);
            result.lost.insert(result.lost.end(), lost.begin(), lost.end());
            std::vector<policy::SegmentEvidence> segments = pool->segmentEvidence();
            if (!segments.empty()) {
                result.segments.emplace_back(id, std::move(segments));
            }
        }
        return result;
    }

    void send(
        const membership::Member &peer, const std::variant<RouterLoadReport, PeerLoadSummary> &load, const Findings &findings, const StoreChanges &changes)
    {
        const auto latest = lastReceived_.find(peer.instance);
        LoadDatagram datagram {.instance = options_.instance,
            .sequence = ++sequence_,
            .sentAtMs = makeStamp(support::BootClock::now()),
            .echoMs = latest == lastReceived_.end() ? 0 : latest->second.sentAtMs,
            .echoHeld = latest == lastReceived_.end() ? std::chrono::milliseconds(0) : timeSince(latest->second.arrivedAt),
            .store = {.freshness = handlers_.storeFreshness(), .changes = changes},
            .lost = findings.lost,
            .segments = findings.segments,
            .newPrefixes = findings.newPrefixes,
            .load = load};
        std::vector<std::uint8_t> bytes = encode(datagram);
        if (bytes.size() > maxPayloadBytes) {
            // The receiver reads changes that do not fit from the store.
            datagram.store.changes = {};
            bytes = encode(datagram);
        }
        membership::appendTag(bytes, options_.secret);
        // Errors are ignored: a datagram that could not be sent is replaced by the next one.
        boost::system::error_code ignored;
        socket_.send_to(asio::buffer(bytes), membership::toUdpEndpoint(peer.peerAddress), 0, ignored);
    }

    void receive()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            if (self->stopped_ || error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                support::logExceptions("receive load", [&] { self->onDatagram(std::span<const std::uint8_t>(self->buffer_).first(size)); });
            }
            self->receive();
        });
    }

    void onDatagram(std::span<const std::uint8_t> bytes)
    {
        const auto payload = membership::verifyTag(bytes, options_.secret);
        auto datagram = payload ? decodeLoadDatagram(*payload) : std::nullopt;
        if (!datagram) {
            support::log(
                support::Severity::Debug, "dropped a load datagram that is malformed or not authenticated", {{"sender", sender_.address().to_string()}});
            return;
        }
        if (datagram->instance == options_.instance || !isNew(*datagram)) {
            return;
        }
        if (const auto echo = timeOfEcho(datagram->echoMs)) {
            handlers_.recordPeerReport(datagram->store, std::min(*echo + datagram->echoHeld, support::BootClock::now()));
        }
        recordLostEndpoints(*datagram);
        recordSegmentEvidence(*datagram);
        if (const auto *report = std::get_if<RouterLoadReport>(&datagram->load)) {
            recordReport(datagram->instance, *report, datagram->newPrefixes);
            return;
        }
        recordSummary(std::get<PeerLoadSummary>(datagram->load), datagram->echoMs);
    }

    void recordLostEndpoints(const LoadDatagram &datagram)
    {
        if (datagram.lost.empty()) {
            return;
        }
        const bool isReport = std::holds_alternative<RouterLoadReport>(datagram.load);
        for (const auto &[id, pool] : pools_.pools()) {
            pool->recordLostEndpoints(datagram.lost, isReport ? policy::LossSource::Report : policy::LossSource::Summary);
        }
    }

    void recordSegmentEvidence(const LoadDatagram &datagram)
    {
        for (const auto &[id, evidence] : datagram.segments) {
            if (const auto pool = pools_.find(id)) {
                pool->recordSegmentEvidence(evidence);
            }
        }
    }

    void recordReport(const support::InstanceId &router, const RouterLoadReport &report, const PrefixReport &newPrefixes)
    {
        for (const auto &[id, pool] : pools_.pools()) {
            pool->recordPeerRequests({.router = router, .requests = requestsIn(&report, id), .prefixes = prefixesIn(newPrefixes, id)});
        }
    }

    void recordSummary(const PeerLoadSummary &summary, std::uint64_t echoMs)
    {
        const RouterLoadReport *own = summary.dataCentre.empty() ? reportSentUpTo(echoMs) : nullptr;
        for (const auto &[id, load] : summary.pools) {
            if (const auto pool = pools_.find(id)) {
                pool->recordPeerSummary({.dataCentre = summary.dataCentre, .part = summary.part, .summary = load, .ownRequests = requestsIn(own, id)});
            }
        }
    }

    static std::vector<policy::PeerRequest> requestsIn(const RouterLoadReport *report, const support::PoolId &pool)
    {
        if (report == nullptr) {
            return {};
        }
        const auto found = std::find_if(report->begin(), report->end(), [&pool](const auto &entry) { return entry.first == pool; });
        return found == report->end() ? std::vector<policy::PeerRequest>() : found->second;
    }

    static std::vector<policy::PeerPrefix> prefixesIn(const PrefixReport &report, const support::PoolId &pool)
    {
        const auto found = std::find_if(report.begin(), report.end(), [&pool](const auto &entry) { return entry.first == pool; });
        return found == report.end() ? std::vector<policy::PeerPrefix>() : found->second;
    }

    /// Returns the latest report that was sent up to the given timestamp of this process, or nullptr.
    [[nodiscard]] const RouterLoadReport *reportSentUpTo(std::uint64_t stamp) const
    {
        const RouterLoadReport *result = nullptr;
        for (const SentReport &sent : sentReports_) {
            if (sent.sentAtMs <= stamp) {
                result = &sent.report;
            }
        }
        return result;
    }

    /// Returns whether the datagram is newer than the latest one of its sender, and records it if so. A lower sequence number
    /// is accepted after a time without datagrams, because a router whose clock was set back restarts with lower numbers.
    bool isNew(const LoadDatagram &datagram)
    {
        LatestDatagram &last = lastReceived_[datagram.instance];
        const auto now = steady_clock::now();
        if (datagram.sequence <= last.sequence && now - last.receivedAt < 2 * options_.repeatInterval) {
            return false;
        }
        last = {.sequence = datagram.sequence,
            .receivedAt = now,
            .arrivedAt = support::BootClock::now(),
            .sentAtMs = datagram.sentAtMs,
            .freshness = datagram.store.freshness};
        return true;
    }

    static std::uint64_t toMilliseconds(support::BootClock::time_point time)
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
    }

    /// Returns the time since an arrival, rounded down so that a time computed with it is never too late.
    static std::chrono::milliseconds timeSince(support::BootClock::time_point arrival)
    {
        return std::chrono::floor<std::chrono::milliseconds>(support::BootClock::now() - arrival);
    }

    /// Returns the timestamp that is sent to other routers for a time on this router's clock.
    [[nodiscard]] std::uint64_t makeStamp(support::BootClock::time_point time) const
    {
        return clockOffset_ + toMilliseconds(time);
    }

    /// Returns the time at which this process sent the echoed timestamp, or nothing if an earlier process of this router sent
    /// it, whose clock may have differed.
    [[nodiscard]] std::optional<support::BootClock::time_point> timeOfEcho(std::uint64_t stamp) const
    {
        // Checked before the conversion to the clock's unit, which timestamps of other processes would overflow.
        const std::uint64_t time = stamp - clockOffset_;
        if (time < toMilliseconds(startedAt_) || time > toMilliseconds(support::BootClock::now())) {
            return std::nullopt;
        }
        return support::BootClock::time_point(std::chrono::milliseconds(time));
    }

    struct SentReport
    {
        std::uint64_t sentAtMs = 0;
        RouterLoadReport report;
    };

    /// Header of the latest datagram received from a router.
    struct LatestDatagram
    {
        std::uint64_t sequence = 0;
        steady_clock::time_point receivedAt;
        /// The same time on the clock that advances during a suspension.
        support::BootClock::time_point arrivedAt;
        std::uint64_t sentAtMs = 0;
        StoreFreshness freshness;
    };

    asio::strand<asio::io_context::executor_type> strand_;
    udp::socket socket_;
    asio::steady_timer timer_;
    PoolTable &pools_;
    LoadExchangeOptions options_;
    LoadExchangeHandlers handlers_;
    std::uint64_t sequence_;
    support::BootClock::time_point startedAt_;
    /// Random offset that distinguishes the timestamps of this process from those of all others.
    std::uint64_t clockOffset_;
    /// Latest reports, oldest first.
    std::deque<SentReport> sentReports_;
    steady_clock::time_point lastReportAt_;
    steady_clock::time_point lastSummaryAt_;
    std::map<support::InstanceId, LatestDatagram> lastReceived_;
    udp::endpoint sender_;
    std::vector<std::uint8_t> buffer_;
    bool stopped_ = false;
};

} // namespace

std::shared_ptr<LoadExchange> LoadExchange::create(asio::io_context &context, PoolTable &pools, LoadExchangeOptions options, LoadExchangeHandlers handlers)
{
    return std::make_shared<UdpLoadExchange>(context, pools, std::move(options), std::move(handlers));
}

} // namespace mulberrywall::permits
