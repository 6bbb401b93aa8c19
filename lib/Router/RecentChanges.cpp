#include "mulberrywall/Router/RecentChanges.h"

#include <utility>

namespace mulberrywall::router
{

using permits::TableChanges;
using permits::TableRow;
using TimePoint = support::BootClock::time_point;

static bool isExpired(const RecentChanges &recent, const RecentChanges::Entry &entry, TimePoint now)
{
    return now - entry.recordedAt > recent.options.lifetime;
}

void recordChanges(RecentChanges &recent, TableChanges changes, TimePoint now)
{
    while (!recent.entries.empty() && isExpired(recent, recent.entries.front(), now)) {
        recent.entries.pop_front();
    }
    recent.entries.push_back({.changes = std::move(changes), .recordedAt = now});
}

static std::size_t bytesOf(const std::vector<TableRow> &rows)
{
    std::size_t bytes = 0;
    for (const TableRow &row : rows) {
        bytes += row.key.size() + row.value.size();
    }
    return bytes;
}

/// Appends the rows, each in place of an earlier one with the same key.
static void appendRows(std::vector<TableRow> &rows, const std::vector<TableRow> &later)
{
    for (const TableRow &row : later) {
        std::erase_if(rows, [&](const TableRow &earlier) { return earlier.key == row.key; });
        rows.push_back(row);
    }
}

std::vector<TableChanges> changesAfter(const RecentChanges &recent, std::uint64_t version, TimePoint recordedUpTo, TimePoint now)
{
    TableChanges merged {.sinceVersion = version, .version = version};
    for (const RecentChanges::Entry &entry : recent.entries) {
        const TableChanges &changes = entry.changes;
        if (changes.version <= merged.version || isExpired(recent, entry, now)) {
            continue;
        }
        if (entry.recordedAt > recordedUpTo) {
            break;
        }
        const bool hasGap = changes.sinceVersion > merged.version;
        std::vector<TableRow> rows = merged.rows;
        appendRows(rows, changes.rows);
        if (hasGap || bytesOf(rows) > recent.options.maximumBytes) {
            break;
        }
        merged.rows = std::move(rows);
        merged.version = changes.version;
    }
    if (merged.version == version) {
        return {};
    }
    return {std::move(merged)};
}

} // namespace mulberrywall::router
