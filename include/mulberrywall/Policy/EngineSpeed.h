#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <chrono>
#include <cstdint>

/// Prefill and decode speed of each engine, for pools whose engines differ in speed by a factor of two or more.
///
/// One of many routers that share many engines rarely measures the prefill of a prompt on any one of them. Routers
/// therefore report each measured prefill to each other with the request that gave it, and the median of all samples counts.
/// The speed of the pool stands in until an engine has samples, and the samples of an engine end with its incarnation.
namespace mulberrywall::policy
{

/// Returns the low bits of the incarnation, by which samples of an earlier start are recognised.
std::uint16_t incarnationTag(const EndpointState &endpoint);

/// Records the measured prefill speed of one prompt of this router, in tokens per second, for the engine and the pool.
void recordOwnPrefillSpeed(Pool &pool, EndpointState &endpoint, double tokensPerSecond, TimePoint now);

/// Records the measured prefill speed of one prompt for the engine, in tokens per second.
void recordPrefillSpeed(const Pool &pool, EndpointState &endpoint, double tokensPerSecond);

/// Records the speeds that another router reports with a request of its own.
void recordPeerSpeed(const Pool &pool, EndpointState &endpoint, const PeerRequest &request, PeerLoad &peer, const PeerLoad *previous, TimePoint now);

/// Records the speeds that a summary contains; the data centre is empty if it covers all routers.
void recordReportedSpeed(const Pool &pool, EndpointState &endpoint, const PeerEndpointLoad &described, const support::DataCentreId &dataCentre, TimePoint now);

/// Writes the speeds by the samples of the scope to the summary of the endpoint.
void summarizeSpeed(const Pool &pool, const EndpointState &endpoint, SummaryScope scope, TimePoint now, PeerEndpointLoad &summary);

/// Forgets the speed after a restart of the endpoint.
void forgetSpeed(EndpointState &endpoint);

/// Returns the estimated inter-token latency of a stream on the endpoint; zero if nothing is known.
std::chrono::duration<double> stepTime(const Pool &pool, const EndpointState &endpoint, TimePoint now);

/// Returns the inter-token latency for reports to peers, rounded so that a report changes only if it matters.
std::chrono::microseconds reportedStep(const Pool &pool, const EndpointState &endpoint, TimePoint now);

} // namespace mulberrywall::policy
