#pragma once

#include "mulberrywall/Permits/TableChanges.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace mulberrywall::permits
{

/// How current a router's copy of a table of the store is.
struct TableFreshness
{
    /// Version of the store up to which the copy contains all changes of the table.
    std::uint64_t version = 0;
    /// Version of the latest change of the table that the router has read. A copy that is current up to this version, or a
    /// later one, is current up to `version`.
    std::uint64_t lastChangeVersion = 0;
    /// Time since the request to the store whose answer confirmed the version was sent.
    std::chrono::milliseconds age {0};

    friend bool operator==(const TableFreshness &, const TableFreshness &) = default;
};

/// Freshness of a router's copies of the tables that all routers watch; empty for a table that it has not read.
struct StoreFreshness
{
    std::optional<TableFreshness> configuration;
    std::optional<TableFreshness> endpoints;

    friend bool operator==(const StoreFreshness &, const StoreFreshness &) = default;
};

/// What a router tells its peers about the store.
struct StoreReport
{
    StoreFreshness freshness;
    /// Changes that the router has read recently; they are part of the copies that `freshness` describes.
    StoreChanges changes;

    friend bool operator==(const StoreReport &, const StoreReport &) = default;
};

} // namespace mulberrywall::permits
