#pragma once

#include "mulberrywall/Permits/TableChanges.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

/// Finds what has changed between two reads of a whole table, for a store that forgets its history while hundreds of routers
/// watch it: one that has read the table again can then pass on the difference, and the others need not read it.
namespace mulberrywall::router
{

/// Hashes of the values of a table's rows by key.
struct TableDigest
{
    std::map<std::string, std::uint64_t> rows;
};

/// Records rows that were changed or deleted.
void recordRows(TableDigest &digest, std::span<const permits::TableRow> rows);

/// Replaces the digest by that of the whole table and returns the rows that differ; missing ones as deleted.
std::vector<permits::TableRow> replaceRows(TableDigest &digest, std::span<const permits::TableRow> rows);

} // namespace mulberrywall::router
