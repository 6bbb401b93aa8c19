#include "mulberrywall/Router/EndpointDirectory.h"

#include "mulberrywall/Support/Log.h"

#include <utility>

namespace mulberrywall::router
{

bool isLeaving(const LeavingMarks &marks)
{
    return marks.endpointLeaves || marks.instanceLeaves;
}

void recordReport(LeavingMarks &marks, std::string_view incarnation, bool leaving)
{
    const bool isNew = !marks.incarnation.empty() && !incarnation.empty() && incarnation != marks.incarnation;
    if (!incarnation.empty()) {
        marks.incarnation = incarnation;
    }
    marks.endpointLeaves = leaving || (marks.endpointLeaves && !isNew);
}

void recordInstance(LeavingMarks &marks, std::string_view instance, platform::InstanceState state)
{
    if (marks.instance != instance) {
        if (!marks.instance.empty()) {
            marks = {};
        }
        marks.instance = instance;
    }
    // The list lags, so that an instance that leaves may be listed as live once more.
    marks.instanceLeaves = marks.instanceLeaves || state == platform::InstanceState::Leaving;
}

EndpointDirectory::EndpointDirectory(permits::PoolTable &pools, std::function<void(const support::EndpointId &)> announce)
    : pools_(pools),
      announce_(std::move(announce))
{
}

void EndpointDirectory::markLeaving(const support::EndpointId &endpoint, LeavingOrigin origin)
{
    bool isNew = false;
    {
        const std::scoped_lock lock(mutex_);
        LeavingMarks &marks = marks_[endpoint];
        isNew = !marks.endpointLeaves;
        marks.endpointLeaves = true;
        publish();
    }
    if (isNew && origin == LeavingOrigin::Local && announce_) {
        announce_(endpoint);
    }
}

void EndpointDirectory::recordReport(const support::EndpointId &endpoint, std::string_view incarnation, bool leaving)
{
    bool isNew = false;
    {
        const std::scoped_lock lock(mutex_);
        LeavingMarks &marks = marks_[endpoint];
        isNew = leaving && !marks.endpointLeaves;
        router::recordReport(marks, incarnation, leaving);
        publish();
    }
    if (isNew && announce_) {
        announce_(endpoint);
    }
}

/// Prefers a live instance: while one replaces another at the same address, the list may have both.
static const platform::Instance *findInstance(const std::vector<platform::Instance> &instances, const configuration::Endpoint &endpoint)
{
    const platform::Instance *found = nullptr;
    for (const platform::Instance &instance : instances) {
        if (instance.address != endpoint.address || (instance.port != 0 && instance.port != endpoint.port)) {
            continue;
        }
        if (found == nullptr || instance.state == platform::InstanceState::Live) {
            found = &instance;
        }
    }
    return found;
}

void EndpointDirectory::recordInstances(std::vector<platform::Instance> instances, const configuration::SiteConfiguration &configuration)
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
        if (const platform::Instance *instance = findInstance(instances_, endpoint)) {
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
