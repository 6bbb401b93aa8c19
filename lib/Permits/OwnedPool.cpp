#include "mulberrywall/Permits/OwnedPool.h"

#include "mulberrywall/Policy/ClassSet.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::permits
{

using policy::TimePoint;

/// Lateness of a timer that shows that the process or its instance was paused. A busy instance delays a timer for less.
static constexpr std::chrono::milliseconds pauseThreshold {1'000};

static TimePoint now()
{
    return std::chrono::steady_clock::now();
}

PermitRejection rejectionWithoutPool(const support::PoolId &pool)
{
    return {.reason = policy::RejectionReason::NoEndpoint, .detail = "the configuration has no pool '" + pool.value() + "'"};
}

OwnedPool::OwnedPool(boost::asio::io_context &context, const policy::PolicyFunctions &functions, const policy::PoolOptions &options)
    : context_(context),
      functions_(functions),
      options_(options),
      pool_(functions.create(options)),
      timer_(context)
{
}

void OwnedPool::configure(const policy::PoolOptions &options)
{
    const std::scoped_lock lock(mutex_);
    options_ = options;
    applyOptions();
}

void OwnedPool::applyOptions()
{
    policy::PoolOptions options = options_;
    // The estimated wait would count half of the slots, for much longer than the recovery takes.
    if (ownership_ == OwnershipState::Recovering) {
        options.admission = policy::AdmissionMode::ByQueueLimit;
    }
    functions_.configure(pool_.get(), options);
}

void OwnedPool::setEndpoints(std::vector<configuration::Endpoint> endpoints, const std::set<support::EndpointId> &leaving)
{
    std::vector<policy::EndpointSpec> specs;
    specs.reserve(endpoints.size());
    for (const configuration::Endpoint &endpoint : endpoints) {
        specs.push_back({.id = endpoint.id,
            .maximumConcurrency = endpoint.maximumConcurrency,
            .prefixCache = endpoint.support.prefixCache,
            .incarnation = endpoint.incarnation,
            .leaving = leaving.contains(endpoint.id)});
    }
    std::vector<Notification> notifications;
    {
        const std::scoped_lock lock(mutex_);
        for (configuration::Endpoint &endpoint : endpoints) {
            const support::EndpointId id = endpoint.id;
            endpoints_.insert_or_assign(id, std::move(endpoint));
        }
        specs_ = std::move(specs);
        notifications = takeNotifications(applyEndpoints());
        armTimer();
    }
    deliver(std::move(notifications));
}

policy::Decisions OwnedPool::applyEndpoints()
{
    std::vector<policy::EndpointSpec> specs;
    switch (ownership_) {
    case OwnershipState::Released:
        break;
    case OwnershipState::Recovering:
        specs = specs_;
        for (policy::EndpointSpec &spec : specs) {
            spec.maximumConcurrency = std::max(1U, spec.maximumConcurrency / 2);
        }
        break;
    case OwnershipState::Owned:
        specs = specs_;
        break;
    }
    return functions_.setEndpoints(pool_.get(), specs, startCommand());
}

TimePoint OwnedPool::startCommand()
{
    const TimePoint startedAt = now();
    if (timerExpiry_ && startedAt - *timerExpiry_ > pauseThreshold) {
        const auto pause = startedAt - *timerExpiry_;
        support::log(support::Severity::Warning,
            "the process was paused; the durations of running requests are not used",
            {{"pausedMs", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count()}});
        functions_.recordPause(pool_.get(), pause, startedAt);
        // The timer is still pending; later commands do not find the same pause again.
        timerExpiry_ = startedAt;
    }
    return startedAt;
}

template <typename Command>
void OwnedPool::execute(const Command &command)
{
    std::vector<Notification> notifications;
    {
        const std::scoped_lock lock(mutex_);
        notifications = takeNotifications(command());
        armTimer();
    }
    deliver(std::move(notifications));
}

void OwnedPool::setOwnership(OwnershipState ownership, const support::InstanceId &newOwner)
{
    std::vector<Notification> notifications;
    {
        const std::scoped_lock lock(mutex_);
        newOwner_ = newOwner;
        if (ownership == ownership_) {
            return;
        }
        ownership_ = ownership;
        applyOptions();
        const policy::Decisions decisions = applyEndpoints();
        if (ownership == OwnershipState::Released) {
            answerPendingAcquisitions(PoolMoved {newOwner}, notifications);
        } else {
            notifications = takeNotifications(decisions);
        }
        armTimer();
    }
    deliver(std::move(notifications));
}

void OwnedPool::answerPendingAcquisitions(const OwnerAnswer &answer, std::vector<Notification> &notifications)
{
    // The decisions of withdraw are ignored: without endpoints it grants nothing, and a request that the policy has already
    // rejected is not in its queue any more.
    for (auto &[permit, acquisition] : pendingAcquisitions_) {
        functions_.withdraw(pool_.get(), permit, startCommand());
        notifications.push_back(makeAnswer(std::move(acquisition.handler), answer));
    }
    pendingAcquisitions_.clear();
}

void OwnedPool::close(const PermitRejection &rejection)
{
    std::vector<Notification> notifications;
    {
        const std::scoped_lock lock(mutex_);
        closed_ = rejection;
        specs_.clear();
        static_cast<void>(applyEndpoints());
        answerPendingAcquisitions(rejection, notifications);
    }
    deliver(std::move(notifications));
}

OwnershipState OwnedPool::ownership() const
{
    const std::scoped_lock lock(mutex_);
    return ownership_;
}

std::shared_ptr<Permit> OwnedPool::reregister(policy::RunningRequest running)
{
    std::vector<Notification> notifications;
    std::shared_ptr<Permit> permit;
    {
        const std::scoped_lock lock(mutex_);
        running.submission.permit = nextPermit_++;
        notifications = takeNotifications(functions_.reregister(pool_.get(), running, startCommand()));
        permit = makePermit(running.submission.permit, running.endpoint, 0);
        armTimer();
    }
    deliver(std::move(notifications));
    return permit;
}

void OwnedPool::recordQuarantineEntry(const policy::QuarantineEntry &entry)
{
    execute([&] { return functions_.recordQuarantineEntry(pool_.get(), entry, startCommand()); });
}

AcquireTicket OwnedPool::acquire(PermitRequest request, OwnerAnswerHandler handler)
{
    std::vector<Notification> notifications;
    policy::PermitId permit = 0;
    {
        const std::scoped_lock lock(mutex_);
        if (closed_) {
            boost::asio::post(context_, makeAnswer(std::move(handler), *closed_));
            return nullptr;
        }
        if (ownership_ == OwnershipState::Released) {
            boost::asio::post(context_, [handler = std::move(handler), owner = newOwner_] { handler(PoolMoved {owner}); });
            return nullptr;
        }
        permit = nextPermit_++;
        request.submission.permit = permit;
        pendingAcquisitions_.emplace(permit, PendingAcquisition {.handler = std::move(handler)});
        notifications = takeNotifications(functions_.submit(pool_.get(), request.submission, startCommand()));
        armTimer();
    }
    deliver(std::move(notifications));
    return {this, [weak = weak_from_this(), permit](void *) {
                if (const auto self = weak.lock()) {
                    self->withdraw(permit);
                }
            }};
}

void OwnedPool::recordLoadReport(const policy::LoadReport &report)
{
    execute([&] { return functions_.recordLoadReport(pool_.get(), report, startCommand()); });
}

void OwnedPool::recordPeerRequests(const policy::PeerReport &report)
{
    execute([&] { return functions_.recordPeerRequests(pool_.get(), report, startCommand()); });
}

void OwnedPool::recordPeerSummary(const policy::ReceivedSummary &received)
{
    execute([&] { return functions_.recordPeerSummary(pool_.get(), received, startCommand()); });
}

void OwnedPool::recordLostEndpoints(std::span<const policy::LostEndpoint> lost, policy::LossSource source)
{
    execute([&] { return functions_.recordLostEndpoints(pool_.get(), lost, source, startCommand()); });
}

void OwnedPool::recordSegmentEvidence(std::span<const policy::SegmentEvidence> evidence)
{
    execute([&] { return functions_.recordSegmentEvidence(pool_.get(), evidence, startCommand()); });
}

std::vector<policy::SegmentEvidence> OwnedPool::segmentEvidence() const
{
    const std::scoped_lock lock(mutex_);
    return functions_.segmentEvidence(pool_.get(), now());
}

std::vector<policy::QuarantinedSegment> OwnedPool::quarantinedSegments() const
{
    const std::scoped_lock lock(mutex_);
    return functions_.quarantinedSegments(pool_.get(), now());
}

policy::PoolStatistics OwnedPool::statistics() const
{
    const std::scoped_lock lock(mutex_);
    return functions_.statistics(pool_.get());
}

std::vector<policy::LostEndpoint> OwnedPool::lostEndpoints(policy::LossSource farthest) const
{
    const std::scoped_lock lock(mutex_);
    return functions_.lostEndpoints(pool_.get(), farthest, now());
}

policy::PeerSummary OwnedPool::summarizeLoad(policy::SummaryScope scope) const
{
    const std::scoped_lock lock(mutex_);
    return functions_.summarizeLoad(pool_.get(), scope, now());
}

std::vector<policy::PeerRequest> OwnedPool::runningRequests() const
{
    const std::scoped_lock lock(mutex_);
    return functions_.runningRequests(pool_.get());
}

std::vector<policy::PeerPrefix> OwnedPool::newPrefixes() const
{
    const std::scoped_lock lock(mutex_);
    return functions_.newPrefixes(pool_.get(), now());
}

policy::PoolSummary OwnedPool::summarize() const
{
    const std::scoped_lock lock(mutex_);
    return functions_.summarize(pool_.get());
}

std::vector<policy::QuarantineEntry> OwnedPool::quarantineEntries() const
{
    const std::scoped_lock lock(mutex_);
    return functions_.quarantineEntries(pool_.get());
}

void OwnedPool::withdraw(policy::PermitId permit)
{
    std::vector<Notification> notifications;
    {
        const std::scoped_lock lock(mutex_);
        if (pendingAcquisitions_.erase(permit) == 0) {
            return;
        }
        notifications = takeNotifications(functions_.withdraw(pool_.get(), permit, startCommand()));
        armTimer();
    }
    deliver(std::move(notifications));
}

void OwnedPool::recordProgress(policy::PermitId permit, const policy::Progress &progress)
{
    execute([&] { return functions_.recordProgress(pool_.get(), permit, progress, startCommand()); });
}

void OwnedPool::finish(policy::PermitId permit, const policy::Completion &completion)
{
    execute([&] {
        grantedPermits_.erase(permit);
        return functions_.complete(pool_.get(), permit, completion, startCommand());
    });
}

static void logSegmentChange(const policy::SegmentChange &change)
{
    support::log(support::Severity::Warning,
        change.isQuarantined ? "prompt segment quarantined; endpoints crash on it" : "quarantine of a prompt segment ended",
        {{"segmentHash", change.segment}, {"crashes", change.crashes}});
}

std::vector<OwnedPool::Notification> OwnedPool::takeNotifications(const policy::Decisions &decisions)
{
    std::vector<Notification> notifications;
    for (const policy::SegmentChange &change : decisions.segmentChanges) {
        notifications.emplace_back([change] { logSegmentChange(change); });
    }
    for (const policy::Grant &grant : decisions.grants) {
        auto acquisition = pendingAcquisitions_.extract(grant.permit);
        if (!acquisition.empty()) {
            const auto permit = makePermit(grant.permit, grant.endpoint, grant.enginePriority);
            permit->setPrefillTokens(grant.prefillTokens);
            notifications.push_back(makeAnswer(std::move(acquisition.mapped().handler), permit));
        }
    }
    for (const policy::Rejection &rejection : decisions.rejections) {
        auto acquisition = pendingAcquisitions_.extract(rejection.permit);
        if (!acquisition.empty()) {
            PermitRejection result {.reason = rejection.reason, .retryAfter = rejection.retryAfter};
            notifications.push_back(makeAnswer(std::move(acquisition.mapped().handler), std::move(result)));
        }
    }
    for (const policy::Cancellation &cancellation : decisions.cancellations) {
        addCommand(cancellation.permit, cancellation, notifications);
    }
    for (const policy::PriorityChange &change : decisions.priorityChanges) {
        addCommand(change.permit, change, notifications);
    }
    return notifications;
}

OwnedPool::Notification OwnedPool::makeAnswer(OwnerAnswerHandler handler, OwnerAnswer result)
{
    return [handler = std::move(handler), result = std::move(result)]() mutable {
        handler(std::move(result));
    };
}

void OwnedPool::addCommand(policy::PermitId permit, const OwnerCommand &command, std::vector<Notification> &notifications) const
{
    const auto found = grantedPermits_.find(permit);
    if (found == grantedPermits_.end()) {
        return;
    }
    notifications.emplace_back([weak = found->second, command] {
        if (const auto holder = weak.lock()) {
            holder->command(command);
        }
    });
}

std::shared_ptr<Permit> OwnedPool::makePermit(policy::PermitId permit, const support::EndpointId &endpoint, std::uint8_t enginePriority)
{
    const auto found = endpoints_.find(endpoint);
    const configuration::Endpoint description = found == endpoints_.end() ? configuration::Endpoint {.id = endpoint} : found->second;
    Permit::OwnerCallbacks callbacks {
        .recordProgress =
            [weak = weak_from_this(), permit](const policy::Progress &progress) {
                if (const auto self = weak.lock()) {
                    self->recordProgress(permit, progress);
                }
            },
        .finish =
            [weak = weak_from_this(), permit](const policy::Completion &completion) {
                if (const auto self = weak.lock()) {
                    self->finish(permit, completion);
                }
            },
    };
    auto created = std::make_shared<Permit>(description, enginePriority, std::move(callbacks));
    grantedPermits_.insert_or_assign(permit, created);
    return created;
}

void OwnedPool::deliver(std::vector<Notification> notifications)
{
    for (Notification &notification : notifications) {
        boost::asio::post(context_, std::move(notification));
    }
}

void OwnedPool::armTimer()
{
    const std::optional<TimePoint> wakeUp = functions_.nextWakeUp(pool_.get());
    if (!wakeUp || wakeUp == timerExpiry_) {
        return;
    }
    timerExpiry_ = wakeUp;
    timer_.expires_at(*wakeUp);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onTimer();
        }
    });
}

void OwnedPool::onTimer()
{
    std::vector<Notification> notifications;
    {
        const std::scoped_lock lock(mutex_);
        const TimePoint startedAt = startCommand();
        timerExpiry_.reset();
        notifications = takeNotifications(functions_.advance(pool_.get(), startedAt));
        armTimer();
    }
    deliver(std::move(notifications));
}

PoolTable::PoolTable(boost::asio::io_context &context, const policy::PolicyFunctions &functions)
    : context_(context),
      functions_(functions)
{
}

static std::shared_ptr<const policy::ClassSet> makeClassSet(const configuration::SiteConfiguration &configuration)
{
    std::vector<policy::ClassSpec> classes;
    for (const configuration::RequestClass &requestClass : configuration.classes) {
        policy::ClassSpec spec {.id = requestClass.id,
            .tier = requestClass.tier,
            .minimumShare = requestClass.minimumShare,
            .maximumWait = requestClass.maximumWait,
            .hedgeBudgetPercent = requestClass.hedgeBudgetPercent};
        spec.firstTokenTarget = requestClass.targets.timeToFirstToken.value_or(requestClass.targets.completion.value_or(spec.firstTokenTarget));
        spec.interTokenTarget = requestClass.targets.interTokenLatency.value_or(spec.interTokenTarget);
        classes.push_back(std::move(spec));
    }
    return policy::makeClassSet(classes);
}

/// Returns the options of all pools of the configuration, without what belongs to a single one.
static policy::PoolOptions makeCommonOptions(const configuration::SiteConfiguration &configuration)
{
    policy::PoolOptions options {.classSet = makeClassSet(configuration)};
    for (const configuration::Organisation &organisation : configuration.organisations) {
        if (organisation.weight != policy::OrganisationSpec().weight) {
            options.organisations.push_back({.id = organisation.id, .weight = organisation.weight});
        }
    }
    return options;
}

void PoolTable::configure(const configuration::SiteConfiguration &configuration)
{
    const std::scoped_lock lock(mutex_);
    endpoints_ = configuration.endpoints;
    policy::PoolOptions options = makeCommonOptions(configuration);
    for (const configuration::Pool &pool : configuration.pools) {
        options.queueLimit = pool.queueLimit;
        options.enginePriorityLevels = pool.enginePriorityLevels;
        options.engineMemoryTokens = pool.engineMemoryTokens;
        const auto found = pools_.find(pool.id);
        if (found == pools_.end()) {
            pools_.emplace(pool.id, std::make_shared<OwnedPool>(context_, functions_, options));
            continue;
        }
        found->second->configure(options);
    }
    removePoolsWithout(configuration);
    updateEndpoints();
}

void PoolTable::removePoolsWithout(const configuration::SiteConfiguration &configuration)
{
    std::erase_if(pools_, [&configuration](const auto &entry) {
        const auto &[id, pool] = entry;
        if (configuration::findPool(configuration, id) != nullptr) {
            return false;
        }
        pool->close(rejectionWithoutPool(id));
        return true;
    });
}

void PoolTable::setEndpoints(std::vector<configuration::Endpoint> endpoints)
{
    const std::scoped_lock lock(mutex_);
    endpoints_ = std::move(endpoints);
    updateEndpoints();
}

void PoolTable::setLeaving(std::set<support::EndpointId> leaving)
{
    const std::scoped_lock lock(mutex_);
    leaving_ = std::move(leaving);
    updateEndpoints();
}

void PoolTable::recordQuarantineEntry(const policy::QuarantineEntry &entry)
{
    for (const auto &[id, pool] : pools()) {
        pool->recordQuarantineEntry(entry);
    }
}

std::vector<policy::QuarantineEntry> PoolTable::quarantineEntries() const
{
    std::vector<policy::QuarantineEntry> entries;
    for (const auto &[id, pool] : pools()) {
        const std::vector<policy::QuarantineEntry> found = pool->quarantineEntries();
        entries.insert(entries.end(), found.begin(), found.end());
    }
    return entries;
}

void PoolTable::updateEndpoints()
{
    for (const auto &[id, pool] : pools_) {
        std::vector<configuration::Endpoint> members;
        std::copy_if(endpoints_.begin(), endpoints_.end(), std::back_inserter(members), [&id = id](const configuration::Endpoint &endpoint) {
            return std::find(endpoint.pools.begin(), endpoint.pools.end(), id) != endpoint.pools.end();
        });
        pool->setEndpoints(std::move(members), leaving_);
    }
}

AcquireTicket PoolTable::acquire(PermitRequest request, PermitHandler handler)
{
    const std::shared_ptr<OwnedPool> pool = find(request.pool);
    if (!pool) {
        boost::asio::post(context_, [handler = std::move(handler), rejection = rejectionWithoutPool(request.pool)] { handler(rejection); });
        return nullptr;
    }
    return pool->acquire(std::move(request), [handler = std::move(handler)](OwnerAnswer answer) {
        if (auto *permit = std::get_if<std::shared_ptr<Permit>>(&answer)) {
            handler(std::move(*permit));
            return;
        }
        const auto *rejection = std::get_if<PermitRejection>(&answer);
        handler(rejection != nullptr ? *rejection
                                     : PermitRejection {.reason = policy::RejectionReason::NoEndpoint, .detail = "the pool has moved to another router"});
    });
}

std::shared_ptr<OwnedPool> PoolTable::find(const support::PoolId &pool) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = pools_.find(pool);
    return found == pools_.end() ? nullptr : found->second;
}

std::map<support::PoolId, policy::PoolSummary> PoolTable::summarize() const
{
    const std::scoped_lock lock(mutex_);
    std::map<support::PoolId, policy::PoolSummary> summaries;
    for (const auto &[id, pool] : pools_) {
        summaries.emplace(id, pool->summarize());
    }
    return summaries;
}

std::map<support::PoolId, std::shared_ptr<OwnedPool>> PoolTable::pools() const
{
    const std::scoped_lock lock(mutex_);
    return pools_;
}

PermitSource makeLocalPermitSource(PoolTable &pools)
{
    return {.acquire = [&pools](PermitRequest request, PermitHandler handler) {
        return pools.acquire(std::move(request), std::move(handler));
    }};
}

} // namespace mulberrywall::permits
