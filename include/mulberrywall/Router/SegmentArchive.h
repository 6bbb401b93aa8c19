#pragma once

#include "mulberrywall/Permits/OwnedPool.h"
#include "mulberrywall/Router/SegmentRow.h"
#include "mulberrywall/Router/TableWatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace mulberrywall::router
{

/// Passes whether the store has acknowledged the command.
using StoredHandler = std::function<void(bool)>;

/// Commands on the rows of a table of the store. Each handler is called once, from any thread, but never inside the function.
struct RowStore
{
    std::function<void(std::string key, std::string value, StoredHandler handler)> put;
    std::function<void(std::string key, StoredHandler handler)> remove;
};

/// Keeps quarantined prompt segments in the store. Routers pass them on to each other, but all of them may restart at once, and
/// without the evidence they would send such requests to several endpoints more.
///
/// A router that has seen the latest crash on a segment stores it, and removes its row when it is no longer quarantined. The rows are
/// read by whoever reads the table at the start of the router. Thread-safe; the work is done on a strand.
class SegmentArchive : public std::enable_shared_from_this<SegmentArchive>
{
public:
    SegmentArchive(boost::asio::io_context &context, permits::PoolTable &pools, support::InstanceId instance, RowStore store);

    // Commands
    /// Begins to store segments.
    void start();
    void stop();
    /// Takes over the segments in the rows; other rows are ignored.
    void load(std::span<const TableRow> rows);
    /// Records the segments whose pools have come into existence since they were loaded. Call it after each configuration.
    void recordLoaded();

private:
    /// A row of this router, by the crash that it contains as the latest one.
    struct OwnRow
    {
        std::uint64_t latestCrash = 0;
        bool isPending = false;
    };

    struct LoadedSegment
    {
        StoredSegment segment;
        std::chrono::steady_clock::time_point loadedAt;
    };

    void loadRow(const TableRow &row);
    void recordPending();
    void compareWithStore();
    void put(const std::string &key, const StoredSegment &segment);
    void onPut(const std::string &key, std::uint64_t latestCrash, bool isStored);
    void remove(const std::string &key);

    permits::PoolTable &pools_;
    support::InstanceId instance_;
    RowStore store_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    std::vector<LoadedSegment> loaded_;
    std::map<std::string, OwnRow> ownRows_;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
