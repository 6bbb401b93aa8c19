#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace mulberrywall::permits
{

/// How far a router knows a table of the store.
struct TableProgress
{
    /// Version of the store up to which all changes of the table are known.
    std::uint64_t version = 0;
    /// Version at which the router has last read a change of the table. Who knows the table up to here, or later, knows it
    /// up to `version`.
    std::uint64_t changedAt = 0;
    /// Time since the store was asked for what proves the version.
    std::chrono::milliseconds age {0};

    friend bool operator==(const TableProgress &, const TableProgress &) = default;
};

/// What a router knows of the tables that all routers follow; nothing for a table that it has not read.
struct StoreProgress
{
    std::optional<TableProgress> configuration;
    std::optional<TableProgress> endpoints;

    friend bool operator==(const StoreProgress &, const StoreProgress &) = default;
};

} // namespace mulberrywall::permits
