#pragma once

#include "mulberrywall/Metering/Types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace mulberrywall::metering
{

struct WindowClockOptions
{
    /// Time after the first correction at which the clock counts as settled. The first few clocks may all be wrong; the others are
    /// heard within some exchange intervals.
    std::chrono::milliseconds settleTime {1'000};
    /// Time after the start at which the clock counts as settled although it has not been corrected.
    std::chrono::milliseconds startLimit {10'000};
    /// Samples of other clocks are used for one to two times this period.
    std::chrono::milliseconds samplePeriod {5'000};
    /// Minimum number of clocks for a correction, so that one wrong clock is in the minority.
    unsigned minimumClocks = 3;
    /// Minimum interval between computations of the correction from the same clocks.
    std::chrono::milliseconds correctionInterval {100};
    std::size_t maxRouters = 4'096;
};

/// Maps the boot clock to true time. Pure and not thread-safe.
///
/// The system clock is read once, at the start of the process, so that later steps have no effect. The anchor is corrected by
/// the median of the routers' anchored clocks, which a minority of wrong clocks does not move.
class WindowClock
{
public:
    WindowClock(BootTime startedAt, TrueTime systemTimeAtStart, const WindowClockOptions &options = {});

    // Commands
    /// Records the anchored time that another router sent.
    void recordRouterClock(const support::InstanceId &router, TrueTime sentAt, BootTime receivedAt);
    /// Records the corrected time that a candidate sent, with the number of clocks that it is based on.
    void recordCandidateClock(const support::InstanceId &candidate, TrueTime sentAt, unsigned clocks, BootTime receivedAt);

    // Queries
    /// Returns the time without correction. All routers receive it, so that corrections cannot amplify each other.
    [[nodiscard]] TrueTime anchored(BootTime now) const;
    /// Returns the corrected time. It may be earlier than that of a previous call after a correction.
    [[nodiscard]] TrueTime now(BootTime now) const;
    /// Returns whether the clock has been corrected by enough clocks for some time, or started long enough ago.
    [[nodiscard]] bool isSettled(BootTime now) const;
    /// Returns the number of clocks that the estimate is based on, including this one.
    [[nodiscard]] unsigned clocks() const
    {
        return clocks_;
    }

private:
    using Offset = std::chrono::milliseconds;

    /// Samples of one clock: the difference from the own anchored time. The network and a paused receiver delay a sample, which makes
    /// its difference smaller, so the largest one of a period is the best.
    struct Samples
    {
        Offset current {0};
        std::optional<Offset> previous;
        BootTime periodStart;
        BootTime lastAt;
        unsigned clocks = 1;
    };
    using SampleTable = std::map<support::InstanceId, Samples>;

    /// Returns whether the sample is the first one of a clock, or of a candidate that knows more clocks than before.
    bool record(SampleTable &table, const support::InstanceId &source, Offset difference, unsigned clocks, BootTime receivedAt) const;
    void correct(BootTime now);
    void setCorrection(Offset correction, BootTime now);
    [[nodiscard]] bool isCorrectionDue(BootTime now) const;
    [[nodiscard]] bool isExpired(const Samples &samples, BootTime now) const;
    [[nodiscard]] std::vector<Offset> recentOffsets(const SampleTable &table, BootTime now, unsigned minimumClocks) const;

    BootTime startedAt_;
    TrueTime timeAtStart_;
    WindowClockOptions options_;
    SampleTable routers_;
    SampleTable candidates_;
    Offset correction_ {0};
    unsigned clocks_ = 1;
    std::optional<BootTime> firstCorrectionAt_;
    std::optional<BootTime> lastCorrectionAt_;
};

} // namespace mulberrywall::metering
