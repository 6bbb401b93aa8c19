#include "mulberrywall/Metering/WindowClock.h"

#include <algorithm>

namespace mulberrywall::metering
{

using std::chrono::milliseconds;

WindowClock::WindowClock(BootTime startedAt, TrueTime systemTimeAtStart, const WindowClockOptions &options)
    : startedAt_(startedAt),
      timeAtStart_(systemTimeAtStart),
      options_(options)
{
}

TrueTime WindowClock::anchored(BootTime now) const
{
    return timeAtStart_ + std::chrono::floor<milliseconds>(now - startedAt_);
}

TrueTime WindowClock::now(BootTime now) const
{
    return anchored(now) + correction_;
}

bool WindowClock::isSettled(BootTime now) const
{
    return (firstCorrectionAt_ && now - *firstCorrectionAt_ >= options_.settleTime) || now - startedAt_ >= options_.startLimit;
}

void WindowClock::recordRouterClock(const support::InstanceId &router, TrueTime sentAt, BootTime receivedAt)
{
    const bool isNew = record(routers_, router, sentAt - anchored(receivedAt), 1, receivedAt);
    if (isNew || isCorrectionDue(receivedAt)) {
        correct(receivedAt);
    }
}

void WindowClock::recordCandidateClock(const support::InstanceId &candidate, TrueTime sentAt, unsigned clocks, BootTime receivedAt)
{
    const bool isNew = record(candidates_, candidate, sentAt - anchored(receivedAt), clocks, receivedAt);
    if (isNew || isCorrectionDue(receivedAt)) {
        correct(receivedAt);
    }
}

bool WindowClock::record(SampleTable &table, const support::InstanceId &source, Offset difference, unsigned clocks, BootTime receivedAt) const
{
    if (table.size() >= options_.maxRouters) {
        std::erase_if(table, [&](const auto &entry) { return isExpired(entry.second, receivedAt); });
    }
    const auto found = table.find(source);
    if (found == table.end() && table.size() >= options_.maxRouters) {
        return false;
    }
    Samples &samples = found == table.end() ? table[source] : found->second;
    const bool isFirst = found == table.end();
    // A candidate that learns of more clocks has a better estimate, which must not wait until the earlier one has expired.
    const bool isReplaced = clocks > samples.clocks;
    if (isFirst || isReplaced || receivedAt - samples.periodStart >= 2 * options_.samplePeriod) {
        samples = {.current = difference, .periodStart = receivedAt, .lastAt = receivedAt, .clocks = clocks};
        return true;
    }
    samples.lastAt = receivedAt;
    samples.clocks = clocks;
    if (receivedAt - samples.periodStart >= options_.samplePeriod) {
        samples.previous = samples.current;
        samples.current = difference;
        samples.periodStart = receivedAt;
        return false;
    }
    samples.current = std::max(samples.current, difference);
    return false;
}

bool WindowClock::isExpired(const Samples &samples, BootTime now) const
{
    return now - samples.lastAt >= 2 * options_.samplePeriod;
}

std::vector<WindowClock::Offset> WindowClock::recentOffsets(const SampleTable &table, BootTime now, unsigned minimumClocks) const
{
    std::vector<Offset> offsets;
    for (const auto &[source, samples] : table) {
        if (!isExpired(samples, now) && samples.clocks >= minimumClocks) {
            offsets.push_back(std::max(samples.current, samples.previous.value_or(samples.current)));
        }
    }
    return offsets;
}

/// Returns the median; of an even number of values the lower one. The values must not be empty.
static milliseconds medianOf(std::vector<milliseconds> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void WindowClock::correct(BootTime now)
{
    std::vector<Offset> routers = recentOffsets(routers_, now, 1);
    routers.push_back(Offset(0));
    if (routers.size() >= options_.minimumClocks) {
        clocks_ = static_cast<unsigned>(routers.size());
        setCorrection(medianOf(std::move(routers)), now);
        return;
    }
    clocks_ = 1;
    std::vector<Offset> candidates = recentOffsets(candidates_, now, options_.minimumClocks);
    if (!candidates.empty()) {
        setCorrection(medianOf(std::move(candidates)), now);
    }
}

void WindowClock::setCorrection(Offset correction, BootTime now)
{
    correction_ = correction;
    lastCorrectionAt_ = now;
    firstCorrectionAt_ = firstCorrectionAt_.value_or(now);
}

bool WindowClock::isCorrectionDue(BootTime now) const
{
    return !lastCorrectionAt_ || now - *lastCorrectionAt_ >= options_.correctionInterval;
}

} // namespace mulberrywall::metering
