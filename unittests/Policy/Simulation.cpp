#include "Simulation.h"

#include <algorithm>
#include <cmath>

namespace mulberrywall::policy
{

namespace
{

constexpr std::chrono::milliseconds step {10};
constexpr std::chrono::milliseconds progressInterval {100};
constexpr TimePoint traceStart {std::chrono::hours {1}};

enum class Phase : std::uint8_t {
    Waiting,
    Running,
    Ended,
};

struct Request
{
    Submission submission;
    support::Tier tier = 0;
    Phase phase = Phase::Waiting;
    TimePoint submittedAt;
    TimePoint startedAt;
    support::EndpointId endpoint;
    std::uint64_t tokens = 1;
    std::uint64_t reported = 0;
    std::optional<TimePoint> withdrawAt;
    AttemptOutcome outcome = AttemptOutcome::Completed;
    bool crashing = false;
    unsigned attempt = 0;
};

class Trace
{
public:
    Trace(const PolicyFunctions &functions, const TraceOptions &options)
        : functions_(functions),
          options_(options),
          random_(options.seed),
          pool_(functions.create({.queueLimit = options.queueLimit, .classes = traceClasses()}))
    {
        for (unsigned i = 0; i < options.endpoints; ++i) {
            endpoints_.push_back({.id = support::EndpointId("e" + std::to_string(i)), .maximumConcurrency = options.slotsPerEndpoint});
        }
        lastGrant_.fill(traceStart);
        functions_.setEndpoints(pool_.get(), endpoints_, now_);
    }

    TraceResult run()
    {
        const TimePoint end = traceStart + options_.duration;
        for (; now_ < end; now_ += step) {
            changeEndpoints();
            arrive();
            advanceRequests();
            wakeUp();
        }
        for (std::size_t tier = 0; tier < lastGrant_.size(); ++tier) {
            recordGrantGap(tier);
        }
        // Lets the remaining requests end; an hour is far beyond any deadline of the trace.
        for (const TimePoint limit = end + std::chrono::hours(1); now_ < limit && !open_.empty(); now_ += step) {
            advanceRequests();
            wakeUp();
        }
        for (const PermitId permit : open_) {
            violation("never ended", permit);
        }
        return std::move(result_);
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    void violation(const std::string &what, PermitId permit)
    {
        result_.violations.push_back(what + ": permit " + std::to_string(permit));
    }

    void changeEndpoints()
    {
        if (options_.churn == TraceOptions::Churn::None || (now_ - traceStart) % std::chrono::seconds(1) != TimePoint::duration::zero()) {
            return;
        }
        const std::size_t leaving = random_() % endpoints_.size();
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            endpoints_[i].leaving = i == leaving;
        }
        apply(functions_.setEndpoints(pool_.get(), endpoints_, now_));
    }

    void arrive()
    {
        for (support::Tier tier = 0; tier < 3; ++tier) {
            const double expected = options_.arrivalsPerSecond.at(tier) * std::chrono::duration<double>(step).count();
            const unsigned count = std::poisson_distribution<unsigned>(expected)(random_);
            for (unsigned i = 0; i < count; ++i) {
                submit(tier);
            }
        }
    }

    void submit(support::Tier tier)
    {
        Request request {.tier = tier, .submittedAt = now_};
        request.submission.permit = nextPermit_;
        request.submission.requestClass = support::ClassId("tier" + std::to_string(tier));
        request.submission.organisation = support::OrganisationId("org" + std::to_string(random_() % 3));
        request.submission.fingerprint = nextPermit_;
        request.tokens = 1 + static_cast<std::uint64_t>(std::exponential_distribution<double>(1.0 / options_.meanTokens)(random_));
        if (uniform() < options_.withDeadline) {
            request.submission.deadline = now_ + std::chrono::milliseconds(500 + random_() % 3'000);
        }
        if (uniform() < options_.withdrawn) {
            request.withdrawAt = now_ + std::chrono::milliseconds(random_() % 2'000);
        }
        request.crashing = uniform() < options_.crashing;
        const double fault = uniform();
        if (fault < options_.refusedByEndpoint) {
            request.outcome = AttemptOutcome::NotRun;
        } else if (fault < options_.refusedByEndpoint + options_.endpointCrash) {
            request.outcome = AttemptOutcome::EndpointFailed;
        }
        if (request.crashing) {
            request.outcome = AttemptOutcome::EndpointFailed;
        }
        ++result_.submitted.at(tier);
        send(std::move(request));
    }

    void send(Request request)
    {
        const PermitId permit = nextPermit_;
        ++nextPermit_;
        open_.push_back(permit);
        request.submission.permit = permit;
        const Submission submission = request.submission;
        requests_.emplace(permit, std::move(request));
        apply(functions_.submit(pool_.get(), submission, now_));
    }

    /// Retries a request that was not run, or resumes it after a crash, on another endpoint.
    void resend(const Request &request, AttemptOutcome outcome)
    {
        if (request.attempt >= options_.resends) {
            return;
        }
        Request next {.submission = request.submission, .tier = request.tier, .submittedAt = now_, .tokens = request.tokens};
        next.submission.purpose = outcome == AttemptOutcome::NotRun ? AttemptPurpose::Retry : AttemptPurpose::Resume;
        next.submission.excludedEndpoints = {request.endpoint};
        next.submission.deadline = TimePoint::max();
        next.crashing = request.crashing;
        next.outcome = request.crashing ? AttemptOutcome::EndpointFailed : AttemptOutcome::Completed;
        next.attempt = request.attempt + 1;
        send(std::move(next));
    }

    void crash(const support::EndpointId &endpoint, PermitId cause)
    {
        const Request &request = requests_.at(cause);
        if (request.crashing) {
            unsigned &crashes = crashes_[request.submission.fingerprint];
            ++crashes;
            result_.maximumCrashes = std::max(result_.maximumCrashes, crashes);
        }
        for (const PermitId permit : std::vector<PermitId>(open_)) {
            Request &other = requests_.at(permit);
            if (other.phase == Phase::Running && other.endpoint == endpoint) {
                finish(permit, other, AttemptOutcome::EndpointFailed);
            }
        }
    }

    void advanceRequests()
    {
        for (const PermitId permit : std::vector<PermitId>(open_)) {
            Request &request = requests_.at(permit);
            if (request.withdrawAt && now_ >= *request.withdrawAt && request.phase != Phase::Ended) {
                disconnect(permit, request);
            } else if (request.phase == Phase::Running) {
                advanceRunning(permit, request);
            }
        }
        std::erase_if(open_, [&](PermitId permit) { return requests_.at(permit).phase == Phase::Ended; });
    }

    void disconnect(PermitId permit, Request &request)
    {
        const Phase phase = request.phase;
        if (phase == Phase::Running) {
            finish(permit, request, AttemptOutcome::Cancelled);
            return;
        }
        request.phase = Phase::Ended;
        apply(functions_.withdraw(pool_.get(), permit, now_));
    }

    void advanceRunning(PermitId permit, Request &request)
    {
        const auto produced = static_cast<std::uint64_t>((now_ - request.startedAt) / options_.tokenInterval);
        if (request.outcome == AttemptOutcome::EndpointFailed && produced >= 1) {
            crash(request.endpoint, permit);
        } else if (request.outcome != AttemptOutcome::Completed && produced >= 1) {
            finish(permit, request, request.outcome);
        } else if (produced >= request.tokens) {
            request.reported = request.tokens;
            finish(permit, request, AttemptOutcome::Completed);
        } else if (produced > request.reported && (now_ - request.startedAt) % progressInterval == TimePoint::duration::zero()) {
            request.reported = produced;
            apply(functions_.recordProgress(pool_.get(), permit, {.outputTokens = produced}, now_));
        }
    }

    void finish(PermitId permit, Request &request, AttemptOutcome outcome)
    {
        request.phase = Phase::Ended;
        --running_[request.endpoint];
        apply(functions_.complete(pool_.get(), permit, {.outcome = outcome, .outputTokens = request.reported}, now_));
        if (outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::EndpointFailed) {
            resend(request, outcome);
        }
    }

    void wakeUp()
    {
        const auto wakeUp = functions_.nextWakeUp(pool_.get());
        if (!wakeUp || *wakeUp > now_) {
            return;
        }
        apply(functions_.advance(pool_.get(), now_));
        const auto next = functions_.nextWakeUp(pool_.get());
        if (next && *next <= now_) {
            violation("wake-up does not advance", 0);
        }
    }

    void apply(const Decisions &decisions)
    {
        for (const Grant &grant : decisions.grants) {
            applyGrant(grant);
        }
        for (const Rejection &rejection : decisions.rejections) {
            applyRejection(rejection);
        }
    }

    Request *waitingRequest(PermitId permit)
    {
        const auto found = requests_.find(permit);
        if (found == requests_.end() || found->second.phase != Phase::Waiting) {
            violation("decision about a request that is not waiting", permit);
            return nullptr;
        }
        return &found->second;
    }

    void applyGrant(const Grant &grant)
    {
        result_.log += "g" + std::to_string(grant.permit) + "@" + grant.endpoint.value() + " ";
        Request *request = waitingRequest(grant.permit);
        if (request == nullptr) {
            return;
        }
        const auto endpoint = std::find_if(endpoints_.begin(), endpoints_.end(), [&](const EndpointSpec &spec) { return spec.id == grant.endpoint; });
        if (endpoint == endpoints_.end() || endpoint->leaving) {
            violation("grant on an endpoint that is leaving or unknown", grant.permit);
        }
        if (request->submission.deadline <= now_) {
            violation("grant after the deadline", grant.permit);
        }
        ++running_[grant.endpoint];
        if (running_[grant.endpoint] > options_.slotsPerEndpoint) {
            violation("slots exceeded", grant.permit);
        }
        request->phase = Phase::Running;
        request->startedAt = now_;
        request->endpoint = grant.endpoint;
        ++result_.granted.at(request->tier);
        result_.withinTarget.at(request->tier) += now_ - request->submittedAt <= std::chrono::seconds(2) ? 1 : 0;
        result_.grantedByPermit[grant.permit] = true;
        recordGrantGap(request->tier);
    }

    void applyRejection(const Rejection &rejection)
    {
        result_.log += std::string("r") + std::to_string(rejection.permit) + std::string(toString(rejection.reason)) + " ";
        Request *request = waitingRequest(rejection.permit);
        if (request == nullptr) {
            return;
        }
        request->phase = Phase::Ended;
        if (rejection.reason == RejectionReason::Quarantined && !request->crashing) {
            ++result_.falseQuarantineRejections;
        }
        if (rejection.reason != RejectionReason::Shed) {
            return;
        }
        const bool lowerWaits = std::any_of(open_.begin(), open_.end(), [&](PermitId permit) {
            const Request &other = requests_.at(permit);
            return other.phase == Phase::Waiting && other.tier > request->tier;
        });
        result_.tierOrderViolations += lowerWaits ? 1 : 0;
    }

    void recordGrantGap(std::size_t tier)
    {
        const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - lastGrant_.at(tier));
        result_.longestGrantGap.at(tier) = std::max(result_.longestGrantGap.at(tier), gap);
        lastGrant_.at(tier) = now_;
    }

    const PolicyFunctions &functions_;
    TraceOptions options_;
    std::mt19937_64 random_;
    PoolHandle pool_;
    TimePoint now_ = traceStart;
    std::vector<EndpointSpec> endpoints_;
    std::map<PermitId, Request> requests_;
    std::vector<PermitId> open_;
    std::map<support::EndpointId, unsigned> running_;
    std::map<Fingerprint, unsigned> crashes_;
    std::array<TimePoint, 3> lastGrant_;
    PermitId nextPermit_ = 1;
    TraceResult result_;
};

} // namespace

std::vector<ClassSpec> traceClasses()
{
    std::vector<ClassSpec> classes;
    for (support::Tier tier = 0; tier < 3; ++tier) {
        classes.push_back({.id = support::ClassId("tier" + std::to_string(tier)),
            .tier = tier,
            .firstTokenTarget = std::chrono::seconds(2),
            .minimumShare = 0.05,
            .maximumWait = std::chrono::seconds(5)});
    }
    return classes;
}

TraceResult runTrace(const PolicyFunctions &functions, const TraceOptions &options)
{
    return Trace(functions, options).run();
}

} // namespace mulberrywall::policy
