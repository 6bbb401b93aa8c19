#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::backingservices
{

struct Row
{
    std::string key;
    /// Changes with each write of the row; no version occurs twice in a table.
    std::uint64_t version = 0;
    std::string value;

    friend bool operator==(const Row &, const Row &) = default;
};

enum class WriteOperationKind : std::uint8_t {
    InsertIfAbsent,
    Put,
    PutIfVersion,
    DeleteIfVersion,
};

/// One write of a commit. A commit may contain each key only once.
struct WriteOperation
{
    WriteOperationKind kind = WriteOperationKind::Put;
    /// May contain letters, digits, "-", "_", "." and "/".
    std::string key;
    /// New value; ignored by DeleteIfVersion.
    std::string value;
    /// Version that the row must have; used by PutIfVersion and DeleteIfVersion only.
    std::uint64_t version = 0;
};

enum class CommitStatus : std::uint8_t {
    Applied,
    /// A condition was not met; nothing was applied.
    Conflict,
    /// Certainly not applied: there was no connection, or the response states it.
    NotApplied,
    /// The response was lost; the commit may have been applied, or may still be applied.
    Unknown,
};

/// A write whose condition was not met.
struct CommitConflict
{
    /// Index of the operation whose condition was not met.
    std::size_t operation = 0;
    /// The existing row, or std::nullopt if there is none.
    std::optional<Row> current;
};

struct CommitResult
{
    CommitStatus status = CommitStatus::Unknown;
    /// New version of all written rows; set if the status is Applied.
    std::uint64_t version = 0;
    std::vector<CommitConflict> conflicts;
    std::string detail;
};

struct ReadResult
{
    ReadStatus status = ReadStatus::Unavailable;
    Row row;
    std::string detail;
};

struct ScanResult
{
    /// Found or Unavailable; Found also if no row has the prefix.
    ReadStatus status = ReadStatus::Unavailable;
    /// Ordered by key.
    std::vector<Row> rows;
    std::string detail;
};

/// Client of the table service. Thread-safe. Each handler runs once, on a separate strand.
class TableClient
{
public:
    TableClient(boost::asio::any_io_executor executor, const BackingServiceOptions &options);

    /// Applies all operations in one transaction, or none of them.
    void commit(std::string_view table, const std::vector<WriteOperation> &operations, std::function<void(CommitResult)> handler) const;
    /// Reads one row.
    void read(std::string_view table, std::string_view key, std::function<void(ReadResult)> handler) const;
    /// Reads the rows whose keys start with the prefix.
    void scan(std::string_view table, std::string_view prefix, std::function<void(ScanResult)> handler) const;

private:
    boost::asio::any_io_executor executor_;
    BackingServiceOptions options_;
};

} // namespace mulberrywall::backingservices
