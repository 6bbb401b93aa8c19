#include "mulberrywall/Router/SegmentArchive.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace mulberrywall::router
{

/// For this long at most, a new quarantine is in the routers' memory only.
static constexpr std::chrono::milliseconds compareInterval {500};
/// A pool that does not exist this long after the start of the router is no longer configured.
static constexpr std::chrono::minutes loadedLifetime {1};

static std::uint64_t latestCrashOf(const policy::SegmentEvidence &evidence)
{
    return evidence.crashes.empty() ? 0 : evidence.crashes.back().id;
}

SegmentArchive::SegmentArchive(boost::asio::io_context &context, permits::PoolTable &pools, support::InstanceId instance, RowStore store)
    : pools_(pools),
      instance_(std::move(instance)),
      store_(std::move(store)),
      strand_(boost::asio::make_strand(context)),
      timer_(strand_)
{
}

void SegmentArchive::start()
{
    boost::asio::post(strand_, [self = shared_from_this()] { self->compareWithStore(); });
}

void SegmentArchive::stop()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
    });
}

void SegmentArchive::load(std::span<const TableRow> rows)
{
    std::vector<TableRow> segmentRows;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(segmentRows), [](const TableRow &row) { return isSegmentRowKey(row.key) && !row.deleted; });
    if (segmentRows.empty()) {
        return;
    }
    boost::asio::post(strand_, [self = shared_from_this(), segmentRows = std::move(segmentRows)] {
        for (const TableRow &row : segmentRows) {
            self->loadRow(row);
        }
        self->recordPending();
    });
}

void SegmentArchive::recordLoaded()
{
    boost::asio::dispatch(strand_, [self = shared_from_this()] { self->recordPending(); });
}

void SegmentArchive::loadRow(const TableRow &row)
{
    auto segment = parseSegmentRow(row.value, std::chrono::system_clock::now());
    if (!segment) {
        support::log(support::Severity::Warning, "ignored a stored prompt segment that cannot be read", {{"key", row.key}});
        return;
    }
    support::log(support::Severity::Info,
        "loaded a stored prompt segment",
        {{"segmentHash", segment->evidence.segment}, {"pool", segment->pool.value()}, {"writer", segment->writer.value()}});
    if (segment->writer == instance_) {
        // Removes the row when the quarantine ends, and makes trials, as the process before would have done.
        ownRows_.try_emplace(row.key, OwnRow {.latestCrash = latestCrashOf(segment->evidence)});
        segment->evidence.sawLatestCrash = true;
    }
    loaded_.push_back({.segment = std::move(*segment), .loadedAt = std::chrono::steady_clock::now()});
}

void SegmentArchive::recordPending()
{
    if (loaded_.empty()) {
        return;
    }
    const auto pools = pools_.pools();
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(loaded_, [&](const LoadedSegment &loaded) {
        const auto pool = pools.find(loaded.segment.pool);
        if (pool == pools.end()) {
            return now - loaded.loadedAt > loadedLifetime;
        }
        policy::SegmentEvidence evidence = loaded.segment.evidence;
        const auto waited = std::chrono::ceil<std::chrono::milliseconds>(now - loaded.loadedAt);
        for (policy::SegmentCrash &crash : evidence.crashes) {
            crash.age += waited;
        }
        if (evidence.outputAge) {
            *evidence.outputAge += waited;
        }
        pool->second->recordSegmentEvidence({&evidence, 1});
        return true;
    });
}

void SegmentArchive::compareWithStore()
{
    if (stopped_) {
        return;
    }
    recordPending();
    std::set<std::string> quarantined;
    for (const auto &[id, pool] : pools_.pools()) {
        for (policy::QuarantinedSegment &found : pool->quarantinedSegments()) {
            const StoredSegment segment {.pool = id, .writer = instance_, .evidence = std::move(found.evidence)};
            const std::string key = segmentRowKey(segment);
            quarantined.insert(key);
            const auto stored = ownRows_.find(key);
            const bool isStored = stored != ownRows_.end() && (stored->second.isPending || stored->second.latestCrash == latestCrashOf(segment.evidence));
            if (found.sawLatestCrash && !isStored) {
                put(key, segment);
            }
        }
    }
    std::vector<std::string> obsolete;
    for (const auto &[key, row] : ownRows_) {
        if (!row.isPending && loaded_.empty() && !quarantined.contains(key)) {
            obsolete.push_back(key);
        }
    }
    for (const std::string &key : obsolete) {
        remove(key);
    }
    timer_.expires_after(compareInterval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->compareWithStore();
        }
    });
}

void SegmentArchive::put(const std::string &key, const StoredSegment &segment)
{
    ownRows_[key].isPending = true;
    store_.put(key,
        renderSegmentRow(segment, std::chrono::system_clock::now()),
        [weak = weak_from_this(), strand = strand_, key, latestCrash = latestCrashOf(segment.evidence)](bool isStored) {
            boost::asio::post(strand, [weak, key, latestCrash, isStored] {
                if (const auto self = weak.lock()) {
                    self->onPut(key, latestCrash, isStored);
                }
            });
        });
}

void SegmentArchive::onPut(const std::string &key, std::uint64_t latestCrash, bool isStored)
{
    if (isStored) {
        support::log(support::Severity::Info, "stored a quarantined prompt segment", {{"key", key}});
    } else {
        support::log(support::Severity::Warning, "could not store a quarantined prompt segment; trying again", {{"key", key}});
    }
    // The next comparison writes a row again whose latest crash differs.
    ownRows_[key] = {.latestCrash = isStored ? latestCrash : 0};
}

void SegmentArchive::remove(const std::string &key)
{
    ownRows_[key].isPending = true;
    store_.remove(key, [weak = weak_from_this(), strand = strand_, key](bool isRemoved) {
        boost::asio::post(strand, [weak, key, isRemoved] {
            const auto self = weak.lock();
            if (self && isRemoved) {
                self->ownRows_.erase(key);
            } else if (self) {
                self->ownRows_[key].isPending = false;
            }
        });
    });
}

} // namespace mulberrywall::router
