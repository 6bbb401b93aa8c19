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
    return corrected_ || now - startedAt_ >= options_.startLimit;
}

void WindowClock::recordRouterClock(const support::InstanceId &router, TrueTime sentAt, BootTime receivedAt)
{
    record(routers_, router, sentAt - anchored(receivedAt), 1, receivedAt);
    correct(receivedAt);
}

void WindowClock::recordCandidateClock(const support::InstanceId &candidate, TrueTime sentAt, unsigned clocks, BootTime receivedAt)
{
    record(candidates_, candidate, sentAt - anchored(receivedAt), clocks, receivedAt);
    correct(receivedAt);
}

void WindowClock::record(SampleTable &table, const support::InstanceId &source, Offset difference, unsigned clocks, BootTime receivedAt) const
{
    const auto found = table.find(source);
    if (found == table.end() && table.size() >= options_.maxRouters) {
        return;
    }
    Samples &samples = found == table.end() ? table[source] : found->second;
    const bool isFirst = found == table.end();
    // A candidate that learns of more clocks has a better estimate, which must not wait until the earlier one has expired.
    const bool isReplaced = clocks > samples.clocks;
    if (isFirst || isReplaced || receivedAt - samples.periodStart >= 2 * options_.samplePeriod) {
        samples = {.current = difference, .periodStart = receivedAt, .lastAt = receivedAt, .clocks = clocks};
        return;
    }
    samples.lastAt = receivedAt;
    samples.clocks = clocks;
    if (receivedAt - samples.periodStart >= options_.samplePeriod) {
        samples.previous = samples.current;
        samples.current = difference;
        samples.periodStart = receivedAt;
        return;
    }
    samples.current = std::max(samples.current, difference);
}

std::vector<WindowClock::Offset> WindowClock::recentOffsets(const SampleTable &table, BootTime now, unsigned minimumClocks) const
{
    std::vector<Offset> offsets;
    for (const auto &[source, samples] : table) {
        if (now - samples.lastAt < 2 * options_.samplePeriod && samples.clocks >= minimumClocks) {
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
    if (corrected_ && lastCorrectionAt_ && now - *lastCorrectionAt_ < options_.correctionInterval) {
        return;
    }
    lastCorrectionAt_ = now;
    std::vector<Offset> routers = recentOffsets(routers_, now, 1);
    routers.push_back(Offset(0));
    if (routers.size() >= options_.minimumClocks) {
        clocks_ = static_cast<unsigned>(routers.size());
        correction_ = medianOf(std::move(routers));
        corrected_ = true;
        return;
    }
    clocks_ = 1;
    std::vector<Offset> candidates = recentOffsets(candidates_, now, options_.minimumClocks);
    if (!candidates.empty()) {
        correction_ = medianOf(std::move(candidates));
        corrected_ = true;
    }
}

} // namespace mulberrywall::metering
