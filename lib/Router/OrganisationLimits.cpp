#include "mulberrywall/Router/OrganisationLimits.h"

#include <algorithm>

namespace mulberrywall::router
{

/// Retry-After value at the concurrency limit, as the end of the running requests cannot be predicted.
static constexpr std::chrono::milliseconds concurrencyRetryAfter {1'000};

std::chrono::milliseconds takeToken(RequestTokenBucket &bucket, unsigned requestsPerSecond, policy::TimePoint now)
{
    const auto perSecond = static_cast<double>(requestsPerSecond);
    if (!bucket.started) {
        bucket = {.tokens = perSecond, .updatedAt = now, .started = true};
    }
    const std::chrono::duration<double> passed = now - bucket.updatedAt;
    bucket.tokens = std::min(perSecond, bucket.tokens + passed.count() * perSecond);
    bucket.updatedAt = now;
    if (bucket.tokens >= 1.0) {
        bucket.tokens -= 1.0;
        return std::chrono::milliseconds(0);
    }
    const std::chrono::duration<double> wait((1.0 - bucket.tokens) / perSecond);
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(wait), std::chrono::milliseconds(1));
}

struct OrganisationLimits::Table
{
    struct OrganisationUsage
    {
        RequestTokenBucket bucket;
        unsigned running = 0;
    };

    std::mutex mutex;
    std::map<support::OrganisationId, OrganisationUsage> entries;
};

OrganisationLimits::OrganisationLimits()
    : table_(std::make_shared<Table>())
{
}

std::variant<ConcurrencySlot, LimitReached> OrganisationLimits::admit(const configuration::Organisation &organisation, policy::TimePoint now)
{
    const std::scoped_lock lock(table_->mutex);
    Table::OrganisationUsage &entry = table_->entries[organisation.id];
    if (organisation.concurrentRequests > 0 && entry.running >= organisation.concurrentRequests) {
        return LimitReached {.detail = "organisation '" + organisation.id.value() + "' has reached its limit of "
                + std::to_string(organisation.concurrentRequests) + " concurrent requests; wait until one has ended",
            .retryAfter = concurrencyRetryAfter};
    }
    if (organisation.requestsPerSecond > 0) {
        const std::chrono::milliseconds wait = takeToken(entry.bucket, organisation.requestsPerSecond, now);
        if (wait.count() > 0) {
            return LimitReached {.detail = "organisation '" + organisation.id.value() + "' has reached its limit of "
                    + std::to_string(organisation.requestsPerSecond) + " requests per second; send requests more slowly",
                .retryAfter = wait};
        }
    }
    ++entry.running;
    return ConcurrencySlot(nullptr, [table = table_, id = organisation.id](void *) {
        const std::scoped_lock slotLock(table->mutex);
        --table->entries.at(id).running;
    });
}

} // namespace mulberrywall::router
