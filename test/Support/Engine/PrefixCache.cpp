#include "Engine/PrefixCache.h"

#include <xxhash.h>

namespace mulberrywall::standin
{

std::vector<std::uint64_t> PrefixCache::blockHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (; prompt.size() >= blockBytes; prompt.remove_prefix(blockBytes)) {
        hash = XXH64(prompt.data(), blockBytes, hash);
        blocks.push_back(hash);
    }
    return blocks;
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t> &blocks)
{
    std::size_t matched = 0;
    for (const std::uint64_t block : blocks) {
        const auto found = entries_.find(block);
        if (found == entries_.end()) {
            break;
        }
        recencyOrder_.splice(recencyOrder_.end(), recencyOrder_, found->second);
        ++matched;
    }
    return matched;
}

std::vector<CacheChange> PrefixCache::store(const std::vector<std::uint64_t> &blocks)
{
    std::vector<CacheChange> changes;
    for (const std::uint64_t block : blocks) {
        if (entries_.contains(block)) {
            continue;
        }
        entries_[block] = recencyOrder_.insert(recencyOrder_.end(), block);
        changes.push_back({.kind = CacheChange::Kind::Stored, .block = block});
        if (entries_.size() > maxBlocks_) {
            const std::uint64_t oldest = recencyOrder_.front();
            entries_.erase(oldest);
            recencyOrder_.pop_front();
            changes.push_back({.kind = CacheChange::Kind::Evicted, .block = oldest});
        }
    }
    return changes;
}

} // namespace mulberrywall::standin
