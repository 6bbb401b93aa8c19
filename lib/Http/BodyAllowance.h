#pragma once

#include "mulberrywall/Support/MemoryBudget.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace mulberrywall::http
{

/// Body size up to which a request counts as ordinary. A part of the bound on memory is reserved for ordinary requests.
inline constexpr std::size_t ordinaryBodyBytes = std::size_t {128} * 1024;

enum class AllowanceDecision : std::uint8_t {
    Read,
    /// The body is not read on for bodyWaitInterval.
    Wait,
    /// The request is rejected as not run.
    Reject,
};

/// Time after which a body that waits for memory asks again.
inline constexpr std::chrono::milliseconds bodyWaitInterval {100};

/// Decides how much of one body may be read. Not thread-safe; the budget is shared.
class BodyAllowance
{
public:
    /// If `memory` is null, every body may be read.
    explicit BodyAllowance(std::shared_ptr<support::MemoryBudget> memory);
    BodyAllowance(const BodyAllowance &) = delete;
    BodyAllowance &operator=(const BodyAllowance &) = delete;
    BodyAllowance(BodyAllowance &&) = delete;
    BodyAllowance &operator=(BodyAllowance &&) = delete;
    ~BodyAllowance();

    /// Asks for room for a body of this declared length, or, if the length is unknown, for the next step beyond `received` bytes. Opens
    /// the share with the given handler when it is needed first.
    AllowanceDecision request(
        std::optional<std::size_t> declared, std::size_t received, std::size_t maxBodyBytes, const support::MemoryBudget::ReclaimHandler &reclaim);
    /// Returns the number of body bytes that may be received in total.
    [[nodiscard]] std::size_t allowedBytes() const noexcept
    {
        return allowed_;
    }
    void recordProgress();
    /// Ends the allowance and returns the share, reduced to the bytes that the body has; null if nothing is accounted for.
    std::unique_ptr<support::MemoryBudget::Share> release(std::size_t bodyBytes);

private:
    AllowanceDecision wait();
    void stopWaiting();

    std::shared_ptr<support::MemoryBudget> memory_;
    std::unique_ptr<support::MemoryBudget::Share> share_;
    std::size_t allowed_ = 0;
    /// Number of intervals that this body has waited.
    unsigned waits_ = 0;
    bool isWaiting_ = false;
};

} // namespace mulberrywall::http
