#pragma once

#include "mulberrywall/BackingServices/TableClient.h"
#include "mulberrywall/Configuration/Revision.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::configuration
{

inline constexpr std::string_view configurationTable = "configuration";

/// Identifies the newest accepted revision.
struct RevisionHead
{
    /// 0 if no revision has been accepted yet.
    std::uint64_t revision = 0;
    std::string pushId;
    /// Version of the head row in the table service; 0 if there is no head row.
    std::uint64_t rowVersion = 0;
};

struct RevisionHeadResult
{
    /// Absent if no revision has been accepted yet.
    backingservices::ReadStatus status = backingservices::ReadStatus::Unavailable;
    RevisionHead head;
    std::string detail;
};

struct RevisionResult
{
    backingservices::ReadStatus status = backingservices::ReadStatus::Unavailable;
    /// Set if the status is Found.
    std::shared_ptr<const Revision> revision;
    std::string detail;
};

enum class PushStatus : std::uint8_t {
    Applied,
    /// The head is not the revision on which the push was based; nothing was changed.
    Conflict,
    /// The push was certainly not applied.
    NotApplied,
    /// The result could not be confirmed in time. Repeating the push with the same push id finds out whether it was applied.
    Unknown,
};

struct PushRequest
{
    /// Number of the revision to which the change is applied; 0 for the first revision.
    std::uint64_t basedOn = 0;
    std::string pushId;
    std::vector<SiteConfiguration> sites;
    /// The revision with the number basedOn, or null. If set, a delta is stored in addition to the whole revision.
    std::shared_ptr<const Revision> base;
    /// Time limit for the push, including retries and the confirmation of commits whose outcome is unknown.
    std::chrono::milliseconds timeout {5'000};
};

struct PushResult
{
    PushStatus status = PushStatus::Unknown;
    /// Number of the revision that the push created; set if the status is Applied.
    std::uint64_t revision = 0;
    std::string detail;
};

/// Reads and writes the configuration in the table service. Thread-safe; each handler runs once.
class RevisionStore
{
public:
    RevisionStore(const boost::asio::any_io_executor &executor, const backingservices::BackingServiceOptions &options);

    /// Reads the head row.
    void fetchHead(std::function<void(RevisionHeadResult)> handler) const;
    /// Reads an accepted revision. A revision that cannot be parsed is reported as Unavailable.
    void fetchRevision(std::uint64_t number, std::function<void(RevisionResult)> handler) const;
    /// Reads an accepted revision by its delta if the cached revision is its predecessor, and otherwise as a whole.
    ///
    /// A whole revision of the target size has about 1 MB, which is too much for each router to read at each change.
    void fetchRevision(std::uint64_t number, std::shared_ptr<const Revision> cached, std::function<void(RevisionResult)> handler) const;
    /// Commits a new revision and the head in one transaction, by compare-and-set on the head.
    ///
    /// After a lost response, the push id is read back to find out whether the commit was applied. Repeating a push with the
    /// same push id is therefore safe.
    void push(PushRequest request, std::function<void(PushResult)> handler) const;

private:
    boost::asio::any_io_executor executor_;
    backingservices::TableClient table_;
};

} // namespace mulberrywall::configuration
