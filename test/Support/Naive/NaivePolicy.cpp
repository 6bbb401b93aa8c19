#include "Naive/NaivePolicy.h"

#include "mulberrywall/Policy/ClassSet.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace mulberrywall::naive
{

using namespace policy;

namespace
{

constexpr std::chrono::milliseconds rejectionRetryAfter {1'000};

struct NaiveEndpoint
{
    EndpointSpec spec;
    unsigned running = 0;
};

struct NaivePool
{
    PoolOptions options;
    std::shared_ptr<const ClassSet> classSet;
    std::vector<NaiveEndpoint> endpoints;
    std::size_t nextEndpoint = 0;
    std::deque<Submission> queue;
    std::map<PermitId, support::EndpointId> active;
};

NaivePool &asPool(void *pool)
{
    return *static_cast<NaivePool *>(pool);
}

const NaivePool &asPool(const void *pool)
{
    return *static_cast<const NaivePool *>(pool);
}

void reject(Decisions &decisions, PermitId permit, RejectionReason reason)
{
    decisions.rejections.push_back({.permit = permit, .reason = reason, .retryAfter = rejectionRetryAfter});
}

NaiveEndpoint *findEndpoint(NaivePool &pool, const support::EndpointId &id)
{
    const auto found = std::find_if(pool.endpoints.begin(), pool.endpoints.end(), [&](const NaiveEndpoint &endpoint) { return endpoint.spec.id == id; });
    return found == pool.endpoints.end() ? nullptr : &*found;
}

bool isEligible(const Submission &submission, const NaiveEndpoint &endpoint)
{
    const auto &excluded = submission.excludedEndpoints;
    return !endpoint.spec.leaving && std::find(excluded.begin(), excluded.end(), endpoint.spec.id) == excluded.end();
}

bool hasUsableEndpoint(const NaivePool &pool, const Submission &submission)
{
    return std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [&](const NaiveEndpoint &endpoint) { return isEligible(submission, endpoint); });
}

NaiveEndpoint *nextFreeEndpoint(NaivePool &pool, const Submission &submission)
{
    for (std::size_t step = 0; step < pool.endpoints.size(); ++step) {
        const std::size_t index = (pool.nextEndpoint + step) % pool.endpoints.size();
        NaiveEndpoint &endpoint = pool.endpoints[index];
        if (isEligible(submission, endpoint) && endpoint.running < endpoint.spec.maximumConcurrency) {
            pool.nextEndpoint = index + 1;
            return &endpoint;
        }
    }
    return nullptr;
}

void grant(NaivePool &pool, NaiveEndpoint &endpoint, PermitId permit, Decisions &decisions)
{
    ++endpoint.running;
    pool.active.emplace(permit, endpoint.spec.id);
    decisions.grants.push_back({.permit = permit, .endpoint = endpoint.spec.id});
}

void schedule(NaivePool &pool, TimePoint now, Decisions &decisions)
{
    std::erase_if(pool.queue, [&](const Submission &submission) {
        if (submission.deadline > now && hasUsableEndpoint(pool, submission)) {
            return false;
        }
        reject(decisions, submission.permit, submission.deadline > now ? RejectionReason::NoEndpoint : RejectionReason::DeadlineExpired);
        return true;
    });
    while (!pool.queue.empty()) {
        NaiveEndpoint *endpoint = nextFreeEndpoint(pool, pool.queue.front());
        if (endpoint == nullptr) {
            return;
        }
        grant(pool, *endpoint, pool.queue.front().permit, decisions);
        pool.queue.pop_front();
    }
}

void configure(void *handle, const PoolOptions &options)
{
    NaivePool &pool = asPool(handle);
    pool.options = options;
    pool.classSet = classSetOf(options);
}

PoolHandle create(const PoolOptions &options)
{
    auto pool = std::make_shared<NaivePool>();
    configure(pool.get(), options);
    return pool;
}

Decisions submit(void *handle, const Submission &submission, TimePoint now)
{
    NaivePool &pool = asPool(handle);
    Decisions decisions;
    if (!pool.classSet->specs.contains(submission.requestClass)) {
        reject(decisions, submission.permit, RejectionReason::UnknownClass);
        return decisions;
    }
    if (submission.purpose == AttemptPurpose::Hedge) {
        NaiveEndpoint *endpoint = pool.queue.empty() ? nextFreeEndpoint(pool, submission) : nullptr;
        if (endpoint == nullptr) {
            reject(decisions, submission.permit, RejectionReason::HedgeDenied);
            return decisions;
        }
        grant(pool, *endpoint, submission.permit, decisions);
        return decisions;
    }
    pool.queue.push_back(submission);
    schedule(pool, now, decisions);
    if (pool.queue.size() > pool.options.queueLimit) {
        reject(decisions, pool.queue.back().permit, RejectionReason::Shed);
        pool.queue.pop_back();
    }
    return decisions;
}

void recordPause(void * /*handle*/, TimePoint::duration /*pause*/, TimePoint /*now*/)
{
}

Decisions advance(void *handle, TimePoint now)
{
    Decisions decisions;
    schedule(asPool(handle), now, decisions);
    return decisions;
}

Decisions withdraw(void *handle, PermitId permit, TimePoint now)
{
    std::erase_if(asPool(handle).queue, [&](const Submission &submission) { return submission.permit == permit; });
    return advance(handle, now);
}

Decisions recordProgress(void *handle, PermitId /*permit*/, const Progress & /*progress*/, TimePoint now)
{
    return advance(handle, now);
}

Decisions complete(void *handle, PermitId permit, const Completion & /*completion*/, TimePoint now)
{
    NaivePool &pool = asPool(handle);
    const auto found = pool.active.find(permit);
    if (found != pool.active.end()) {
        NaiveEndpoint *endpoint = findEndpoint(pool, found->second);
        --endpoint->running;
        pool.active.erase(found);
        std::erase_if(pool.endpoints, [](const NaiveEndpoint &entry) { return entry.spec.leaving && entry.running == 0; });
    }
    return advance(handle, now);
}

Decisions setEndpoints(void *handle, std::span<const EndpointSpec> endpoints, TimePoint now)
{
    NaivePool &pool = asPool(handle);
    for (NaiveEndpoint &endpoint : pool.endpoints) {
        endpoint.spec.leaving = true;
    }
    for (const EndpointSpec &spec : endpoints) {
        NaiveEndpoint *existing = findEndpoint(pool, spec.id);
        if (existing == nullptr) {
            existing = &pool.endpoints.emplace_back();
        }
        existing->spec = spec;
    }
    std::erase_if(pool.endpoints, [](const NaiveEndpoint &entry) { return entry.spec.leaving && entry.running == 0; });
    return advance(handle, now);
}

Decisions recordLoadReport(void *handle, const LoadReport & /*report*/, TimePoint now)
{
    return advance(handle, now);
}

Decisions reregister(void *handle, const RunningRequest &running, TimePoint now)
{
    NaivePool &pool = asPool(handle);
    if (pool.active.emplace(running.submission.permit, running.endpoint).second) {
        NaiveEndpoint *endpoint = findEndpoint(pool, running.endpoint);
        if (endpoint == nullptr) {
            endpoint = &pool.endpoints.emplace_back(NaiveEndpoint {.spec = {.id = running.endpoint, .leaving = true}});
        }
        ++endpoint->running;
    }
    return advance(handle, now);
}

Decisions recordQuarantineEntry(void * /*handle*/, const QuarantineEntry & /*entry*/, TimePoint /*now*/)
{
    return {};
}

std::optional<TimePoint> nextWakeUp(const void *handle)
{
    const auto &queue = asPool(handle).queue;
    const auto earliest
        = std::min_element(queue.begin(), queue.end(), [](const Submission &left, const Submission &right) { return left.deadline < right.deadline; });
    if (earliest == queue.end() || earliest->deadline == TimePoint::max()) {
        return std::nullopt;
    }
    return earliest->deadline;
}

unsigned freeSlots(const NaiveEndpoint &endpoint)
{
    if (endpoint.spec.leaving || endpoint.running >= endpoint.spec.maximumConcurrency) {
        return 0;
    }
    return endpoint.spec.maximumConcurrency - endpoint.running;
}

PoolSummary summarize(const void *handle)
{
    const NaivePool &pool = asPool(handle);
    PoolSummary summary {.waiting = static_cast<std::uint32_t>(pool.queue.size()), .running = static_cast<std::uint32_t>(pool.active.size())};
    for (const NaiveEndpoint &endpoint : pool.endpoints) {
        summary.freeSlots += freeSlots(endpoint);
        summary.endpoints += endpoint.spec.leaving ? 0 : 1;
    }
    return summary;
}

Decisions recordPeerRequests(void * /*handle*/, const PeerReport & /*report*/, TimePoint /*now*/)
{
    return {};
}

Decisions recordLostEndpoints(void * /*handle*/, std::span<const LostEndpoint> /*lost*/, LossSource /*source*/, TimePoint /*now*/)
{
    return {};
}

std::vector<LostEndpoint> lostEndpoints(const void * /*handle*/, LossSource /*farthest*/, TimePoint /*now*/)
{
    return {};
}

Decisions recordSegmentEvidence(void * /*handle*/, std::span<const SegmentEvidence> /*evidence*/, TimePoint /*now*/)
{
    return {};
}

std::vector<SegmentEvidence> segmentEvidence(const void * /*handle*/, TimePoint /*now*/)
{
    return {};
}

std::vector<QuarantinedSegment> quarantinedSegments(const void * /*handle*/, TimePoint /*now*/)
{
    return {};
}

Decisions recordPeerSummary(void * /*handle*/, const ReceivedSummary & /*received*/, TimePoint /*now*/)
{
    return {};
}

std::vector<PeerPrefix> newPrefixes(const void * /*handle*/, TimePoint /*now*/)
{
    return {};
}

std::vector<PeerRequest> runningRequests(const void * /*handle*/)
{
    return {};
}

PeerSummary summarizeLoad(const void * /*handle*/, SummaryScope /*scope*/, TimePoint /*now*/)
{
    return {};
}

std::vector<QuarantineEntry> quarantineEntries(const void * /*handle*/)
{
    return {};
}

std::optional<std::chrono::milliseconds> hedgeDelay(const void * /*handle*/, const support::ClassId & /*requestClass*/)
{
    return std::nullopt;
}

std::vector<EndpointStatus> endpointStatus(const void *handle)
{
    std::vector<EndpointStatus> result;
    for (const NaiveEndpoint &endpoint : asPool(handle).endpoints) {
        result.push_back({.id = endpoint.spec.id,
            .running = endpoint.running,
            .slots = endpoint.spec.leaving ? 0 : endpoint.spec.maximumConcurrency,
            .leaving = endpoint.spec.leaving});
    }
    return result;
}

PoolStatistics statistics(const void * /*handle*/)
{
    return {};
}

constexpr PolicyFunctions naiveFunctions {.create = create,
    .configure = configure,
    .submit = submit,
    .withdraw = withdraw,
    .recordProgress = recordProgress,
    .complete = complete,
    .setEndpoints = setEndpoints,
    .recordLoadReport = recordLoadReport,
    .reregister = reregister,
    .recordQuarantineEntry = recordQuarantineEntry,
    .recordPeerRequests = recordPeerRequests,
    .recordPeerSummary = recordPeerSummary,
    .recordLostEndpoints = recordLostEndpoints,
    .recordSegmentEvidence = recordSegmentEvidence,
    .recordPause = recordPause,
    .advance = advance,
    .nextWakeUp = nextWakeUp,
    .summarize = summarize,
    .runningRequests = runningRequests,
    .newPrefixes = newPrefixes,
    .summarizeLoad = summarizeLoad,
    .lostEndpoints = lostEndpoints,
    .segmentEvidence = segmentEvidence,
    .quarantinedSegments = quarantinedSegments,
    .quarantineEntries = quarantineEntries,
    .hedgeDelay = hedgeDelay,
    .endpointStatus = endpointStatus,
    .statistics = statistics};

} // namespace

const PolicyFunctions &naivePolicy()
{
    return naiveFunctions;
}

} // namespace mulberrywall::naive
