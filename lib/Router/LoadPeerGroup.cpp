#include "mulberrywall/Router/LoadPeerGroup.h"

#include "mulberrywall/Router/QuarantineExchange.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace mulberrywall::router
{

/// Interval at which the secret is requested from the store until it responds.
static constexpr std::chrono::milliseconds secretRetryInterval {1'000};
static constexpr std::chrono::milliseconds quarantineInterval {1'000};

LoadPeerGroup::LoadPeerGroup(
    boost::asio::io_context &context, permits::PoolTable &pools, LoadPeerGroupOptions options, SecretStore secretStore, LoadPeerGroupHandlers handlers)
    : context_(context),
      pools_(pools),
      options_(std::move(options)),
      secretStore_(std::move(secretStore)),
      handlers_(std::move(handlers)),
      timer_(context)
{
}

void LoadPeerGroup::start()
{
    requestSecret();
}

bool LoadPeerGroup::insertsSecret() const
{
    // The store executes the insertions one after another, so that those of hundreds of routers would take seconds.
    const bool isSeed = std::find(options_.seeds.begin(), options_.seeds.end(), options_.membershipListen) != options_.seeds.end();
    return isSeed || options_.seeds.empty() || absentSecrets_ >= options_.maximumAbsentSecrets;
}

void LoadPeerGroup::requestSecret()
{
    const auto handler = [self = shared_from_this()](StoredSecret secret) {
        boost::asio::post(self->context_, [self, secret = std::move(secret)] { self->onSecret(secret); });
    };
    if (insertsSecret()) {
        secretStore_.insertIfAbsent(support::makeRandomId(), handler);
    } else {
        secretStore_.read(handler);
    }
}

void LoadPeerGroup::onSecret(const StoredSecret &secret)
{
    if (stopped_) {
        return;
    }
    if (secret.value && !secret.value->empty()) {
        join(*secret.value);
        return;
    }
    if (secret.value && absentSecrets_ == 0) {
        support::log(support::Severity::Error, "the secret of the routers is empty; serving alone until its row is restored");
    }
    absentSecrets_ += secret.responded ? 1 : 0;
    timer_.expires_after(secret.responded ? options_.absentSecretInterval : secretRetryInterval);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->stopped_) {
            self->requestSecret();
        }
    });
}

void LoadPeerGroup::join(const std::string &secret)
{
    try {
        loads_ = permits::LoadExchange::create(context_,
            pools_,
            {.instance = options_.instance, .dataCentre = options_.dataCentre, .listen = options_.loadListen, .secret = secret},
            makeLoadHandlers());
        membership::UdpDriverOptions driver {.listen = options_.membershipListen, .secret = secret};
        driver.protocol.self.instance = options_.instance;
        driver.protocol.self.dataCentre = options_.dataCentre;
        driver.protocol.self.processorPercent = options_.processorPercent;
        driver.protocol.self.incarnation = membership::incarnationFromClock();
        // Members of a load peer group have no peer service; this is the address of the load exchange.
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
    announceQuarantine();
    if (handlers_.joined) {
        handlers_.joined(secret);
    }
    support::log(support::Severity::Info, "joined the other routers", {{"port", membership_->localEndpoint().port()}});
}

void LoadPeerGroup::onItem(const membership::GossipItem &item)
{
    if (const auto *member = std::get_if<membership::Member>(&item)) {
        membersChanged_ = true;
        support::log(support::Severity::Info,
            "member changed",
            {{"member", member->instance.value()}, {"dataCentre", member->dataCentre.value()}, {"live", membership::isLive(member->state)}});
        return;
    }
    if (const auto *quarantined = std::get_if<membership::QuarantinedFingerprint>(&item)) {
        recordQuarantinedRequest(pools_, *quarantined);
    }
}

void LoadPeerGroup::announceQuarantine()
{
    announceQuarantinedRequests(pools_, *membership_);
    timer_.expires_after(quarantineInterval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->stopped_) {
            self->announceQuarantine();
        }
    });
}

permits::LoadExchangeHandlers LoadPeerGroup::makeLoadHandlers()
{
    return {.currentRoutes =
                [weak = weak_from_this()] {
                    const auto self = weak.lock();
                    return self ? self->currentRoutes() : permits::LoadRoutes();
                },
        .storeFreshness = handlers_.storeFreshness,
        .changesAfter = handlers_.changesAfter,
        .recordPeerReport = handlers_.recordPeerReport};
}

static WatchMode watchModeOf(permits::LoadRole role)
{
    switch (role) {
    case permits::LoadRole::Direct:
        return WatchMode::Independent;
    case permits::LoadRole::Aggregator:
        return WatchMode::Relayed;
    case permits::LoadRole::Reporter:
        return WatchMode::RelyOnPeers;
    }
    return WatchMode::Independent;
}

const permits::LoadRoutes &LoadPeerGroup::currentRoutes()
{
    if (membersChanged_.exchange(false)) {
        const std::vector<membership::Member> live = membership_->liveMembers();
        routes_ = permits::chooseLoadRoutes(live, options_.instance);
        handlers_.setWatchMode(watchModeOf(routes_.role));
        recordRouterCount(live.size());
        if (handlers_.liveMembersChanged) {
            handlers_.liveMembersChanged(live);
        }
    }
    return routes_;
}

void LoadPeerGroup::recordRouterCount(std::size_t liveRouters)
{
    // Routers on both sides of a network partition still share the endpoints and their limits, so a
    // decrease is ignored.
    if (liveRouters > peakRouterCount_) {
        peakRouterCount_ = liveRouters;
        handlers_.peakRouterCountChanged(liveRouters);
    }
}

void LoadPeerGroup::leave()
{
    if (membership_) {
        membership_->leave([] {});
    }
}

void LoadPeerGroup::stop()
{
    stopped_ = true;
    timer_.cancel();
    if (membership_) {
        membership_->stop();
        loads_->stop();
    }
}

} // namespace mulberrywall::router
