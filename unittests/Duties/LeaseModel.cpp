#include "LeaseModel.h"

#include "mulberrywall/Duties/Succession.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace mulberrywall::duties
{

using std::chrono::milliseconds;

static constexpr std::int64_t leaseMs = 3'000;
static constexpr std::int64_t thawMs = 300;
/// As the program sets it: a quarter of the lease.
static constexpr std::int64_t callTimeoutMs = leaseMs / 4;
/// Longest time that bytes spend on the network, also after the sender has closed the connection.
static constexpr std::int64_t networkMs = 200;
static constexpr std::int64_t storeTimeoutMs = 900;
static constexpr std::int64_t stepMs = 10;

LeaseModel::LeaseModel(unsigned seed, std::size_t processes, PlantedFault fault)
    : options_(makeLeaseOptions(milliseconds(leaseMs))),
      fault_(fault),
      random_(seed)
{
    if (fault_ == PlantedFault::NoMargin) {
        options_.margin = milliseconds(0);
    }
    processes_.resize(processes);
    for (std::size_t index = 0; index < processes; ++index) {
        processes_[index].index = index;
        restart(processes_[index]);
    }
}

bool LeaseModel::chance(double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
}

std::int64_t LeaseModel::between(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

void LeaseModel::schedule(std::int64_t time, std::function<void()> function)
{
    queue_.push({.time = time, .order = ++events_, .function = std::move(function)});
}

void LeaseModel::runEvents()
{
    while (!queue_.empty() && queue_.top().time <= now_) {
        const auto function = queue_.top().function;
        queue_.pop();
        function();
    }
}

LeaseTime LeaseModel::clocksOf(const Process &process) const
{
    const auto boot = milliseconds(process.clockOrigin + std::llround(static_cast<double>(now_) * process.clockRate));
    return {.monotonic = TimePoint(boot - milliseconds(process.suspendedMs)), .boot = support::BootClock::time_point(boot)};
}

void LeaseModel::run(std::int64_t durationMs)
{
    for (; now_ < durationMs; now_ += stepMs) {
        runEvents();
        disturb();
        for (Process &process : processes_) {
            if (!process.isLive && now_ >= process.restartAt) {
                restart(process);
            }
            if (process.isLive && now_ >= process.pausedUntil) {
                runProcess(process);
            }
        }
    }
}

void LeaseModel::disturb()
{
    if (chance(0.0003)) {
        storeSilentUntil_ = now_ + between(100, 8'000);
    }
    if (chance(0.0001)) {
        const double share = chance(0.5) ? 1.0 : 0.5;
        for (Process &process : processes_) {
            if (chance(share)) {
                kill(process);
            }
        }
    }
    // The holder is disturbed more often than the many that do nothing.
    for (Process &process : processes_) {
        if (process.isLive && chance(process.state.isHeld ? 0.001 : 0.0002)) {
            disturbProcess(process);
        }
    }
}

void LeaseModel::disturbProcess(Process &process)
{
    switch (between(0, 4)) {
    case 0:
        pause(process, between(100, 10'000));
        return;
    case 1: {
        const std::int64_t duration = between(500, 10'000);
        process.suspendedMs += duration;
        pause(process, duration);
        return;
    }
    case 2:
        kill(process);
        return;
    case 3: {
        const std::int64_t until = now_ + between(500, 8'000);
        const std::int64_t side = between(0, 2);
        process.storeUnreachableUntil = side != 0 ? until : process.storeUnreachableUntil;
        process.receiverUnreachableUntil = side != 1 ? until : process.receiverUnreachableUntil;
        return;
    }
    default:
        // A release at a stop, or a hand-over after which the process goes on as a candidate.
        process.isStopping = chance(0.5);
        process.callsEndedAt.push_back(now_);
        beginRelease(process.state, clocksOf(process));
        return;
    }
}

void LeaseModel::pause(Process &process, std::int64_t duration)
{
    process.pausedUntil = std::max(process.pausedUntil, now_ + duration);
    process.resumedAt = process.pausedUntil;
}

void LeaseModel::kill(Process &process)
{
    process.isLive = false;
    process.isAwaitingStore = false;
    ++process.runs;
    process.callsEndedAt.push_back(now_);
    process.restartAt = now_ + between(100, 5'000);
}

void LeaseModel::restart(Process &process)
{
    process.state = {};
    process.state.self = "router-" + std::to_string(process.index) + "/" + std::to_string(++process.runs);
    process.isLive = true;
    process.isStopping = false;
    process.isCandidate = false;
    process.pausedUntil = 0;
    process.firstFence.reset();
    process.clockOrigin = between(100'000, 10'000'000);
    process.clockRate = 1.0 + static_cast<double>(between(-200, 200)) * 1e-6;
    process.state.nextAccessAt = clocksOf(process).monotonic + milliseconds(between(0, leaseMs));
}

void LeaseModel::updateView(Process &process)
{
    process.nextViewAt = now_ + between(200, 1'500);
    std::vector<membership::Member> live;
    for (const Process &other : processes_) {
        // A member that was lost a moment ago is often still listed, and in a partition others are missing.
        const bool isListed = other.isLive ? chance(0.98) : chance(0.5);
        if (isListed || other.index == process.index) {
            live.push_back({.instance = support::InstanceId("router-" + std::to_string(other.index)), .processorPercent = 25});
        }
    }
    process.isCandidate = containsInstance(dutyCandidates(live), instanceOf(process.state.self));
    const auto &observed = process.state.observedRow;
    if (observed && !containsInstance(live, instanceOf(observed->row.holder))) {
        onHolderGone(process.state, options_, clocksOf(process));
    }
}

void LeaseModel::runProcess(Process &process)
{
    if (now_ >= process.nextViewAt) {
        updateView(process);
    }
    if (process.state.isHeld && chance(0.1)) {
        startCall(process);
    }
    if (process.isAwaitingStore) {
        return;
    }
    if (process.isStopping && !process.state.isReleasing) {
        kill(process);
        return;
    }
    if (!process.isCandidate && !process.state.isHeld && !process.state.isReleasing) {
        return;
    }
    LeaseStep step = nextStep(process.state, options_, clocksOf(process));
    if (step.kind != LeaseStepKind::Wait) {
        startStep(process, std::move(step));
    }
}

void LeaseModel::startStep(Process &process, LeaseStep step)
{
    const bool takesOver = step.kind == LeaseStepKind::Write && !process.state.isHeld && !process.state.isReleasing;
    if (fault_ == PlantedFault::CachedFence && takesOver && process.firstFence) {
        step.row.fencing = *process.firstFence + 1;
    }
    process.isAwaitingStore = true;
    const LeaseTime sentAt = clocksOf(process);
    const bool isReached = now_ >= process.storeUnreachableUntil && now_ >= storeSilentUntil_;
    const bool isLost = !isReached || chance(0.08);
    const std::int64_t executedAt = now_ + (isLost ? between(0, 6'000) : between(1, chance(0.1) ? storeTimeoutMs - 100 : 60));
    const std::int64_t answeredAt = isLost ? now_ + storeTimeoutMs : executedAt + between(1, 60);
    const auto read = std::make_shared<LeaseReadResult>();
    const auto write = std::make_shared<LeaseWriteResult>();
    if (!isLost || chance(0.7)) {
        schedule(executedAt, [this, step, read, write] { execute(step, *read, *write); });
    }
    if (chance(0.02)) {
        const auto ignoredRead = std::make_shared<LeaseReadResult>();
        const auto ignoredWrite = std::make_shared<LeaseWriteResult>();
        schedule(executedAt + between(0, 6'000), [this, step, ignoredRead, ignoredWrite] { execute(step, *ignoredRead, *ignoredWrite); });
    }
    schedule(answeredAt, [this, index = process.index, runs = process.runs, step, read, write, sentAt, isLost] {
        answer(index, runs, step, isLost ? LeaseReadResult() : *read, isLost ? LeaseWriteResult() : *write, sentAt);
    });
}

void LeaseModel::execute(const LeaseStep &step, LeaseReadResult &read, LeaseWriteResult &write)
{
    if (step.kind == LeaseStepKind::Read) {
        read = {.status = row_ ? LeaseReadStatus::Found : LeaseReadStatus::Absent, .stored = row_.value_or(StoredLease())};
        return;
    }
    if ((row_ ? row_->version : 0) != step.expectedVersion) {
        write = {.status = LeaseWriteStatus::Conflict, .current = row_};
        return;
    }
    const std::string before = row_ ? parseLease(row_->text)->holder : std::string();
    if (!step.row.holder.empty() && !before.empty() && before != step.row.holder) {
        highestForcedFence_ = step.row.fencing;
    }
    row_ = StoredLease {.version = ++lastVersion_, .text = encodeLease(step.row)};
    write = {.status = LeaseWriteStatus::Applied, .version = lastVersion_};
}

void LeaseModel::answer(
    std::size_t index, unsigned runs, const LeaseStep &step, const LeaseReadResult &read, const LeaseWriteResult &write, const LeaseTime &sentAt)
{
    Process &process = processes_[index];
    if (process.runs != runs) {
        return;
    }
    if (now_ < process.pausedUntil) {
        schedule(process.pausedUntil, [this, index, runs, step, read, write, sentAt] { answer(index, runs, step, read, write, sentAt); });
        return;
    }
    process.isAwaitingStore = false;
    if (step.kind == LeaseStepKind::Read) {
        onRead(process.state, options_, read, clocksOf(process));
    } else {
        onWrite(process.state, options_, step.row, write, sentAt, clocksOf(process));
    }
    if (process.isStopping) {
        beginRelease(process.state, clocksOf(process));
    }
    if (!process.firstFence && process.state.observedRow) {
        process.firstFence = process.state.observedRow->row.fencing;
    }
}

void LeaseModel::startCall(Process &process)
{
    const auto permission = mayAct(process.state, options_, clocksOf(process));
    if (!permission) {
        return;
    }
    if (chance(0.01)) {
        pause(process, between(100, 6'000));
    }
    schedule(now_ + between(1, chance(0.2) ? callTimeoutMs : 30),
        [this, index = process.index, generation = process.callsEndedAt.size(), startedAt = now_, permission = *permission, holder = process.state.self] {
            onConnected(index, generation, startedAt, permission, holder);
        });
}

void LeaseModel::onConnected(std::size_t index, std::size_t generation, std::int64_t startedAt, const DutyPermission &permission, const std::string &holder)
{
    Process &process = processes_[index];
    if (process.callsEndedAt.size() != generation) {
        return;
    }
    if (now_ < process.pausedUntil) {
        schedule(
            process.pausedUntil, [this, index, generation, startedAt, permission, holder] { onConnected(index, generation, startedAt, permission, holder); });
        return;
    }
    const LeaseTime now = clocksOf(process);
    const bool isPermitted = now.monotonic <= permission.sendBefore.monotonic && now.boot <= permission.sendBefore.boot;
    if (now_ - startedAt > callTimeoutMs || !isPermitted || now_ < process.receiverUnreachableUntil) {
        return;
    }
    Call call {.sender = index, .generation = generation, .holder = holder, .fence = permission.fence};
    std::int64_t writtenAt = now_;
    if (chance(0.005)) {
        // Between the last check and the write. What arrives soon after the pause is excused.
        pause(process, between(100, 6'000));
        writtenAt = process.pausedUntil;
        call.excusedUntil = writtenAt + thawMs;
    }
    // Lost segments are sent again while the connection is open.
    const std::int64_t lastArrival = std::max(startedAt + callTimeoutMs, writtenAt) + networkMs;
    schedule(chance(0.2) ? between(writtenAt + 1, lastArrival) : writtenAt + between(1, networkMs / 4), [this, call] { receive(call); });
}

void LeaseModel::receive(const Call &call)
{
    const std::vector<std::int64_t> &endedAt = processes_[call.sender].callsEndedAt;
    const bool isDiscarded = endedAt.size() > call.generation && now_ > endedAt[call.generation] + networkMs;
    if (isDiscarded || now_ <= call.excusedUntil) {
        return;
    }
    ++calls;
    const auto [known, isNew] = holderOfFence_.try_emplace(call.fence, call.holder);
    if (!isNew && known->second != call.holder) {
        violate("fence " + std::to_string(call.fence) + " of " + known->second + " and " + call.holder);
    }
    if (call.fence < highestFence) {
        violate("fence " + std::to_string(call.fence) + " after " + std::to_string(highestFence));
    }
    if (call.fence < highestForcedFence_) {
        violate("call of " + call.holder + " after another holder took over");
    }
    const auto last = lastCallOf_.find(call.sender);
    if (latestSender_ && *latestSender_ != call.sender && last != lastCallOf_.end() && now_ - last->second <= leaseMs) {
        violate("router-" + std::to_string(call.sender) + " acted before and after another one");
    }
    highestFence = std::max(highestFence, call.fence);
    lastCallOf_[call.sender] = now_;
    latestSender_ = call.sender;
}

void LeaseModel::violate(const std::string &text)
{
    violations.push_back("at " + std::to_string(now_) + " ms: " + text);
}

} // namespace mulberrywall::duties
