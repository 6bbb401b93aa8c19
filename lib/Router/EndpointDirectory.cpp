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

bool isLeaving(const LeavingMarks &marks)
{
    return marks.endpointLeaves || marks.instanceLeaves;
}

void recordAnnouncement(LeavingMarks &marks, IncarnationHash incarnation)
{
    marks.endpointLeaves = true;
    marks.leavingIncarnation = incarnation != unknownIncarnation ? incarnation : marks.incarnation;
}

void recordReport(LeavingMarks &marks, IncarnationHash incarnation, bool leaving)
{
    if (incarnation != unknownIncarnation) {
        marks.incarnation = incarnation;
    }
    if (leaving) {
        marks.endpointLeaves = true;
        marks.leavingIncarnation = marks.incarnation;
        return;
    }
    if (!marks.endpointLeaves || incarnation == unknownIncarnation) {
        return;
    }
    if (marks.leavingIncarnation == unknownIncarnation) {
        marks.leavingIncarnation = incarnation;
    } else if (marks.leavingIncarnation != incarnation) {
        marks.endpointLeaves = false;
        marks.leavingIncarnation = unknownIncarnation;
    }
}

void recordInstance(LeavingMarks &marks, std::string_view instance, backingservices::InstanceState state)
{
    if (marks.instance != instance) {
        if (!marks.instance.empty()) {
            marks = {};
        }
        marks.instance = instance;
    }
    // The list lags, so that an instance that leaves may be listed as live once more.
    marks.instanceLeaves = marks.instanceLeaves || state == backingservices::InstanceState::Leaving;
}

/// Only the owner of a pool asks its endpoints, once a second. An older report is from an earlier ownership, and the endpoint
/// may have been restarted since.
static constexpr std::chrono::seconds reportLifetime {5};

static void forgetOldReport(LeavingMarks &marks)
{
    if (std::chrono::steady_clock::now() - marks.reportedAt > reportLifetime) {
        marks.incarnation = unknownIncarnation;
    }
}

/// Returns whether the other routers have to learn of the mark or of its incarnation.
static bool isAnnounced(const LeavingMarks &before, const LeavingMarks &after, LeavingOrigin origin, IncarnationHash announced)
{
    switch (origin) {
    case LeavingOrigin::Operator:
        // The mark that is known here may be for an earlier incarnation.
        return true;
    case LeavingOrigin::Endpoint:
        return after.endpointLeaves && (!before.endpointLeaves || after.leavingIncarnation != before.leavingIncarnation);
    case LeavingOrigin::Peer:
        return announced == unknownIncarnation && after.leavingIncarnation != unknownIncarnation;
    }
    return false;
}

EndpointDirectory::EndpointDirectory(permits::PoolTable &pools, Announce announce)
    : pools_(pools),
      announce_(std::move(announce))
{
}

void EndpointDirectory::markLeaving(const support::EndpointId &endpoint, LeavingOrigin origin, IncarnationHash incarnation)
{
    bool mustAnnounce = false;
    IncarnationHash marked = unknownIncarnation;
    {
        const std::scoped_lock lock(mutex_);
        LeavingMarks &marks = marks_[endpoint];
        if (origin == LeavingOrigin::Endpoint && marks.endpointLeaves) {
            return;
        }
        const LeavingMarks before = marks;
        forgetOldReport(marks);
        recordAnnouncement(marks, incarnation);
        marked = marks.leavingIncarnation;
        mustAnnounce = isAnnounced(before, marks, origin, incarnation);
        publish();
    }
    if (mustAnnounce && announce_) {
        announce_(endpoint, marked);
    }
}

void EndpointDirectory::recordReport(const support::EndpointId &endpoint, std::string_view incarnation, bool leaving)
{
    bool mustAnnounce = false;
    IncarnationHash marked = unknownIncarnation;
    {
        const std::scoped_lock lock(mutex_);
        LeavingMarks &marks = marks_[endpoint];
        const LeavingMarks before = marks;
        forgetOldReport(marks);
        router::recordReport(marks, hashIncarnation(incarnation), leaving);
        marks.reportedAt = std::chrono::steady_clock::now();
        marked = marks.leavingIncarnation;
        mustAnnounce = isAnnounced(before, marks, LeavingOrigin::Endpoint, unknownIncarnation);
        publish();
    }
    if (mustAnnounce && announce_) {
        announce_(endpoint, marked);
    }
}

/// Prefers a live instance: while one replaces another at the same address, the list may have both.
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
    matchInstances(configuration);
}

void EndpointDirectory::matchInstances(const configuration::SiteConfiguration &configuration)
{
    for (const configuration::Endpoint &endpoint : configuration.endpoints) {
        if (const backingservices::ListedInstance *instance = findInstance(instances_, endpoint)) {
            recordInstance(marks_[endpoint.id], instance->id.value(), instance->state);
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
    for (const auto &[id, marks] : marks_) {
        if (isLeaving(marks)) {
            current.insert(id);
        }
    }
    if (current == published_) {
        return;
    }
    for (const support::EndpointId &id : current) {
        if (!published_.contains(id)) {
            support::log(support::Severity::Info, "endpoint leaves; it gets no new work", {{"endpoint", id.value()}});
        }
    }
    published_ = std::move(current);
    pools_.setLeaving(published_);
}

} // namespace mulberrywall::router
