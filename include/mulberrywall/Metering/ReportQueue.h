#pragma once

#include "mulberrywall/Metering/ReportSchedule.h"
#include "mulberrywall/Metering/Types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace mulberrywall::metering
{

/// Reports in the store.
struct StoredReports
{
    /// Highest window whose report was ever stored, also if its row has been deleted.
    std::optional<WindowNumber> highestWindow;
    std::vector<UsageReport> reports;
};

/// Changes of the store that must be made in one transaction, under the condition that the lease row is unchanged.
struct StoreBatch
{
    std::vector<UsageReport> put;
    /// Windows whose rows are to be deleted.
    std::vector<WindowNumber> remove;
    /// Highest window whose report is stored after the transaction; to be kept with the lease.
    WindowNumber highestWindow = 0;
};

enum class StoreOutcome : std::uint8_t {
    Stored,
    /// Certainly not stored, for example because no lease is held now.
    NotStored,
    /// The batch may have been stored or may be stored later.
    Unknown,
};

enum class SendOutcome : std::uint8_t {
    Accepted,
    /// The API responded with 429 or another error.
    Rejected,
    /// There was no response in time.
    Unknown,
    /// The call was not made, because the lease does not permit it now.
    NotPermitted,
};

struct ReportQueueOptions
{
    ReportScheduleOptions schedule;
    std::chrono::milliseconds initialBackoff {250};
    std::chrono::milliseconds maximumBackoff {2'000};
    /// Stored reports that are not accepted. With windows of 5 s it covers an hour, after which a report is given up.
    std::size_t maxReports = 720;
    std::size_t maxBytes = std::size_t {4} * 1024 * 1024;
    /// The row of an accepted report is deleted once this many later windows have been stored, so that a new holder that
    /// reads the rows shortly after finds them complete.
    WindowNumber retainedWindows = 2;
};

/// A report to send now.
struct ReportCall
{
    UsageReport report;
    /// Number of earlier calls by this holder with the same report.
    unsigned earlierCalls = 0;
    /// True if an earlier holder stored the report, which it may have sent as well.
    bool inherited = false;
};

/// The end of a report that was accepted.
struct ReportEnd
{
    WindowNumber window = 0;
    /// True if the report was accepted after it was due.
    bool late = false;
};

/// Reports of the holder of the lease, from their assembly to their acceptance. Pure and not thread-safe.
///
/// A report is sent only after the store has confirmed its bytes, and its bytes never change after the first attempt to store
/// them. At most one batch is being stored and one report is being sent at a time.
class ReportQueue
{
public:
    explicit ReportQueue(const ReportQueueOptions &options = {});

    // Commands
    /// Starts with what the store contains, read after the lease was taken. No window up to the highest stored one is assembled
    /// again.
    void begin(const StoredReports &stored);
    /// Drops all reports; the store has those that may have been sent.
    void end();
    /// Adds a report for a window above highestDecided().
    void add(UsageReport report);
    /// Returns the batch to store now, if any; onStored must be called with its outcome.
    std::optional<StoreBatch> takeBatch(TrueTime now);
    void onStored(StoreOutcome outcome, TrueTime now);
    /// Returns the report to send now, if any; onSent must be called with the outcome.
    std::optional<ReportCall> takeCall(TrueTime now);
    /// Returns the end of the report if it was accepted, or nothing if it will be sent again.
    std::optional<ReportEnd> onSent(SendOutcome outcome, TrueTime now);
    /// Gives up the reports above the bounds, oldest first, and returns their windows.
    std::vector<WindowNumber> dropExcess();

    // Queries
    /// Returns whether the queue is between begin and end.
    [[nodiscard]] bool isActive() const
    {
        return active_;
    }
    /// Returns the highest window whose report was stored or assembled.
    [[nodiscard]] std::optional<WindowNumber> highestDecided() const
    {
        return highestDecided_;
    }
    /// Returns the number of reports that are stored and not accepted.
    [[nodiscard]] std::size_t unacceptedReports() const;

private:
    enum class Stage : std::uint8_t {
        Assembled,
        Stored,
        Accepted,
        /// Given up; the row is still to be deleted.
        Dropped,
    };
    struct Entry
    {
        std::string body;
        Stage stage = Stage::Assembled;
        unsigned calls = 0;
        bool inherited = false;
    };
    struct Backoff
    {
        std::chrono::milliseconds delay {0};
        TrueTime until;
    };

    void backOff(Backoff &backoff, TrueTime now) const;
    [[nodiscard]] bool isDeletable(WindowNumber window, const Entry &entry, WindowNumber highest) const;
    [[nodiscard]] std::optional<WindowNumber> chooseReport(TrueTime now) const;

    ReportQueueOptions options_;
    bool active_ = false;
    std::optional<WindowNumber> highestDecided_;
    std::map<WindowNumber, Entry> entries_;
    /// Batch whose outcome is not known yet. It is repeated unchanged after an unknown outcome.
    std::optional<StoreBatch> batch_;
    bool storing_ = false;
    Backoff storeBackoff_;
    /// Window that is being sent.
    std::optional<WindowNumber> sending_;
    Backoff sendBackoff_;
};

} // namespace mulberrywall::metering
