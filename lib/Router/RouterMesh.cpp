#include "mulberrywall/Router/RouterMesh.h"

#include "mulberrywall/Router/SuspectExchange.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <utility>
#include <variant>

namespace mulberrywall::router
{

/// Interval at which the store is asked for the secret until it answers.
static constexpr std::chrono::milliseconds secretRetryInterval {1'000};
static constexpr std::chrono::milliseconds suspectInterval {1'000};

RouterMesh::RouterMesh(
    boost::asio::io_context &context, permits::PoolTable &pools, RouterMeshOptions options, AgreeOnValue agreeOnSecret, MeshHandlers handlers)
    : context_(context),
      pools_(pools),
      options_(std::move(options)),
      agreeOnSecret_(std::move(agreeOnSecret)),
      handlers_(std::move(handlers)),
      timer_(context)
{
}

void RouterMesh::start()
{
    askForSecret();
}

void RouterMesh::askForSecret()
{
    agreeOnSecret_(support::makeRandomId(), [self = shared_from_this()](std::optional<std::string> secret) {
        boost::asio::post(self->context_, [self, secret = std::move(secret)] {
            if (self->stopped_) {
                return;
            }
            if (secret) {
                self->join(*secret);
                return;
            }
            self->timer_.expires_after(secretRetryInterval);
            self->timer_.async_wait([self](const boost::system::error_code &error) {
                if (!error && !self->stopped_) {
                    self->askForSecret();
                }
            });
        });
    });
}

void RouterMesh::join(const std::string &secret)
{
    try {
        loads_ = permits::LoadExchange::create(
            context_, pools_, {.instance = options_.instance, .listen = options_.loadListen, .secret = secret}, makeLoadHandlers());
        membership::UdpDriverOptions driver {.listen = options_.membershipListen, .secret = secret};
        driver.protocol.self.instance = options_.instance;
        driver.protocol.self.dataCentre = options_.dataCentre;
        driver.protocol.self.processorPercent = options_.processorPercent;
        driver.protocol.self.incarnation = membership::incarnationFromClock();
        // The members of a mesh have no peer service; the address is that of the load exchange.
        driver.protocol.self.peerAddress = membership::toAddress(loads_->localEndpoint());
        for (const auto &seed : options_.seeds) {
            driver.protocol.seeds.push_back(membership::toAddress(seed));
        }
        membership_ = membership::UdpDriver::create(context_, driver);
    } catch (const boost::system::system_error &error) {
        support::log(support::Severity::Error, "could not join the other routers; serving alone", {{"reason", error.what()}});
        loads_ = nullptr;
        return;
    }
    subscription_ = membership_->subscribe([weak = weak_from_this()](const membership::GossipItem &item) {
        if (const auto self = weak.lock()) {
            self->onItem(item);
        }
    });
    membership_->start();
    loads_->start();
    exchangeSuspects();
    support::log(support::Severity::Info, "joined the other routers", {{"port", membership_->localEndpoint().port()}});
}

void RouterMesh::onItem(const membership::GossipItem &item)
{
    if (const auto *member = std::get_if<membership::Member>(&item)) {
        membersChanged_ = true;
        support::log(support::Severity::Info,
            "member changed",
            {{"member", member->instance.value()}, {"dataCentre", member->dataCentre.value()}, {"live", membership::isLive(member->state)}});
        return;
    }
    if (const auto *suspect = std::get_if<membership::QuarantinedFingerprint>(&item)) {
        recordQuarantineEntry(pools_, *suspect);
    }
}

void RouterMesh::exchangeSuspects()
{
    announceSuspects(pools_, *membership_);
    timer_.expires_after(suspectInterval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->stopped_) {
            self->exchangeSuspects();
        }
    });
}

permits::LoadExchangeHandlers RouterMesh::makeLoadHandlers()
{
    return {.currentRoutes =
                [weak = weak_from_this()] {
                    const auto self = weak.lock();
                    return self ? self->currentRoutes() : permits::LoadRoutes();
                },
        .storeFreshness = handlers_.storeFreshness,
        .recordPeerFreshness = handlers_.recordPeerFreshness};
}

static FollowMode followModeOf(permits::LoadRole role)
{
    switch (role) {
    case permits::LoadRole::Direct:
        return FollowMode::Independent;
    case permits::LoadRole::Aggregator:
        return FollowMode::Relayed;
    case permits::LoadRole::Reporter:
        return FollowMode::RelyOnPeers;
    }
    return FollowMode::Independent;
}

const permits::LoadRoutes &RouterMesh::currentRoutes()
{
    if (membersChanged_.exchange(false)) {
        const std::vector<membership::Member> live = membership_->liveMembers();
        routes_ = permits::chooseLoadRoutes(live, options_.instance);
        handlers_.setFollowMode(followModeOf(routes_.role));
        noteRouters(live.size());
    }
    return routes_;
}

void RouterMesh::noteRouters(std::size_t live)
{
    // Routers that are cut off from each other still share the endpoints and their limits, so that fewer live ones change
    // nothing.
    if (live > mostRouters_) {
        mostRouters_ = live;
        handlers_.routersGrew(live);
    }
}

void RouterMesh::leave()
{
    if (membership_) {
        membership_->leave([] {});
    }
}

void RouterMesh::stop()
{
    stopped_ = true;
    timer_.cancel();
    if (membership_) {
        membership_->stop();
        loads_->stop();
    }
}

} // namespace mulberrywall::router
