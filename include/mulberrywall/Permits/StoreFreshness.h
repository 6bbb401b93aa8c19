#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace mulberrywall::permits
{

/// How far a router knows a table of the store.
struct TableFreshness
{
    /// Version of the store up to which all changes of the table are known.
    std::uint64_t version = 0;
    /// Version at which the router has last read a change of the table. Who knows the table up to here, or later, knows it
    /// up to `version`.
    std::uint64_t lastChangeVersion = 0;
    /// Time since the store was asked for what proves the version.
    std::chrono::milliseconds age {0};

    friend bool operator==(const TableFreshness &, const TableFreshness &) = default;
};

/// What a router knows of the tables that all routers follow; nothing for a table that it has not read.
struct StoreFreshness
{
    std::optional<TableFreshness> configuration;
    std::optional<TableFreshness> endpoints;

    friend bool operator==(const StoreFreshness &, const StoreFreshness &) = default;
};

} // namespace mulberrywall::permits
