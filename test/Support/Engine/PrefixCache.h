#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mulberrywall::standin
{

struct CacheChange
{
    enum class Kind : std::uint8_t {
        Stored,
        Evicted,
    };
    Kind kind = Kind::Stored;
    std::uint64_t block = 0;
};

/// LRU cache of the hashes of prompt prefixes that end at a block boundary.
class PrefixCache
{
public:
    /// Prompt bytes per block. The engine counts four bytes as one prompt token.
    static constexpr std::size_t blockBytes = 64;

    explicit PrefixCache(std::size_t maxBlocks)
        : maxBlocks_(maxBlocks)
    {
    }

    /// Returns the hashes of all prefixes of the prompt that end at a block boundary, shortest
    /// prefix first.
    static std::vector<std::uint64_t> blockHashes(std::string_view prompt);

    /// Returns the number of leading blocks that are cached and makes them the most recently used ones.
    std::size_t match(const std::vector<std::uint64_t> &blocks);
    /// Adds the blocks that are not cached yet. Returns the insertions and the evictions they
    /// caused, in order.
    std::vector<CacheChange> store(const std::vector<std::uint64_t> &blocks);

private:
    std::size_t maxBlocks_;
    /// Cached blocks, least recently used first.
    std::list<std::uint64_t> recencyOrder_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
};

} // namespace mulberrywall::standin
