#pragma once

#include "mulberrywall/Duties/Lease.h"
#include "mulberrywall/Membership/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mulberrywall::duties
{

/// Faults of the program that the model can contain, to show that its checks find them.
enum class PlantedFault : std::uint8_t {
    None,
    /// The holder acts until the last millisecond of its lease.
    NoMargin,
    /// A new holder computes its fence from the first row that it has read.
    CachedFence,
};

/// Candidates for the lease, a store and a receiver of calls, in one seeded loop with a simulated clock.
///
/// Requests and responses are lost, delayed and duplicated; the store executes writes seconds later; processes pause, are suspended (their
/// monotonic clocks stop), are killed and restarted under the same name, and release the lease. Each process has clocks with an origin and a
/// rate of its own. The system clock does not occur, as in the program.
class LeaseModel
{
public:
    LeaseModel(unsigned seed, std::size_t processes, PlantedFault fault);

    void run(std::int64_t durationMs);

    /// Calls that the receiver has got and that are not excused.
    std::uint64_t calls = 0;
    std::uint64_t highestFence = 0;
    /// Descriptions of the violated invariants.
    std::vector<std::string> violations;

private:
    struct Process
    {
        std::size_t index = 0;
        unsigned runs = 0;
        LeaseState state;
        bool isLive = true;
        bool isCandidate = false;
        bool isAwaitingStore = false;
        bool isStopping = false;
        std::int64_t pausedUntil = 0;
        std::int64_t resumedAt = -1'000'000;
        std::int64_t storeUnreachableUntil = 0;
        std::int64_t receiverUnreachableUntil = 0;
        std::int64_t restartAt = 0;
        std::int64_t nextViewAt = 0;
        std::int64_t clockOrigin = 0;
        double clockRate = 1.0;
        /// Time for which the monotonic clock stood still.
        std::int64_t suspendedMs = 0;
        /// Times at which calls in progress were cancelled. Their number is the generation of the calls that start now.
        std::vector<std::int64_t> callsEndedAt;
        std::optional<std::uint64_t> firstFence;
    };

    struct Call
    {
        std::size_t sender = 0;
        std::size_t generation = 0;
        std::string holder;
        std::uint64_t fence = 0;
        std::int64_t excusedUntil = -1;
    };

    struct Event
    {
        std::int64_t time = 0;
        std::uint64_t order = 0;
        std::function<void()> function;

        friend bool operator<(const Event &left, const Event &right)
        {
            return left.time != right.time ? left.time > right.time : left.order > right.order;
        }
    };

    bool chance(double probability);
    std::int64_t between(std::int64_t low, std::int64_t high);
    void schedule(std::int64_t time, std::function<void()> function);
    void runEvents();
    [[nodiscard]] LeaseTime clocksOf(const Process &process) const;

    void disturb();
    void disturbProcess(Process &process);
    void pause(Process &process, std::int64_t duration);
    void kill(Process &process);
    void restart(Process &process);
    void updateView(Process &process);
    void runProcess(Process &process);
    void startStep(Process &process, LeaseStep step);
    void execute(const LeaseStep &step, LeaseReadResult &read, LeaseWriteResult &write);
    void answer(std::size_t index, unsigned runs, const LeaseStep &step, const LeaseReadResult &read, const LeaseWriteResult &write, const LeaseTime &sentAt);
    void startCall(Process &process);
    void onConnected(std::size_t index, std::size_t generation, std::int64_t startedAt, const DutyPermission &permission, const std::string &holder);
    void receive(const Call &call);
    void violate(const std::string &text);

    LeaseOptions options_;
    PlantedFault fault_;
    std::mt19937 random_;
    std::int64_t now_ = 0;
    std::uint64_t events_ = 0;
    std::priority_queue<Event> queue_;
    std::vector<Process> processes_;
    std::optional<StoredLease> row_;
    std::uint64_t lastVersion_ = 0;
    std::int64_t storeSilentUntil_ = 0;
    /// Highest fence whose holder took over from one that had not released the lease.
    std::uint64_t highestForcedFence_ = 0;
    std::map<std::uint64_t, std::string> holderOfFence_;
    std::map<std::size_t, std::int64_t> lastCallOf_;
    std::optional<std::size_t> latestSender_;
};

} // namespace mulberrywall::duties
