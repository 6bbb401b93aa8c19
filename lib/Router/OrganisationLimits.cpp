#include "mulberrywall/Router/OrganisationLimits.h"

#include <algorithm>

namespace mulberrywall::router
{

/// Advice for a caller whose running requests have to end first; their end cannot be foreseen.
static constexpr std::chrono::milliseconds concurrencyRetryAfter {1'000};

std::chrono::milliseconds takeRequest(RequestRate &rate, unsigned requestsPerSecond, policy::TimePoint now)
{
    const auto perSecond = static_cast<double>(requestsPerSecond);
    if (!rate.started) {
        rate = {.tokens = perSecond, .updatedAt = now, .started = true};
    }
    const std::chrono::duration<double> passed = now - rate.updatedAt;
    rate.tokens = std::min(perSecond, rate.tokens + passed.count() * perSecond);
    rate.updatedAt = now;
    if (rate.tokens >= 1.0) {
        rate.tokens -= 1.0;
        return std::chrono::milliseconds(0);
    }
    const std::chrono::duration<double> wait((1.0 - rate.tokens) / perSecond);
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(wait), std::chrono::milliseconds(1));
}

struct OrganisationLimits::Table
{
    struct Entry
    {
        RequestRate rate;
        unsigned running = 0;
    };

    std::mutex mutex;
    std::map<support::OrganisationId, Entry> entries;
};

OrganisationLimits::OrganisationLimits()
    : table_(std::make_shared<Table>())
{
}

std::variant<RunningTicket, LimitReached> OrganisationLimits::admit(const configuration::Organisation &organisation, policy::TimePoint now)
{
    const std::scoped_lock lock(table_->mutex);
    Table::Entry &entry = table_->entries[organisation.id];
    if (organisation.concurrentRequests > 0 && entry.running >= organisation.concurrentRequests) {
        return LimitReached {.detail = "organisation '" + organisation.id.value() + "' has reached its limit of "
                + std::to_string(organisation.concurrentRequests) + " concurrent requests; wait until one has ended",
            .retryAfter = concurrencyRetryAfter};
    }
    if (organisation.requestsPerSecond > 0) {
        const std::chrono::milliseconds wait = takeRequest(entry.rate, organisation.requestsPerSecond, now);
        if (wait.count() > 0) {
            return LimitReached {.detail = "organisation '" + organisation.id.value() + "' has reached its limit of "
                    + std::to_string(organisation.requestsPerSecond) + " requests per second; send requests more slowly",
                .retryAfter = wait};
        }
    }
    ++entry.running;
    return RunningTicket(nullptr, [table = table_, id = organisation.id](void *) {
        const std::scoped_lock ticketLock(table->mutex);
        --table->entries.at(id).running;
    });
}

} // namespace mulberrywall::router
