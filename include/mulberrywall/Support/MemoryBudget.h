#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace mulberrywall::support
{

/// Bounds the bytes that many holders keep in memory together. If they exceed the limit, the largest holders are asked to release
/// theirs, so that those who hold little are not affected. Thread-safe.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget>
{
public:
    /// Called once at most, on the thread of any holder, to ask a holder to release its bytes. Must not block or use the budget.
    using ReclaimHandler = std::function<void()>;

    /// The bytes of one holder. Destroying it releases them.
    class Share
    {
    public:
        Share(std::shared_ptr<MemoryBudget> budget, std::uint64_t holder);
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        Share(Share &&) = delete;
        Share &operator=(Share &&) = delete;
        ~Share();

        /// Sets the number of bytes that the holder keeps.
        void resize(std::size_t bytes);

    private:
        std::shared_ptr<MemoryBudget> budget_;
        std::uint64_t holder_;
    };

    explicit MemoryBudget(std::size_t limitBytes);

    /// Adds a holder without bytes.
    [[nodiscard]] std::unique_ptr<Share> open(ReclaimHandler reclaim);
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t limitBytes() const noexcept
    {
        return limitBytes_;
    }

private:
    struct Holder
    {
        std::size_t bytes = 0;
        /// Empty once the holder was asked to release its bytes.
        ReclaimHandler reclaim;
    };

    void resize(std::uint64_t holder, std::size_t bytes);
    void close(std::uint64_t holder);
    /// Returns the handler of the largest holder that was not asked yet, or an empty function if there is none. The mutex must be
    /// held.
    [[nodiscard]] ReclaimHandler takeLargest();

    const std::size_t limitBytes_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, Holder> holders_;
    std::uint64_t lastHolder_ = 0;
    std::size_t heldBytes_ = 0;
    /// Bytes of the holders that were asked to release them.
    std::size_t reclaimedBytes_ = 0;
};

} // namespace mulberrywall::support
