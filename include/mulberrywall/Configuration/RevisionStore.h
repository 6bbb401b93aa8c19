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

/// The newest accepted revision.
struct RevisionHead
{
    /// 0 when no revision was ever accepted.
    std::uint64_t revision = 0;
    std::string pushId;
    /// Version of the head row; 0 when there is none.
    std::uint64_t rowVersion = 0;
};

struct RevisionHeadResult
{
    /// Found, or Absent when no revision was ever accepted.
    backingservices::ReadStatus status = backingservices::ReadStatus::Unavailable;
    RevisionHead head;
    std::string detail;
};

struct RevisionResult
{
    backingservices::ReadStatus status = backingservices::ReadStatus::Unavailable;
    /// Set when found.
    std::shared_ptr<const Revision> revision;
    std::string detail;
};

enum class PushStatus : std::uint8_t {
    Applied,
    /// The head is not the revision that the push was based on; nothing was changed.
    Conflict,
    /// Proven not to have been applied.
    NotApplied,
    /// It could not be confirmed in time; the same push id finds out later.
    Unknown,
};

struct PushRequest
{
    /// Revision that the change was made against; 0 for the first one.
    std::uint64_t basedOn = 0;
    std::string pushId;
    std::vector<SiteConfiguration> sites;
    /// The revision it is based on; when given, a delta is stored as well. May be null.
    std::shared_ptr<const Revision> base;
    /// Time for commits whose outcome is unknown to be confirmed.
    std::chrono::milliseconds timeout {5'000};
};

struct PushResult
{
    PushStatus status = PushStatus::Unknown;
    /// Revision that the push created, when applied.
    std::uint64_t revision = 0;
    std::string detail;
};

/// Reads and writes the configuration in the table service. Thread-safe; each handler runs once.
class RevisionStore
{
public:
    RevisionStore(const boost::asio::any_io_executor &executor, const backingservices::BackingServiceOptions &options);

    void fetchHead(std::function<void(RevisionHeadResult)> handler) const;
    /// Fetches an accepted revision. One that cannot be parsed counts as unavailable.
    void fetchRevision(std::uint64_t number, std::function<void(RevisionResult)> handler) const;
    /// Fetches an accepted revision by its delta when the known one is its predecessor, and otherwise as a whole.
    ///
    /// A whole revision at the target size has about 1 MB, which is too much for each router and each change.
    void fetchRevision(std::uint64_t number, std::shared_ptr<const Revision> known, std::function<void(RevisionResult)> handler) const;
    /// Commits a new revision and the head in one transaction, by compare-and-set on the head.
    ///
    /// A lost response is resolved by reading back the push id, so that repeating a push is safe.
    void push(PushRequest request, std::function<void(PushResult)> handler) const;

private:
    boost::asio::any_io_executor executor_;
    backingservices::TableClient table_;
};

} // namespace mulberrywall::configuration
