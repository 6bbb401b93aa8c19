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

/// Hashes of prompt prefixes at block boundaries, least recently used first out.
class PrefixCache
{
public:
    /// Prompt bytes per block; four bytes count as one prompt token.
    static constexpr std::size_t blockBytes = 64;

    explicit PrefixCache(std::size_t maxBlocks)
        : maxBlocks_(maxBlocks)
    {
    }

    /// Returns the hash of each prefix of the prompt that ends at a block boundary.
    static std::vector<std::uint64_t> blocksOf(std::string_view prompt);

    /// Returns the number of leading blocks that are cached and marks them as used.
    std::size_t match(const std::vector<std::uint64_t> &blocks);
    /// Returns what was stored and evicted.
    std::vector<CacheChange> store(const std::vector<std::uint64_t> &blocks);

private:
    std::size_t maxBlocks_;
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
};

} // namespace mulberrywall::standin
