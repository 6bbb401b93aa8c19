#include "mulberrywall/Router/PermitPeerGroup.h"

#include "mulberrywall/Router/QuarantineExchange.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace mulberrywall::router
{

std::shared_ptr<PermitPeerGroup> PermitPeerGroup::create(
    boost::asio::io_context &context, permits::PoolTable &pools, const PermitPeerGroupOptions &options, PermitPeerGroupHandlers handlers)
{
    auto group = std::make_shared<PermitPeerGroup>(context, pools, options, std::move(handlers));
    group->bind();
    return group;
}

PermitPeerGroup::PermitPeerGroup(
    boost::asio::io_context &context, permits::PoolTable &pools, const PermitPeerGroupOptions &options, PermitPeerGroupHandlers handlers)
    : context_(context),
      pools_(pools),
      options_(options),
      handlers_(std::move(handlers)),
      quarantineTimer_(context)
{
}

/// Binds the peer service before the membership, which announces the port of the peer service. No peer
/// connects before that announcement.
void PermitPeerGroup::bind()
{
    const std::uint64_t incarnation = membership::incarnationFromClock();
    permits::RoutedPermitOptions routed {
        .ownership = {.instance = options_.instance, .dataCentre = options_.dataCentre},
        .peers = {.listen = options_.peerListen, .secret = options_.secret, .instance = options_.instance, .incarnation = incarnation},
    };
    permits_ = permits::RoutedPermits::create(context_, pools_, view(), std::move(routed), handlers_.provideConfiguration);

    membership::UdpDriverOptions driver {.listen = options_.membershipListen, .secret = options_.secret};
    driver.protocol.self.instance = options_.instance;
    driver.protocol.self.dataCentre = options_.dataCentre;
    driver.protocol.self.incarnation = incarnation;
    driver.protocol.self.peerAddress = membership::toAddress(options_.peerAdvertise.value_or(permits_->peers().localEndpoint()));
    if (options_.membershipAdvertise) {
        driver.protocol.self.address = membership::toAddress(*options_.membershipAdvertise);
    }
    for (const auto &seed : options_.seeds) {
        driver.protocol.seeds.push_back(membership::toAddress(seed));
    }
    membership_ = membership::UdpDriver::create(context_, driver);
}

permits::MembershipView PermitPeerGroup::view()
{
    const std::weak_ptr<PermitPeerGroup> weak = weak_from_this();
    const auto driver = [weak] {
        const auto self = weak.lock();
        return self ? self->membership_ : nullptr;
    };
    return {
        .liveMembers =
            [driver] {
                const auto membership = driver();
                return membership ? membership->liveMembers() : std::vector<membership::Member>();
            },
        .poolLoads =
            [driver](const support::PoolId &pool) {
                const auto membership = driver();
                return membership ? membership->poolLoads(pool) : std::vector<membership::PoolLoad>();
            },
        .announceLoad =
            [driver](membership::PoolLoad load) {
                if (const auto membership = driver()) {
                    membership->announce(std::move(load));
                }
            },
    };
}

void PermitPeerGroup::start()
{
    subscription_ = membership_->subscribe([weak = weak_from_this()](const membership::GossipItem &item) {
        if (const auto self = weak.lock()) {
            self->onItem(item);
        }
    });
    membership_->start();
    permits_->start();
    announceQuarantine();
    support::log(support::Severity::Info, "listening", {{"listener", "peer"}, {"port", permits_->peers().localEndpoint().port()}});
    support::log(support::Severity::Info, "listening", {{"listener", "membership"}, {"port", membership_->localEndpoint().port()}});
}

void PermitPeerGroup::onItem(const membership::GossipItem &item)
{
    if (const auto *member = std::get_if<membership::Member>(&item)) {
        support::log(support::Severity::Info,
            "member changed",
            {{"member", member->instance.value()}, {"dataCentre", member->dataCentre.value()}, {"live", membership::isLive(member->state)}});
        permits_->membershipChanged();
        return;
    }
    if (const auto *revision = std::get_if<membership::ConfigurationRevision>(&item)) {
        handlers_.revisionAnnounced(revision->revision);
        return;
    }
    if (const auto *leaving = std::get_if<membership::LeavingEndpoint>(&item)) {
        handlers_.endpointLeaving(leaving->endpoint, leaving->incarnation);
        return;
    }
    if (const auto *quarantined = std::get_if<membership::QuarantinedFingerprint>(&item)) {
        recordQuarantinedRequest(pools_, *quarantined);
    }
}

void PermitPeerGroup::announceQuarantine()
{
    announceQuarantinedRequests(pools_, *membership_);
    quarantineTimer_.expires_after(options_.quarantineInterval);
    quarantineTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->stopped_) {
            self->announceQuarantine();
        }
    });
}

void PermitPeerGroup::configurationChanged(std::uint64_t revision)
{
    if (revision > 0) {
        membership_->announce(membership::ConfigurationRevision {.revision = revision});
    }
    permits_->membershipChanged();
}

void PermitPeerGroup::announceLeaving(const support::EndpointId &endpoint, std::uint64_t incarnation)
{
    // The wall clock orders the announcements of one endpoint, because its incarnations are names
    // without an order.
    membership_->announce(membership::LeavingEndpoint {.endpoint = endpoint, .version = membership::incarnationFromClock(), .incarnation = incarnation});
}

void PermitPeerGroup::fetchConfiguration(std::uint64_t minimumRevision, std::function<void(std::optional<permits::ConfigurationDocument>)> handler)
{
    std::vector<permits::PeerAddress> peers;
    for (const membership::Member &member : membership_->liveMembers()) {
        if (member.instance != options_.instance) {
            peers.push_back({.instance = member.instance, .address = membership::toTcpEndpoint(member.peerAddress)});
        }
    }
    // A random order distributes the requests after a change over the routers that already have the
    // revision.
    thread_local std::minstd_rand random(std::random_device {}());
    std::shuffle(peers.begin(), peers.end(), random);
    queryNextPeer(minimumRevision, std::move(peers), std::move(handler));
}

void PermitPeerGroup::queryNextPeer(
    std::uint64_t minimumRevision, std::vector<permits::PeerAddress> peers, std::function<void(std::optional<permits::ConfigurationDocument>)> handler)
{
    if (peers.empty() || stopped_) {
        boost::asio::post(context_, [handler = std::move(handler)] { handler(std::nullopt); });
        return;
    }
    const permits::PeerAddress peer = peers.back();
    peers.pop_back();
    permits_->peers().fetchConfiguration(peer,
        minimumRevision,
        [self = shared_from_this(), minimumRevision, peers = std::move(peers), handler = std::move(handler)](
            permits::PeerCallResult<permits::ConfigurationDocument> result) mutable {
            auto *document = std::get_if<permits::ConfigurationDocument>(&result);
            if (document != nullptr && document->revision >= minimumRevision && document->revision > 0) {
                handler(std::move(*document));
                return;
            }
            self->queryNextPeer(minimumRevision, std::move(peers), std::move(handler));
        });
}

void PermitPeerGroup::releaseOwnership()
{
    permits_->releaseOwnership();
}

void PermitPeerGroup::leave(std::function<void()> handler)
{
    membership_->leave(std::move(handler));
}

void PermitPeerGroup::stop()
{
    stopped_ = true;
    subscription_.reset();
    permits_->stop();
    membership_->stop();
}

permits::PermitSource PermitPeerGroup::source()
{
    return permits_->source();
}

std::vector<membership::Member> PermitPeerGroup::liveMembers() const
{
    return membership_->liveMembers();
}

std::vector<membership::Member> PermitPeerGroup::liveMembers(const support::DataCentreId &dataCentre) const
{
    return membership_->liveMembers(dataCentre);
}

support::InstanceId PermitPeerGroup::ownerOf(const support::PoolId &pool) const
{
    return permits_->ownership().currentOwner(pool);
}

bool PermitPeerGroup::ownsPool(const support::PoolId &pool) const
{
    return ownerOf(pool) == options_.instance;
}

membership::MembershipCounters PermitPeerGroup::membershipCounters() const
{
    return membership_->counters();
}

permits::PeerRpcCounters PermitPeerGroup::peerCounters()
{
    return permits_->peers().counters();
}

} // namespace mulberrywall::router
