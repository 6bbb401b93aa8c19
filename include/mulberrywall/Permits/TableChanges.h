#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mulberrywall::permits
{

/// Row of a table of the store.
struct TableRow
{
    std::string key;
    std::string value;
    bool deleted = false;

    friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// Changes of a table that one router has read and passes on to others, so that not every router has to read them.
struct TableChanges
{
    /// Version of the latest earlier change: the rows are all changes for any copy that is current up to this version or a
    /// later one.
    std::uint64_t sinceVersion = 0;
    /// Version up to which a copy is current with these rows.
    std::uint64_t version = 0;
    /// The changed rows as of `version`.
    std::vector<TableRow> rows;

    friend bool operator==(const TableChanges &, const TableChanges &) = default;
};

/// Recent changes of the tables that all routers watch; each list is in ascending order of versions.
struct StoreChanges
{
    std::vector<TableChanges> configuration;
    std::vector<TableChanges> endpoints;

    friend bool operator==(const StoreChanges &, const StoreChanges &) = default;
};

} // namespace mulberrywall::permits
