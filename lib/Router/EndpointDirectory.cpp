#include "mulberrywall/Router/EndpointDirectory.h"

#include "mulberrywall/Support/Log.h"

#include <xxhash.h>

#include <utility>

namespace mulberrywall::router
{

IncarnationHash hashIncarnation(std::string_view name)
{
    return name.empty() ? unknownIncarnation : XXH3_64bits(name.data(), name.size());
}

bool isLeaving(const LeavingState &leavingState)
{
    return leavingState.endpointIsLeaving || leavingState.instanceIsLeaving;
}

void recordAnnouncement(LeavingState &leavingState, IncarnationHash incarnation)
{
    leavingState.endpointIsLeaving = true;
    leavingState.leavingIncarnation = incarnation != unknownIncarnation ? incarnation : leavingState.incarnation;
}

void recordReport(LeavingState &leavingState, IncarnationHash incarnation, bool leaving)
{
    if (incarnation != unknownIncarnation) {
        leavingState.incarnation = incarnation;
    }
    if (leaving) {
        leavingState.endpointIsLeaving = true;
        leavingState.leavingIncarnation = leavingState.incarnation;
        return;
    }
    if (!leavingState.endpointIsLeaving || incarnation == unknownIncarnation) {
        return;
    }
    if (leavingState.leavingIncarnation == unknownIncarnation) {
        leavingState.leavingIncarnation = incarnation;
    } else if (leavingState.leavingIncarnation != incarnation) {
        leavingState.endpointIsLeaving = false;
        leavingState.leavingIncarnation = unknownIncarnation;
    }
}

void recordInstance(LeavingState &leavingState, std::string_view instance, backingservices::InstanceState state)
{
    if (leavingState.instance != instance) {
        if (!leavingState.instance.empty()) {
            leavingState = {};
        }
        leavingState.instance = instance;
    }
    // The list lags behind, so an instance that is leaving may be listed as live again.
    leavingState.instanceIsLeaving = leavingState.instanceIsLeaving || state == backingservices::InstanceState::Leaving;
}

void recordConfigured(LeavingState &leavingState, std::int64_t incarnation, std::chrono::steady_clock::time_point now)
{
    const bool isOther = leavingState.configuredIncarnation != 0 && incarnation != 0 && incarnation != leavingState.configuredIncarnation;
    if (isOther) {
        leavingState.endpointIsLeaving = false;
        leavingState.leavingIncarnation = unknownIncarnation;
    }
    leavingState.configuredIncarnation = incarnation;
    leavingState.configuredAt = now;
}

/// Only the owner of a pool polls its endpoints, once a second. An older report is from an earlier
/// ownership, and the endpoint may have been restarted since.
static constexpr std::chrono::seconds reportLifetime {5};

static void dropStaleReport(LeavingState &leavingState)
{
    if (std::chrono::steady_clock::now() - leavingState.reportedAt > reportLifetime) {
        leavingState.incarnation = unknownIncarnation;
    }
}

/// Returns whether the state or its incarnation must be announced to the other routers.
static bool needsAnnouncement(const LeavingState &before, const LeavingState &after, LeavingOrigin origin, IncarnationHash announced)
{
    switch (origin) {
    case LeavingOrigin::Operator:
        // The recorded state may refer to an earlier incarnation.
        return true;
    case LeavingOrigin::Endpoint:
        return after.endpointIsLeaving && (!before.endpointIsLeaving || after.leavingIncarnation != before.leavingIncarnation);
    case LeavingOrigin::Peer:
        return announced == unknownIncarnation && after.leavingIncarnation != unknownIncarnation;
    }
    return false;
}

EndpointDirectory::EndpointDirectory(permits::PoolTable &pools, AnnounceLeaving announceLeaving)
    : pools_(pools),
      announceLeaving_(std::move(announceLeaving))
{
}

void EndpointDirectory::markLeaving(const support::EndpointId &endpoint, LeavingOrigin origin, IncarnationHash incarnation)
{
    bool mustAnnounce = false;
    IncarnationHash leavingIncarnation = unknownIncarnation;
    {
        const std::scoped_lock lock(mutex_);
        LeavingState &leavingState = leavingStates_[endpoint];
        if (origin == LeavingOrigin::Endpoint && leavingState.endpointIsLeaving) {
            return;
        }
        const LeavingState before = leavingState;
        if (const auto configured = configuredIncarnations_.find(endpoint); configured != configuredIncarnations_.end()) {
            recordConfigured(leavingState, configured->second, std::chrono::steady_clock::now());
        }
        dropStaleReport(leavingState);
        recordAnnouncement(leavingState, incarnation);
        leavingIncarnation = leavingState.leavingIncarnation;
        mustAnnounce = needsAnnouncement(before, leavingState, origin, incarnation);
        publish();
    }
    if (mustAnnounce && announceLeaving_) {
        announceLeaving_(endpoint, leavingIncarnation);
    }
}

void EndpointDirectory::recordReport(const support::EndpointId &endpoint, std::string_view incarnation, bool leaving)
{
    bool mustAnnounce = false;
    IncarnationHash leavingIncarnation = unknownIncarnation;
    {
        const std::scoped_lock lock(mutex_);
        LeavingState &leavingState = leavingStates_[endpoint];
        const LeavingState before = leavingState;
        dropStaleReport(leavingState);
        router::recordReport(leavingState, hashIncarnation(incarnation), leaving);
        leavingState.reportedAt = std::chrono::steady_clock::now();
        leavingIncarnation = leavingState.leavingIncarnation;
        mustAnnounce = needsAnnouncement(before, leavingState, LeavingOrigin::Endpoint, unknownIncarnation);
        publish();
    }
    if (mustAnnounce && announceLeaving_) {
        announceLeaving_(endpoint, leavingIncarnation);
    }
}

/// Returns the instance at the endpoint's address, or nullptr. Prefers a live one, because the list may
/// contain two instances while one replaces the other.
static const backingservices::ListedInstance *findInstance(
    const std::vector<backingservices::ListedInstance> &instances, const configuration::Endpoint &endpoint)
{
    const backingservices::ListedInstance *found = nullptr;
    for (const backingservices::ListedInstance &instance : instances) {
        if (instance.address != endpoint.address || (instance.port != 0 && instance.port != endpoint.port)) {
            continue;
        }
        if (found == nullptr || instance.state == backingservices::InstanceState::Live) {
            found = &instance;
        }
    }
    return found;
}

void EndpointDirectory::recordInstances(std::vector<backingservices::ListedInstance> instances, const configuration::SiteConfiguration &configuration)
{
    const std::scoped_lock lock(mutex_);
    instances_ = std::move(instances);
    matchInstances(configuration);
}

void EndpointDirectory::applyConfiguration(const configuration::SiteConfiguration &configuration)
{
    const std::scoped_lock lock(mutex_);
    matchIncarnations(configuration);
    matchInstances(configuration);
}

/// An endpoint's entry may lapse in the store and return while the endpoint runs on.
static constexpr std::chrono::minutes leavingStateLifetime {10};

/// Returns whether an endpoint without an entry may come back as the incarnation that has stated that it is leaving.
static bool mayReturn(const LeavingState &leavingState, std::chrono::steady_clock::time_point now)
{
    return leavingState.endpointIsLeaving && leavingState.configuredIncarnation != 0 && now - leavingState.configuredAt.value() < leavingStateLifetime;
}

void EndpointDirectory::matchIncarnations(const configuration::SiteConfiguration &configuration)
{
    const auto now = std::chrono::steady_clock::now();
    configuredIncarnations_.clear();
    for (const configuration::Endpoint &endpoint : configuration.endpoints) {
        configuredIncarnations_[endpoint.id] = endpoint.incarnation;
    }
    for (auto &[id, state] : leavingStates_) {
        if (const auto configured = configuredIncarnations_.find(id); configured != configuredIncarnations_.end()) {
            recordConfigured(state, configured->second, now);
        }
    }
    // The state of an endpoint that was never configured is kept: another router may know it from a newer configuration.
    std::erase_if(leavingStates_, [&](const auto &entry) {
        const auto &[id, state] = entry;
        return state.configuredAt && !configuredIncarnations_.contains(id) && !mayReturn(state, now);
    });
}

void EndpointDirectory::matchInstances(const configuration::SiteConfiguration &configuration)
{
    for (const configuration::Endpoint &endpoint : configuration.endpoints) {
        if (const backingservices::ListedInstance *instance = findInstance(instances_, endpoint)) {
            recordInstance(leavingStates_[endpoint.id], instance->id.value(), instance->state);
        }
    }
    publish();
}

std::set<support::EndpointId> EndpointDirectory::leaving() const
{
    const std::scoped_lock lock(mutex_);
    return published_;
}

void EndpointDirectory::publish()
{
    std::set<support::EndpointId> current;
    for (const auto &[id, state] : leavingStates_) {
        if (isLeaving(state)) {
            current.insert(id);
        }
    }
    if (current == published_) {
        return;
    }
    for (const support::EndpointId &id : current) {
        if (!published_.contains(id)) {
            support::log(support::Severity::Info, "endpoint is leaving; it receives no new requests", {{"endpoint", id.value()}});
        }
    }
    published_ = std::move(current);
    pools_.setLeaving(published_);
}

} // namespace mulberrywall::router
