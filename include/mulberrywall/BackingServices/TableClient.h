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
    /// Changes with each write of the row and is never used twice in a table.
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

/// One write of a commit; a commit may name each key once.
struct WriteOperation
{
    WriteOperationKind kind = WriteOperationKind::Put;
    /// Letters, digits, "-", "_", "." and "/".
    std::string key;
    /// Unused by DeleteIfVersion.
    std::string value;
    /// Used by PutIfVersion and DeleteIfVersion.
    std::uint64_t version = 0;
};

enum class CommitStatus : std::uint8_t {
    Applied,
    /// A condition was not met; nothing was applied.
    Conflict,
    /// Proven not to have been applied: no connection, or a refusal that says so.
    NotApplied,
    /// The answer was lost; the commit may have been applied, or may yet be.
    Unknown,
};

struct CommitConflict
{
    /// Index of the operation whose condition was not met.
    std::size_t operation = 0;
    /// The row as the platform has it, or nothing when it has none.
    std::optional<Row> current;
};

struct CommitResult
{
    CommitStatus status = CommitStatus::Unknown;
    /// Version that all written rows have now; set when applied.
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
    /// Found even when no row has the prefix; never Absent.
    ReadStatus status = ReadStatus::Unavailable;
    /// Ordered by key.
    std::vector<Row> rows;
    std::string detail;
};

/// Client of the table service. Thread-safe; each handler runs once, on a strand of its own.
class TableClient
{
public:
    TableClient(boost::asio::any_io_executor executor, const BackingServiceOptions &options);

    /// Applies all operations in one transaction or none.
    void commit(std::string_view table, const std::vector<WriteOperation> &operations, std::function<void(CommitResult)> handler) const;
    void read(std::string_view table, std::string_view key, std::function<void(ReadResult)> handler) const;
    /// Reads the rows whose keys start with the prefix.
    void scan(std::string_view table, std::string_view prefix, std::function<void(ScanResult)> handler) const;

private:
    boost::asio::any_io_executor executor_;
    BackingServiceOptions options_;
};

} // namespace mulberrywall::backingservices
