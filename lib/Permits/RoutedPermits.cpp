#include "mulberrywall/Permits/RoutedPermits.h"

#include "PermitAcquisition.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace mulberrywall::permits
{

using std::chrono::steady_clock;

static policy::RunningRequest toRunningRequest(const PoolReregistration::ReregisteredRequest &running)
{
    return {.submission = running.request.submission, .endpoint = running.endpoint, .progress = running.progress};
}

static std::vector<ReregistrationResult> reregisterAll(
    PoolOwnership &ownership, const support::InstanceId &ingress, const std::vector<PoolReregistration> &pools)
{
    std::vector<ReregistrationResult> reregistered;
    for (const PoolReregistration &pool : pools) {
        std::vector<policy::RunningRequest> requests;
        std::transform(pool.requests.begin(), pool.requests.end(), std::back_inserter(requests), toRunningRequest);
        reregistered.push_back(ownership.reregister(pool.pool, ingress, std::move(requests)));
    }
    return reregistered;
}

std::shared_ptr<RoutedPermits> RoutedPermits::create(
    boost::asio::io_context &context, PoolTable &pools, MembershipView membership, RoutedPermitOptions options, ConfigurationProvider provideConfiguration)
{
    auto permits = std::make_shared<RoutedPermits>(context, pools, std::move(membership), std::move(options));
    const std::weak_ptr<RoutedPermits> weak = permits;
    PeerRpcHandlers handlers {
        .acquire = [weak](PermitRequest request, const std::vector<support::InstanceId> &unreachable, OwnerAnswerHandler handler) -> AcquireTicket {
            const auto self = weak.lock();
            return self ? self->ownership_.acquire(std::move(request), unreachable, std::move(handler)) : nullptr;
        },
        .reregister =
            [weak](const support::InstanceId &ingress, const std::vector<PoolReregistration> &pools) {
                const auto self = weak.lock();
                return self ? reregisterAll(self->ownership_, ingress, pools) : std::vector<ReregistrationResult>(pools.size());
            },
        .fetchConfiguration = [provide = std::move(provideConfiguration)](std::uint64_t minimumRevision) -> std::optional<ConfigurationDocument> {
            return provide ? provide(minimumRevision) : std::nullopt;
        },
        .peerLost =
            [weak](const support::InstanceId &instance) {
                if (const auto self = weak.lock()) {
                    self->peerLost(instance);
                }
            },
    };
    permits->peers_ = PeerRpc::create(context, permits->options_.peers, std::move(handlers));
    return permits;
}

RoutedPermits::RoutedPermits(boost::asio::io_context &context, PoolTable &pools, MembershipView membership, RoutedPermitOptions options)
    : context_(context),
      strand_(boost::asio::make_strand(context)),
      timer_(strand_),
      progressTimer_(strand_),
      pools_(pools),
      membership_(std::move(membership)),
      options_(std::move(options)),
      ownership_(context, pools_, membership_, options_.ownership)
{
}

void RoutedPermits::start()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->reconcile();
        self->scheduleReconciliation();
        self->scheduleProgressReport();
    });
}

void RoutedPermits::scheduleReconciliation()
{
    timer_.expires_after(options_.reconcileInterval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        self->reconcile();
        self->scheduleReconciliation();
    });
}

void RoutedPermits::membershipChanged()
{
    boost::asio::post(strand_, [self = shared_from_this()] { self->reconcile(); });
}

void RoutedPermits::releaseOwnership()
{
    ownership_.releaseAllPools();
    membershipChanged();
}

void RoutedPermits::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopped_ = true;
    }
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->timer_.cancel();
        self->progressTimer_.cancel();
    });
    peers_->stop();
}

PermitSource RoutedPermits::source()
{
    return {.acquire = [self = shared_from_this()](PermitRequest request, PermitHandler handler) {
        return self->acquire(std::move(request), std::move(handler));
    }};
}

PeerRpc &RoutedPermits::peers()
{
    return *peers_;
}

PoolOwnership &RoutedPermits::ownership()
{
    return ownership_;
}

AcquireTicket RoutedPermits::acquire(PermitRequest request, PermitHandler handler)
{
    const auto routed = std::make_shared<PermitAcquisition>(shared_from_this(), std::move(request), std::move(handler));
    routed->start();
    return {routed.get(), [routed](void *) {
                routed->cancel();
            }};
}

std::shared_ptr<Permit> RoutedPermits::track(
    const support::DataCentreId &dataCentre, const support::InstanceId &owner, const PermitRequest &request, const std::shared_ptr<Permit> &ownerPermit)
{
    const auto tracked = std::make_shared<TrackedPermit>();
    tracked->dataCentre = dataCentre;
    tracked->request = request;
    tracked->endpoint = ownerPermit->endpoint().id;
    tracked->ownerPermit = ownerPermit;
    tracked->owner = owner;
    Permit::OwnerCallbacks callbacks {
        .recordProgress = [tracked](const policy::Progress &progress) { recordProgress(*tracked, progress); },
        .finish = [self = shared_from_this(), tracked](const policy::Completion &completion) { self->finish(*tracked, completion); },
    };
    auto holderPermit = std::make_shared<Permit>(ownerPermit->endpoint(), ownerPermit->enginePriority(), std::move(callbacks));
    tracked->holderPermit = holderPermit;
    forwardCommands(ownerPermit, holderPermit);
    {
        const std::scoped_lock lock(mutex_);
        tracked->number = ++lastNumber_;
        tracked_.emplace(tracked->number, tracked);
    }
    return holderPermit;
}

void RoutedPermits::forwardCommands(const std::shared_ptr<Permit> &ownerPermit, const std::weak_ptr<Permit> &holderPermit)
{
    ownerPermit->setCommandHandler([holderPermit](const OwnerCommand &command) {
        if (const auto permit = holderPermit.lock()) {
            permit->command(command);
        }
    });
}

void RoutedPermits::recordProgress(TrackedPermit &permit, const policy::Progress &progress)
{
    const std::scoped_lock lock(permit.mutex);
    permit.latestTokenAt = steady_clock::now();
    if (permit.outputTokens == 0) {
        permit.firstTokenAt = permit.latestTokenAt;
    }
    permit.outputTokens = progress.outputTokens;
}

static std::chrono::milliseconds age(policy::TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - time);
}

void RoutedPermits::reportProgress()
{
    std::vector<std::pair<std::shared_ptr<Permit>, policy::Progress>> changed;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto &[number, permit] : tracked_) {
            const std::scoped_lock permitLock(permit->mutex);
            if (!permit->ownerPermit || permit->outputTokens == permit->reportedTokens) {
                continue;
            }
            permit->reportedTokens = permit->outputTokens;
            changed.emplace_back(permit->ownerPermit,
                policy::Progress {
                    .outputTokens = permit->outputTokens, .sinceLatestToken = age(permit->latestTokenAt), .sinceFirstToken = age(permit->firstTokenAt)});
        }
    }
    for (const auto &[permit, progress] : changed) {
        permit->recordProgress(progress);
    }
    if (!changed.empty()) {
        peers_->sendProgress();
    }
}

void RoutedPermits::scheduleProgressReport()
{
    progressTimer_.expires_after(options_.progressInterval);
    progressTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        self->reportProgress();
        self->scheduleProgressReport();
    });
}

void RoutedPermits::finish(TrackedPermit &permit, const policy::Completion &ended)
{
    policy::Completion completion = ended;
    std::shared_ptr<Permit> ownerPermit;
    {
        const std::scoped_lock lock(permit.mutex);
        if (permit.outputTokens > 0) {
            completion.sinceLatestToken = age(permit.latestTokenAt);
            completion.sinceFirstToken = age(permit.firstTokenAt);
        }
        permit.completion = completion;
        ownerPermit = std::move(permit.ownerPermit);
    }
    {
        const std::scoped_lock lock(mutex_);
        tracked_.erase(permit.number);
    }
    if (ownerPermit) {
        ownerPermit->finish(completion);
    }
}

void RoutedPermits::markUnreachable(const support::InstanceId &instance)
{
    const std::scoped_lock lock(mutex_);
    unreachableUntil_[instance] = steady_clock::now() + options_.unreachableDuration;
}

std::vector<support::InstanceId> RoutedPermits::unreachable() const
{
    const std::scoped_lock lock(mutex_);
    const auto now = steady_clock::now();
    std::vector<support::InstanceId> instances;
    for (const auto &[instance, until] : unreachableUntil_) {
        if (until > now) {
            instances.push_back(instance);
        }
    }
    return instances;
}

bool RoutedPermits::isRegisteredWith(const support::InstanceId &owner, const support::PoolId &pool) const
{
    if (!pools_.find(pool)) {
        return true;
    }
    const std::scoped_lock lock(mutex_);
    const auto found = registeredOwners_.find(pool);
    return found != registeredOwners_.end() && found->second == owner;
}

std::vector<membership::Member> RoutedPermits::reachableMembers() const
{
    const std::vector<support::InstanceId> lost = unreachable();
    std::vector<membership::Member> members = membership_.liveMembers();
    std::erase_if(members, [this, &lost](const membership::Member &member) {
        const bool released = ownership_.isReleased() && member.instance == options_.ownership.instance;
        return released || std::find(lost.begin(), lost.end(), member.instance) != lost.end();
    });
    return members;
}

void RoutedPermits::peerLost(const support::InstanceId &instance)
{
    // The owner frees the slots when it loses the connection, so these permits have no effect any more.
    std::vector<std::shared_ptr<Permit>> lost;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto &[number, permit] : tracked_) {
            const std::scoped_lock permitLock(permit->mutex);
            if (permit->owner == instance) {
                lost.push_back(std::move(permit->ownerPermit));
                permit->owner = support::InstanceId();
            }
        }
        std::erase_if(registeredOwners_, [&instance](const auto &entry) { return entry.second == instance; });
    }
    membershipChanged();
}

void RoutedPermits::reconcile()
{
    {
        const std::scoped_lock lock(mutex_);
        if (stopped_) {
            return;
        }
        const auto now = steady_clock::now();
        std::erase_if(unreachableUntil_, [now](const auto &entry) { return entry.second <= now; });
    }
    ownership_.reconcile();
    const std::vector<membership::Member> reachable = reachableMembers();
    std::map<support::InstanceId, PendingReregistrations> pending;
    collectUnregisteredPermits(reachable, pending);
    collectUnregisteredPools(reachable, pending);
    for (const auto &[instance, reregistrations] : pending) {
        const auto owner = std::find_if(
            reachable.begin(), reachable.end(), [&instance = instance](const membership::Member &member) { return member.instance == instance; });
        reregisterWith(*owner, reregistrations);
        // Recorded only after the re-registration was sent: from here on permit requests may be sent to the owner, and they
        // must arrive after the re-registration.
        recordRegistration(instance, reregistrations);
    }
}

void RoutedPermits::recordRegistration(const support::InstanceId &owner, const PendingReregistrations &pending)
{
    const std::scoped_lock lock(mutex_);
    for (const auto &[key, permits] : pending) {
        if (key.first == options_.ownership.dataCentre) {
            registeredOwners_[key.second] = owner;
        }
    }
}

void RoutedPermits::collectUnregisteredPermits(const std::vector<membership::Member> &reachable, std::map<support::InstanceId, PendingReregistrations> &pending)
{
    std::map<PoolKey, const membership::Member *> owners;
    const std::scoped_lock lock(mutex_);
    for (const auto &[number, permit] : tracked_) {
        const PoolKey key {permit->dataCentre, permit->request.pool};
        auto owner = owners.find(key);
        if (owner == owners.end()) {
            owner = owners.emplace(key, ownerOf(reachable, key.first, key.second)).first;
        }
        const std::scoped_lock permitLock(permit->mutex);
        if (owner->second == nullptr || permit->reregistrationPending || permit->owner == owner->second->instance) {
            continue;
        }
        permit->reregistrationPending = true;
        pending[owner->second->instance][key].push_back(permit);
    }
}

void RoutedPermits::collectUnregisteredPools(const std::vector<membership::Member> &reachable, std::map<support::InstanceId, PendingReregistrations> &pending)
{
    const support::DataCentreId &dataCentre = options_.ownership.dataCentre;
    const auto pools = pools_.pools();
    const std::scoped_lock lock(mutex_);
    for (const auto &[id, pool] : pools) {
        const membership::Member *owner = ownerOf(reachable, dataCentre, id);
        const auto registered = registeredOwners_.find(id);
        if (owner == nullptr || (registered != registeredOwners_.end() && registered->second == owner->instance)) {
            continue;
        }
        pending[owner->instance].try_emplace({dataCentre, id});
    }
}

void RoutedPermits::reregisterWith(const membership::Member &owner, const PendingReregistrations &pending)
{
    std::vector<PoolReregistration> reregistrations;
    for (const auto &[key, permits] : pending) {
        PoolReregistration reregistration {.pool = key.second};
        for (const TrackedPermitPtr &permit : permits) {
            const std::scoped_lock lock(permit->mutex);
            reregistration.requests.push_back({.request = permit->request, .endpoint = permit->endpoint, .progress = {.outputTokens = permit->outputTokens}});
        }
        reregistrations.push_back(std::move(reregistration));
    }
    // Posted to the strand, so that the answer is applied after the current reconciliation has ended.
    const auto apply = [self = shared_from_this(), instance = owner.instance, pending](std::vector<ReregistrationResult> answers) {
        boost::asio::post(self->strand_, [self, instance, pending, results = std::move(answers)]() mutable {
            std::size_t index = 0;
            for (const auto &[key, permits] : pending) {
                self->applyReregistration(instance, key, permits, index < results.size() ? std::move(results[index]) : std::nullopt);
                ++index;
            }
        });
    };
    if (owner.instance == options_.ownership.instance) {
        apply(reregisterAll(ownership_, owner.instance, reregistrations));
        return;
    }
    const PeerAddress peer {.instance = owner.instance, .address = membership::toTcpEndpoint(owner.peerAddress)};
    peers_->reregister(peer,
        std::move(reregistrations),
        [self = shared_from_this(), instance = owner.instance, apply](PeerCallResult<std::vector<ReregistrationResult>> result) {
            if (auto *results = std::get_if<std::vector<ReregistrationResult>>(&result)) {
                apply(std::move(*results));
                return;
            }
            self->markUnreachable(instance);
            apply({});
        });
}

void RoutedPermits::applyReregistration(
    const support::InstanceId &owner, const PoolKey &pool, const std::vector<TrackedPermitPtr> &permits, ReregistrationResult result)
{
    if (!result) {
        const std::scoped_lock lock(mutex_);
        if (pool.first == options_.ownership.dataCentre && registeredOwners_[pool.second] == owner) {
            registeredOwners_.erase(pool.second);
        }
    }
    for (std::size_t index = 0; index < permits.size(); ++index) {
        std::shared_ptr<Permit> previous;
        std::weak_ptr<Permit> holderPermit;
        std::optional<policy::Completion> completion;
        {
            TrackedPermit &permit = *permits[index];
            const std::scoped_lock lock(permit.mutex);
            permit.reregistrationPending = false;
            if (!result) {
                continue;
            }
            completion = permit.completion;
            if (!completion) {
                previous = std::exchange(permit.ownerPermit, (*result)[index]);
                permit.owner = owner;
                holderPermit = permit.holderPermit;
            }
        }
        if (completion) {
            (*result)[index]->finish(*completion);
            continue;
        }
        forwardCommands((*result)[index], holderPermit);
        // The destruction of the previous owner's permit frees its slot there.
    }
}

} // namespace mulberrywall::permits
