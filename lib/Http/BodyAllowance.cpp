#include "BodyAllowance.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <utility>

namespace mulberrywall::http
{

/// Shares of the bound up to which bodies are read. Responses may use all of it, so that requests which have run can still end.
static constexpr double largeBodyShare = 0.55;
static constexpr double ordinaryBodyShare = 0.75;
/// Steps in which a body of unknown length is allowed to grow; the last one is the limit on bodies.
static constexpr std::size_t firstChunkedStep = ordinaryBodyBytes;
static constexpr std::size_t secondChunkedStep = 4 * ordinaryBodyBytes;
/// Time that a body waits for memory. A caller that has to wait longer is served sooner by another instance.
static constexpr std::chrono::milliseconds maximumWait {2'000};
/// Bodies that wait at the same time, which bounds the work of asking again. Further ones are rejected at once.
static constexpr unsigned maxWaitingBodies = 32;
/// Under pressure a holder that has moved less than 16 KiB in this time is asked to release its bytes. A caller that has a four hundredth of
/// 10 Mbit/s moves that much.
static constexpr std::chrono::milliseconds stallTimeUnderPressure {5'000};

/// Number of bodies of the process that wait.
static std::atomic<unsigned> waitingBodies {0};

BodyAllowance::BodyAllowance(std::shared_ptr<support::MemoryBudget> memory)
    : memory_(std::move(memory))
{
}

BodyAllowance::~BodyAllowance()
{
    stopWaiting();
}

static std::size_t stepAfter(std::size_t received, std::size_t maxBodyBytes)
{
    if (received < firstChunkedStep) {
        return std::min(firstChunkedStep, maxBodyBytes);
    }
    return received < secondChunkedStep ? std::min(secondChunkedStep, maxBodyBytes) : maxBodyBytes;
}

static std::size_t shareOf(std::size_t limitBytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(limitBytes) * share);
}

AllowanceDecision BodyAllowance::request(
    std::optional<std::size_t> declared, std::size_t received, std::size_t maxBodyBytes, const support::MemoryBudget::ReclaimHandler &reclaim)
{
    const std::size_t needed = declared.value_or(stepAfter(received, maxBodyBytes));
    if (!memory_) {
        allowed_ = needed;
        return AllowanceDecision::Read;
    }
    if (!share_) {
        share_ = memory_->open(reclaim);
    }
    const double share = needed > ordinaryBodyBytes ? largeBodyShare : ordinaryBodyShare;
    if (!share_->tryResize(needed, shareOf(memory_->limitBytes(), share))) {
        return wait();
    }
    stopWaiting();
    waits_ = 0;
    allowed_ = needed;
    return AllowanceDecision::Read;
}

AllowanceDecision BodyAllowance::wait()
{
    memory_->reclaimStalled(stallTimeUnderPressure);
    if (!std::exchange(isWaiting_, true) && ++waitingBodies > maxWaitingBodies) {
        stopWaiting();
        return AllowanceDecision::Reject;
    }
    ++waits_;
    if (waits_ * bodyWaitInterval > maximumWait) {
        stopWaiting();
        return AllowanceDecision::Reject;
    }
    return AllowanceDecision::Wait;
}

void BodyAllowance::stopWaiting()
{
    if (std::exchange(isWaiting_, false)) {
        --waitingBodies;
    }
}

void BodyAllowance::recordProgress()
{
    if (share_) {
        share_->recordProgress();
    }
}

std::unique_ptr<support::MemoryBudget::Share> BodyAllowance::release(std::size_t bodyBytes)
{
    stopWaiting();
    allowed_ = 0;
    waits_ = 0;
    if (share_) {
        share_->pin();
        share_->resize(bodyBytes);
    }
    return std::move(share_);
}

} // namespace mulberrywall::http
