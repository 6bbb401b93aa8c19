#include "mulberrywall/Policy/EngineSpeed.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberrywall::policy
{

namespace
{

using Seconds = std::chrono::duration<double>;

double speedOfPool(const Pool &pool)
{
    return pool.prefillTokensPerSecond.samples > 0 ? pool.prefillTokensPerSecond.value : pool.options.tuning.placement.defaultPrefillTokensPerSecond;
}

double plausibleSpeed(const Pool &pool, double tokensPerSecond)
{
    const double factor = pool.options.tuning.placement.maximumSpeedFactor;
    const double ofPool = speedOfPool(pool);
    return std::clamp(tokensPerSecond, ofPool / factor, ofPool * factor);
}

ReportedSpeed ownSpeed(const EngineSpeed &speed, const PlacementTuning &tuning)
{
    const auto samples = static_cast<std::uint32_t>(std::min<std::uint64_t>(speed.prefill.samples, tuning.maximumReportedSamples));
    return {.tokensPerSecond = valueOr(speed.prefill, 0.0), .samples = samples};
}

/// Returns the mean weighted by samples.
ReportedSpeed combine(const ReportedSpeed &left, const ReportedSpeed &right)
{
    const std::uint32_t samples = left.samples + right.samples;
    if (samples == 0) {
        return {};
    }
    return {.tokensPerSecond = (left.tokensPerSecond * left.samples + right.tokensPerSecond * right.samples) / samples, .samples = samples};
}

ReportedSpeed speedOf(const Pool &pool, const EndpointState &endpoint, SummaryScope scope)
{
    ReportedSpeed result = ownSpeed(endpoint.speed, pool.options.tuning.placement);
    if (scope == SummaryScope::AllRouters) {
        for (const auto &[dataCentre, reported] : endpoint.speed.dataCentres) {
            result = combine(result, reported);
        }
    }
    return result;
}

void updateCombined(const Pool &pool, EndpointState &endpoint)
{
    ReportedSpeed combined = speedOf(pool, endpoint, SummaryScope::AllRouters);
    if (endpoint.speed.allOthers) {
        combined = combine(combined, *endpoint.speed.allOthers);
    }
    endpoint.speed.tokensPerSecond = combined.tokensPerSecond;
    endpoint.speed.samples = combined.samples;
}

/// Inter-token latencies older than this are not used.
constexpr std::chrono::milliseconds stepLifetime {10'000};

} // namespace

std::uint16_t incarnationTag(const EndpointState &endpoint)
{
    constexpr unsigned bits = 16;
    const auto value = static_cast<std::uint64_t>(endpoint.spec.incarnation);
    return static_cast<std::uint16_t>(value ^ (value >> bits));
}

void recordOwnPrefillSpeed(Pool &pool, EndpointState &endpoint, double tokensPerSecond, TimePoint now)
{
    const bool isFirst = pool.prefillTokensPerSecond.samples == 0;
    observe(pool.prefillTokensPerSecond, isFirst ? tokensPerSecond : plausibleSpeed(pool, tokensPerSecond), now);
    recordPrefillSpeed(pool, endpoint, tokensPerSecond);
}

void recordPrefillSpeed(const Pool &pool, EndpointState &endpoint, double tokensPerSecond)
{
    observe(endpoint.speed.prefill, plausibleSpeed(pool, tokensPerSecond));
    updateCombined(pool, endpoint);
}

void recordPeerSpeed(const Pool &pool, EndpointState &endpoint, const PeerRequest &request, PeerLoad &peer, const PeerLoad *previous, TimePoint now)
{
    if (request.incarnationTag != incarnationTag(endpoint)) {
        return;
    }
    if (request.step.count() > 0) {
        observe(endpoint.speed.peerStepSeconds, Seconds(request.step).count(), now);
    }
    if (request.prefillTokensPerSecond == 0) {
        return;
    }
    peer.speedSamples.push_back(request.prefillTokensPerSecond);
    const bool isRepeated = previous != nullptr
        && std::find(previous->speedSamples.begin(), previous->speedSamples.end(), request.prefillTokensPerSecond) != previous->speedSamples.end();
    if (!isRepeated) {
        recordPrefillSpeed(pool, endpoint, request.prefillTokensPerSecond);
    }
}

void recordReportedSpeed(const Pool &pool, EndpointState &endpoint, const PeerEndpointLoad &described, const support::DataCentreId &dataCentre, TimePoint now)
{
    if (described.incarnationTag != incarnationTag(endpoint)) {
        return;
    }
    if (described.step.count() > 0) {
        observe(endpoint.speed.peerStepSeconds, Seconds(described.step).count(), now);
    }
    if (described.speedSamples == 0) {
        return;
    }
    const ReportedSpeed reported {.tokensPerSecond = static_cast<double>(described.prefillTokensPerSecond),
        .samples = std::min<std::uint32_t>(described.speedSamples, pool.options.tuning.placement.maximumReportedSamples)};
    if (dataCentre.empty()) {
        endpoint.speed.allOthers = reported;
    } else {
        endpoint.speed.dataCentres[dataCentre] = reported;
    }
    updateCombined(pool, endpoint);
}

void summarizeSpeed(const Pool &pool, const EndpointState &endpoint, SummaryScope scope, TimePoint now, PeerEndpointLoad &summary)
{
    const ReportedSpeed speed = speedOf(pool, endpoint, scope);
    summary.prefillTokensPerSecond = static_cast<std::uint32_t>(speed.tokensPerSecond);
    summary.speedSamples = static_cast<std::uint16_t>(std::min<std::uint32_t>(speed.samples, std::numeric_limits<std::uint16_t>::max()));
    summary.step = reportedStep(pool, endpoint, now);
    summary.incarnationTag = incarnationTag(endpoint);
}

void forgetSpeed(EndpointState &endpoint)
{
    endpoint.speed = {};
    endpoint.secondsPerUnit = {};
}

Seconds stepTime(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    if (pool.producesTokens && isFresh(endpoint.secondsPerUnit, 1, stepLifetime, now)) {
        return Seconds(endpoint.secondsPerUnit.value);
    }
    if (isFresh(endpoint.speed.peerStepSeconds, 1, stepLifetime, now)) {
        return Seconds(endpoint.speed.peerStepSeconds.value);
    }
    return Seconds(pool.producesTokens ? pool.medianSecondsPerUnit : 0.0);
}

std::chrono::microseconds reportedStep(const Pool &pool, const EndpointState &endpoint, TimePoint now)
{
    if (!pool.producesTokens || !isFresh(endpoint.secondsPerUnit, 1, stepLifetime, now)) {
        return std::chrono::microseconds(0);
    }
    constexpr double unitMicros = 500.0;
    constexpr double microsPerSecond = 1e6;
    const double units = std::ceil(endpoint.secondsPerUnit.value * microsPerSecond / unitMicros);
    return std::chrono::microseconds(static_cast<std::int64_t>(units * unitMicros));
}

} // namespace mulberrywall::policy
