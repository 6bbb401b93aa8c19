#include "mulberrywall/Router/RouterService.h"

#include "mulberrywall/Configuration/RevisionStore.h"
#include "mulberrywall/Router/AdminPages.h"
#include "mulberrywall/Router/CallerRequest.h"
#include "mulberrywall/Router/CallerSession.h"
#include "mulberrywall/Support/Log.h"

#include <algorithm>
#include <utility>

namespace mulberrywall::router
{

/// Interval at which a draining router checks whether its last request has ended.
static constexpr std::chrono::milliseconds drainPollInterval {20};

/// A router that shuts down ends only after it was idle for this long: the request of a connection that was just accepted may
/// still be under way, and the last responses must reach their callers before the connections are closed.
static constexpr std::chrono::milliseconds drainSettleTime {250};

/// Share of the drain limit in which attempts may start. The rest of it remains for them to end.
static constexpr double drainStartShare = 0.5;

/// Time before the end of a drain at which running requests are aborted, so that the error responses reach their callers.
static constexpr std::chrono::milliseconds abortTime {200};

/// Retry-After value of a router that cannot serve, within which the load balancer usually switches to
/// another router.
static constexpr std::chrono::milliseconds notReadyRetryAfter {500};

/// Largest body of a request of an operator.
static constexpr std::size_t maxAdminBodyBytes = std::size_t {64} * 1024;
/// The only page that takes a body.
static constexpr std::string_view drainPath = "/v1/drain";

static std::shared_ptr<backingservices::ReservationBatch> makeKeyReservations(
    boost::asio::io_context &context, const std::optional<backingservices::BackingServiceOptions> &platform)
{
    return platform ? backingservices::ReservationBatch::create(context.get_executor(), {.service = *platform}) : nullptr;
}

/// Only the owner of a pool polls its engines, so that the cost does not increase with the number of
/// routers.
static EndpointWatcherOptions makeEndpointWatcherOptions(const std::shared_ptr<PermitPeerGroup> &peers)
{
    EndpointWatcherOptions options;
    if (peers) {
        options.ownsPool = [peers](const support::PoolId &pool) {
            return peers->ownsPool(pool);
        };
    }
    return options;
}

RouterService::RouterService(boost::asio::io_context &context, RouterServiceOptions options, const policy::PolicyFunctions &policy)
    : context_(context),
      options_(std::move(options)),
      pools_(context, policy),
      endpoints_(pools_, [this](const support::EndpointId &endpoint, IncarnationHash incarnation) { announceLeaving(endpoint, incarnation); }),
      peers_(makePermitPeerGroup()),
      configurationWatcher_(makeConfigurationWatcher()),
      state_ {.context = context,
          .options = options_.router,
          .dialect = *options_.dialect,
          .permits = peers_ ? peers_->source() : permits::makeLocalPermitSource(pools_),
          .keyReservations = makeKeyReservations(context, options_.platform),
          .endpoints = endpoints_,
          .usage = options_.usage},
      callerServer_(http::Server::create(context, makeCallerServerOptions(), [this](const http::ServerExchangePtr &exchange) { handleCaller(exchange); })),
      adminServer_(http::Server::create(
          context, makeAdminServerOptions(options_.adminServer), [this](const http::ServerExchangePtr &exchange) { handleAdmin(exchange); })),
      metricsServer_(makeMetricsServer()),
      endpointWatcher_(std::make_shared<EndpointWatcher>(context, makeEndpointWatcherOptions(peers_), state_.configuration, pools_, endpoints_)),
      drainTimer_(context)
{
}

void applyResourceLimits(RouterServiceOptions &options, const ResourceLimits &limits)
{
    if (limits.heldBytes > 0) {
        options.router.maxHeldBytes = limits.heldBytes;
        options.router.maxResponseMemoryBytes = limits.responseBytes;
    }
    if (limits.callerConnections > 0) {
        options.callerServer.maxConnections = std::min(options.callerServer.maxConnections, limits.callerConnections);
        options.callerServer.maxExcessConnections = std::min(options.callerServer.maxExcessConnections, limits.excessConnections);
    }
}

http::ServerOptions RouterService::makeCallerServerOptions()
{
    http::ServerOptions options = options_.callerServer;
    options.memory = state_.callerMemory;
    options.checkHeader = [this](const http::RequestHeader &request) {
        return checkCallerHeader(request);
    };
    return options;
}

http::ServerOptions RouterService::makeAdminServerOptions(http::ServerOptions options)
{
    options.memory = state_.callerMemory;
    options.limits.maxBodyBytes = maxAdminBodyBytes;
    options.maxConnections = maxAdminConnections;
    options.maxExcessConnections = maxAdminConnections / 2;
    options.checkHeader = [this](const http::RequestHeader &request) -> std::optional<http::Response> {
        const std::string_view path = http::pathOf({request.target().data(), request.target().size()});
        if (path == drainPath) {
            return std::nullopt;
        }
        return answerAdminRequest(adminContext(), http::Request(request));
    };
    return options;
}

std::shared_ptr<http::Server> RouterService::makeMetricsServer()
{
    if (!options_.metricsListen) {
        return nullptr;
    }
    return http::Server::create(
        context_, makeAdminServerOptions({.listen = *options_.metricsListen}), [this](const http::ServerExchangePtr &exchange) { handleAdmin(exchange); });
}

std::shared_ptr<PermitPeerGroup> RouterService::makePermitPeerGroup()
{
    if (!options_.peers) {
        return nullptr;
    }
    PermitPeerGroupHandlers handlers {
        .provideConfiguration = [this](std::uint64_t minimumRevision) { return configurationWatcher_->makeDocument(minimumRevision); },
        .revisionAnnounced = [this](std::uint64_t revision) { configurationWatcher_->revisionAnnounced(revision); },
        .endpointLeaving
        = [this](const support::EndpointId &endpoint, IncarnationHash incarnation) { endpoints_.markLeaving(endpoint, LeavingOrigin::Peer, incarnation); },
    };
    return PermitPeerGroup::create(context_, pools_, *options_.peers, std::move(handlers));
}

std::shared_ptr<ConfigurationWatcher> RouterService::makeConfigurationWatcher()
{
    ConfigurationSources sources;
    if (options_.platform) {
        const auto store = std::make_shared<configuration::RevisionStore>(context_.get_executor(), *options_.platform);
        sources.fetchHead = [store](std::function<void(std::optional<std::uint64_t>)> handler) {
            store->fetchHead([handler = std::move(handler)](const configuration::RevisionHeadResult &result) {
                const bool isAvailable = result.status != backingservices::ReadStatus::Unavailable;
                handler(isAvailable ? std::optional(result.head.revision) : std::nullopt);
            });
        };
        sources.fetchRevision = [store](std::uint64_t revision, RevisionPtr cachedRevision, std::function<void(RevisionPtr)> handler) {
            store->fetchRevision(
                revision, std::move(cachedRevision), [handler = std::move(handler)](const configuration::RevisionResult &result) { handler(result.revision); });
        };
    }
    if (peers_) {
        sources.fetchFromPeers = [peers = peers_](std::uint64_t minimumRevision, std::function<void(std::optional<permits::ConfigurationDocument>)> handler) {
            peers->fetchConfiguration(minimumRevision, std::move(handler));
        };
        sources.countRouters = [peers = peers_, dataCentre = options_.dataCentre] {
            return peers->liveMembers(dataCentre).size();
        };
    }
    return std::make_shared<ConfigurationWatcher>(
        context_, options_.configurationWatcher, std::move(sources), [this](const RevisionPtr &revision) { onRevision(revision); });
}

void RouterService::onRevision(const RevisionPtr &revision)
{
    const configuration::SiteConfiguration *site = configuration::findSite(*revision, options_.dataCentre);
    if (site == nullptr) {
        support::log(support::Severity::Error,
            "the accepted configuration has no site for this data centre; add an overlay for it",
            {{"revision", revision->number}, {"dataCentre", options_.dataCentre.value()}});
        return;
    }
    configure(*site);
}

void RouterService::start()
{
    startWatchers();
    adminServer_->start();
    if (metricsServer_) {
        metricsServer_->start();
    }
    callerServer_->start();
    support::log(support::Severity::Info, "listening", {{"listener", "caller"}, {"port", callerEndpoint().port()}});
    support::log(support::Severity::Info, "listening", {{"listener", "admin"}, {"port", adminEndpoint().port()}});
}

void RouterService::startWatchers()
{
    if (peers_) {
        peers_->start();
    }
    configurationWatcher_->start();
    if (options_.endpointReports == EndpointReports::Polled) {
        endpointWatcher_->start();
    }
    if (!options_.platform) {
        return;
    }
    instanceList_ = backingservices::InstanceList::start(
        context_.get_executor(), {.service = *options_.platform}, [this](const std::vector<backingservices::ListedInstance> &instances) {
            const ConfigurationSnapshot current = state_.configuration.current();
            endpoints_.recordInstances(instances, current ? *current : configuration::SiteConfiguration());
        });
}

void RouterService::announceLeaving(const support::EndpointId &endpoint, IncarnationHash incarnation)
{
    if (peers_) {
        peers_->announceLeaving(endpoint, incarnation);
    }
}

ConfigurationChange RouterService::configure(configuration::SiteConfiguration configuration)
{
    const std::uint64_t revision = configuration.revision;
    const ConfigurationChange change = state_.configuration.offer(std::move(configuration));
    if (change == ConfigurationChange::Accepted) {
        const ConfigurationSnapshot current = state_.configuration.current();
        applyCallerLimits(*current);
        pools_.configure(*current);
        endpoints_.applyConfiguration(*current);
        if (peers_) {
            peers_->configurationChanged(revision);
        }
        support::log(support::Severity::Info,
            "configuration in force",
            {{"revision", revision},
                {"routes", current->routes.size()},
                {"classes", current->classes.size()},
                {"organisations", current->organisations.size()},
                {"keysRequired", current->callerKeys == configuration::CallerKeys::Required}});
    }
    return change;
}

std::map<support::PoolId, std::uint32_t> RouterService::waitingRequests() const
{
    std::map<support::PoolId, std::uint32_t> waiting;
    for (const auto &[pool, summary] : pools_.summarize()) {
        waiting.emplace(pool, summary.waiting);
    }
    return waiting;
}

void RouterService::applyCallerLimits(const configuration::SiteConfiguration &configuration)
{
    if (!configuration.callerLimits) {
        // An earlier configuration may have set limits.
        callerServer_->setLimits(options_.callerServer.limits);
        return;
    }
    const configuration::CallerLimits &limits = *configuration.callerLimits;
    callerServer_->setLimits({.maxHeaderBytes = limits.maxHeaderBytes,
        .maxBodyBytes = limits.maxBodyBytes,
        .idleTimeout = limits.idleTimeout,
        .headerTimeout = limits.headerTimeout});
}

void RouterService::setEndpoints(const std::vector<configuration::Endpoint> &endpoints)
{
    state_.configuration.setEndpoints(endpoints);
    const ConfigurationSnapshot current = state_.configuration.current();
    if (current == nullptr) {
        return;
    }
    pools_.setEndpoints(endpoints);
    endpoints_.applyConfiguration(*current);
    support::log(support::Severity::Info, "endpoints changed", {{"endpoints", endpoints.size()}, {"revision", current->revision}});
}

void RouterService::renewConfiguration(support::BootClock::time_point confirmedAt)
{
    state_.lease.renew(confirmedAt);
}

void RouterService::setConfigurationLifetime(std::optional<std::chrono::milliseconds> lifetime)
{
    state_.lease.setLifetime(lifetime);
}

void RouterService::setRetryCapacity(double capacity)
{
    state_.retryBudgets.setCapacity(capacity);
}

void RouterService::drain(std::function<void()> handler)
{
    onDrained_ = std::move(handler);
    state_.draining = true;
    switch (options_.drainMode) {
    case DrainMode::Reject:
        rejectsNewRequests_ = true;
        break;
    case DrainMode::Serve:
        callerServer_->disableKeepAlive();
        break;
    }
    support::log(support::Severity::Info, "draining", {{"activeRequests", state_.activeRequests.load()}});
    if (options_.drainLimit.count() > 0) {
        const policy::TimePoint graceEnd = std::chrono::steady_clock::now() + options_.drainGrace;
        lastStartAt_ = graceEnd + std::chrono::duration_cast<std::chrono::milliseconds>(options_.drainLimit * drainStartShare);
        drainDeadline_ = graceEnd + options_.drainLimit;
        abortAt_ = drainDeadline_ - std::min(abortTime, options_.drainLimit);
    }
    drainTimer_.expires_after(options_.drainGrace);
    drainTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            endGrace();
        }
    });
}

void RouterService::endGrace()
{
    rejectsNewRequests_ = true;
    // The listener stays open in mode Serve: a rejection tells callers to use another router, while a
    // closed listener only makes their connections fail.
    if (options_.drainMode == DrainMode::Reject) {
        callerServer_->stopAccepting();
    }
    if (peers_) {
        // While this router is a live member, the peers regard it as the owner of its pools and do not
        // take the ownership, so that requests queued here and there would wait until its last stream
        // ends.
        peers_->releaseOwnership();
        peers_->leave([] {});
    }
    waitUntilIdle();
}

void RouterService::endRequestsInTime(policy::TimePoint now)
{
    if (now >= lastStartAt_ && !state_.startsNoAttempts.exchange(true)) {
        for (const std::shared_ptr<CallerSession> &session : state_.sessions.sessions()) {
            session->rejectIfWaiting();
        }
    }
    if (now < abortAt_ || std::exchange(aborted_, true)) {
        return;
    }
    support::log(support::Severity::Warning,
        "drain limit exceeded; running requests are aborted; raise --drain-limit-ms",
        {{"activeRequests", state_.activeRequests.load()}});
    for (const std::shared_ptr<CallerSession> &session : state_.sessions.sessions()) {
        session->abort();
    }
}

void RouterService::waitUntilIdle()
{
    const policy::TimePoint now = std::chrono::steady_clock::now();
    endRequestsInTime(now);
    // Sessions do not suffice: a session ends before its response is written.
    const bool isIdle = state_.activeRequests == 0 && callerServer_->activeExchanges() == 0;
    if (!isIdle) {
        idleSince_.reset();
    } else if (!idleSince_) {
        idleSince_ = now;
        callerServer_->stopAccepting();
    }
    if (idleSince_ && now - *idleSince_ >= drainSettleTime) {
        support::log(support::Severity::Info, "drained");
        endDrain();
        return;
    }
    if (now >= drainDeadline_) {
        endDrain();
        return;
    }
    drainTimer_.expires_after(drainPollInterval);
    drainTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            waitUntilIdle();
        }
    });
}

void RouterService::endDrain()
{
    stopWatchers();
    const auto finish = [this] {
        const std::function<void()> handler = std::exchange(onDrained_, nullptr);
        handler();
    };
    if (!peers_) {
        finish();
        return;
    }
    peers_->leave([this, finish] {
        peers_->stop();
        finish();
    });
}

void RouterService::stopWatchers()
{
    endpointWatcher_->stop();
    configurationWatcher_->stop();
    if (instanceList_) {
        instanceList_->stop();
    }
}

bool RouterService::isReady() const
{
    return router::isReady(state_);
}

boost::asio::ip::tcp::endpoint RouterService::callerEndpoint() const
{
    return callerServer_->localEndpoint();
}

boost::asio::ip::tcp::endpoint RouterService::adminEndpoint() const
{
    return adminServer_->localEndpoint();
}

std::string RouterService::unavailabilityReason(const ConfigurationSnapshot &configuration) const
{
    if (rejectsNewRequests_) {
        return "the router is shutting down";
    }
    if (configuration == nullptr) {
        return "the router has no configuration yet";
    }
    if (!state_.lease.isValid(support::BootClock::now())) {
        return "the router cannot confirm that its configuration is in force";
    }
    return {};
}

http::Response RouterService::makeNotReadyResponse(const std::string &reason)
{
    constexpr std::int64_t unconfirmed = -1;
    const auto leaseAge = state_.lease.age(support::BootClock::now());
    support::log(support::Severity::Warning,
        "request rejected; the router is not ready",
        {{"reason", reason}, {"leaseAgeMs", leaseAge ? std::int64_t {leaseAge->count()} : unconfirmed}});
    state_.metrics.increment("mulberrywall_rejected_total", {{"reason", "not ready"}});
    return state_.dialect.makeProblemResponse(
        {.status = http::Status::service_unavailable, .title = "not ready", .detail = reason + "; try another instance"}, notReadyRetryAfter);
}

http::Response RouterService::makeRejection(const http::Problem &problem, std::uint64_t revision)
{
    support::log(support::Severity::Info,
        "request rejected",
        {{"request", problem.requestId}, {"reason", problem.title}, {"status", static_cast<unsigned>(problem.status)}, {"revision", revision}});
    state_.metrics.increment("mulberrywall_rejected_total", {{"reason", problem.title}});
    return state_.dialect.makeProblemResponse(problem, {});
}

std::optional<http::Response> RouterService::checkCallerHeader(const http::RequestHeader &request)
{
    const ConfigurationSnapshot configuration = state_.configuration.current();
    if (const std::string reason = unavailabilityReason(configuration); !reason.empty()) {
        return makeNotReadyResponse(reason);
    }
    const auto problem = state_.dialect.checkHeader(request, *configuration, std::chrono::steady_clock::now());
    if (!problem) {
        return std::nullopt;
    }
    return makeRejection(*problem, configuration->revision);
}

void RouterService::handleCaller(const http::ServerExchangePtr &exchange)
{
    const ConfigurationSnapshot configuration = state_.configuration.current();
    if (const std::string reason = unavailabilityReason(configuration); !reason.empty()) {
        exchange->respond(makeNotReadyResponse(reason));
        return;
    }
    const http::Request &request = exchange->request();
    if (auto response = state_.dialect.answerLocally(request, *configuration)) {
        exchange->respond(std::move(*response));
        return;
    }
    auto parsed = state_.dialect.parseRequest(request, *configuration, std::chrono::steady_clock::now());
    if (const auto *problem = std::get_if<http::Problem>(&parsed)) {
        exchange->respond(makeRejection(*problem, configuration->revision));
        return;
    }
    auto callerRequest = std::get<CallerRequest>(std::move(parsed));
    auto admission = state_.organisationLimits.admit(callerRequest.organisation, std::chrono::steady_clock::now());
    if (const auto *limit = std::get_if<LimitReached>(&admission)) {
        state_.metrics.increment("mulberrywall_rejected_total", {{"reason", "organisation limit"}});
        exchange->respond(http::makeRetryLaterResponse(
            {.status = http::Status::too_many_requests, .title = "organisation limit", .detail = limit->detail, .requestId = callerRequest.id.value()},
            limit->retryAfter));
        return;
    }
    std::make_shared<CallerSession>(state_, exchange, std::move(callerRequest), std::get<ConcurrencySlot>(std::move(admission)))->start();
}

AdminContext RouterService::adminContext()
{
    return {.state = state_,
        .pools = pools_,
        .callerServer = *callerServer_,
        .peers = peers_.get(),
        .instance = options_.instance,
        .dataCentre = options_.dataCentre,
        .operatorKey = options_.operatorKey};
}

void RouterService::handleAdmin(const http::ServerExchangePtr &exchange)
{
    exchange->respond(answerAdminRequest(adminContext(), exchange->request()));
}

} // namespace mulberrywall::router
