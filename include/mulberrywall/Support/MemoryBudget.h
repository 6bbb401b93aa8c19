#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace mulberrywall::support
{

/// Account of the bytes that a process holds for callers and endpoints, with a bound. Above the bound it asks the holders that hold
/// most and move least to release theirs. Thread-safe.
///
/// One lock for each change; no handler is called while it is held. Locks nothing else.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget>
{
public:
    /// Called once to ask a holder to release its bytes, possibly from another thread and within Share::resize.
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

        /// Sets the number of bytes that the holder holds now; the memory may already be allocated.
        void resize(std::size_t bytes);
        /// As resize, but changes nothing and returns false if all holders together would hold more than `totalLimit`.
        [[nodiscard]] bool tryResize(std::size_t bytes, std::size_t totalLimit);
        /// Records that the holder has sent or received a notable number of bytes.
        void recordProgress();
        /// Excludes the holder from reclaims: the bytes belong to a request that runs.
        void pin();
        /// Includes the holder in reclaims, unless it has been asked to release its bytes.
        void unpin();

    private:
        std::shared_ptr<MemoryBudget> budget_;
        std::uint64_t holder_;
    };

    enum class Holding : std::uint8_t {
        /// Requests, and responses that are written to callers.
        ForCaller,
        /// Responses that are received from endpoints. They have a lower bound of their own within the account, so that endpoints which send
        /// without end leave room for requests.
        FromEndpoint,
    };

    explicit MemoryBudget(std::size_t limitBytes);
    MemoryBudget(std::size_t limitBytes, std::size_t endpointLimitBytes);

    /// Adds a holder without bytes.
    [[nodiscard]] std::unique_ptr<Share> open(ReclaimHandler reclaim, Holding holding = Holding::ForCaller);
    /// Asks the holder that holds most and moves least for its bytes, among those without progress for this time. Returns whether
    /// there was one.
    bool reclaimStalled(std::chrono::milliseconds minimumIdleTime);

    /// Returns the number of bytes that all holders hold together.
    [[nodiscard]] std::size_t heldBytes() const;
    /// Returns the number of holders that were asked to release their bytes since the start.
    [[nodiscard]] std::uint64_t reclaims() const;
    [[nodiscard]] std::size_t limitBytes() const noexcept
    {
        return limitBytes_;
    }
    /// Returns the bound for responses of endpoints.
    [[nodiscard]] std::size_t endpointLimitBytes() const noexcept
    {
        return endpointLimitBytes_;
    }

private:
    using Clock = std::chrono::steady_clock;

    enum class HolderState : std::uint8_t {
        Reclaimable,
        Pinned,
        /// The holder was asked to release its bytes.
        Reclaimed,
    };

    struct Holder
    {
        ReclaimHandler reclaim;
        Holding holding = Holding::ForCaller;
        std::size_t bytes = 0;
        HolderState state = HolderState::Reclaimable;
        Clock::time_point progressAt;
    };

    /// What is left to do after the lock was released.
    enum class PressureChange : std::uint8_t {
        None,
        Begins,
        Ends,
    };

    void resize(std::uint64_t id, std::size_t bytes);
    bool tryResize(std::uint64_t id, std::size_t bytes, std::size_t totalLimit);
    void recordProgress(std::uint64_t id);
    void setState(std::uint64_t id, HolderState state);
    void close(std::uint64_t id);
    void setBytes(Holder &holder, std::size_t bytes);
    /// Marks the holder with the largest product of bytes and idle time as reclaimed, and returns its handler; empty if there is none.
    ReclaimHandler takeWorst(Clock::time_point now, std::chrono::milliseconds minimumIdleTime, std::optional<Holding> only = std::nullopt);
    [[nodiscard]] bool isEndpointLimitExceeded() const;
    PressureChange updatePressure(bool isExceeded);
    void logPressure(PressureChange change) const;

    const std::size_t limitBytes_;
    const std::size_t endpointLimitBytes_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, Holder> holders_;
    std::uint64_t lastHolder_ = 0;
    std::size_t heldBytes_ = 0;
    /// Bytes of the holders that were asked to release theirs.
    std::size_t reclaimedBytes_ = 0;
    /// Part of the two above that is Holding::FromEndpoint.
    std::size_t endpointBytes_ = 0;
    std::size_t reclaimedEndpointBytes_ = 0;
    std::uint64_t reclaims_ = 0;
    /// True from the first request that exceeds the bound until half of it is free.
    bool isUnderPressure_ = false;
};

} // namespace mulberrywall::support
