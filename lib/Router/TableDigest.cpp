#include "mulberrywall/Router/TableDigest.h"

#include <xxhash.h>

#include <utility>

namespace mulberrywall::router
{

using permits::TableRow;

static std::uint64_t hashOf(const std::string &value)
{
    return XXH3_64bits(value.data(), value.size());
}

void recordRows(TableDigest &digest, std::span<const TableRow> rows)
{
    for (const TableRow &row : rows) {
        if (row.deleted) {
            digest.rows.erase(row.key);
        } else {
            digest.rows[row.key] = hashOf(row.value);
        }
    }
}

std::vector<TableRow> replaceRows(TableDigest &digest, std::span<const TableRow> rows)
{
    TableDigest previous = std::exchange(digest, {});
    recordRows(digest, rows);
    std::vector<TableRow> changed;
    for (const TableRow &row : rows) {
        const auto before = previous.rows.find(row.key);
        if (before == previous.rows.end() || before->second != digest.rows.at(row.key)) {
            changed.push_back(row);
        }
    }
    for (const auto &[key, hash] : previous.rows) {
        if (!digest.rows.contains(key)) {
            changed.push_back({.key = key, .deleted = true});
        }
    }
    return changed;
}

} // namespace mulberrywall::router
