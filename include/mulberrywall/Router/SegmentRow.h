#pragma once

#include "mulberrywall/Policy/Types.h"
#include "mulberrywall/Support/Ids.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace mulberrywall::router
{

/// A quarantined prompt segment as it is kept in the store.
struct StoredSegment
{
    support::PoolId pool;
    /// The router that has stored it.
    support::InstanceId writer;
    policy::SegmentEvidence evidence;
};

/// Returns the key of the row: different for each writer, so that routers never overwrite or remove each other's rows.
std::string segmentRowKey(const StoredSegment &segment);

/// Returns whether the row of the routers' table is that of a segment.
bool isSegmentRowKey(std::string_view key);

/// Renders the value of the row. It contains the time, because ages have to grow while the row is stored.
std::string renderSegmentRow(const StoredSegment &segment, std::chrono::system_clock::time_point now);

/// Parses the value of a row. Returns std::nullopt if it cannot be read.
std::optional<StoredSegment> parseSegmentRow(std::string_view value, std::chrono::system_clock::time_point now);

} // namespace mulberrywall::router
