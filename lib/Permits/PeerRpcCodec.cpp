#include "PeerRpcCodec.h"

#include <algorithm>
#include <limits>

namespace mulberrywall::permits
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint32_t noDeadline = std::numeric_limits<std::uint32_t>::max();

std::string toString(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

std::uint32_t remainingMs(policy::TimePoint deadline)
{
    if (deadline == policy::TimePoint::max()) {
        return noDeadline;
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining, 0, noDeadline - 1));
}

rpc::Purpose toWire(policy::AttemptPurpose purpose)
{
    switch (purpose) {
    case policy::AttemptPurpose::First:
        return rpc::Purpose::FIRST;
    case policy::AttemptPurpose::Retry:
        return rpc::Purpose::RETRY;
    case policy::AttemptPurpose::Hedge:
        return rpc::Purpose::HEDGE;
    case policy::AttemptPurpose::Resume:
        return rpc::Purpose::RESUME;
    }
    return rpc::Purpose::FIRST;
}

policy::AttemptPurpose fromWire(rpc::Purpose purpose)
{
    switch (purpose) {
    case rpc::Purpose::FIRST:
        return policy::AttemptPurpose::First;
    case rpc::Purpose::RETRY:
        return policy::AttemptPurpose::Retry;
    case rpc::Purpose::HEDGE:
        return policy::AttemptPurpose::Hedge;
    case rpc::Purpose::RESUME:
        return policy::AttemptPurpose::Resume;
    }
    return policy::AttemptPurpose::First;
}

} // namespace

void encode(const PermitRequest &request, const std::vector<support::InstanceId> &unreachable, rpc::Request::Builder builder)
{
    const policy::Submission &submission = request.submission;
    builder.setId(request.request.value().c_str());
    builder.setPool(request.pool.value().c_str());
    builder.setRequestClass(submission.requestClass.value().c_str());
    builder.setOrganisation(submission.organisation.value().c_str());
    builder.setFingerprint(submission.fingerprint);
    builder.setPrefixHash(submission.prefixHash);
    builder.setPromptTokens(submission.promptTokens);
    builder.setPurpose(toWire(submission.purpose));
    builder.setWasQueued(submission.wasQueued);
    builder.setRemainingMs(remainingMs(submission.deadline));
    auto excluded = builder.initExcludedEndpoints(submission.excludedEndpoints.size());
    for (unsigned index = 0; index < excluded.size(); ++index) {
        excluded.set(index, submission.excludedEndpoints[index].value().c_str());
    }
    auto segments = builder.initSegments(submission.segments.size());
    for (unsigned index = 0; index < segments.size(); ++index) {
        segments.set(index, submission.segments[index]);
    }
    auto owners = builder.initUnreachableOwners(unreachable.size());
    for (unsigned index = 0; index < owners.size(); ++index) {
        owners.set(index, unreachable[index].value().c_str());
    }
}

PermitRequest decode(rpc::Request::Reader reader)
{
    PermitRequest request;
    request.request = support::RequestId(toString(reader.getId()));
    request.pool = support::PoolId(toString(reader.getPool()));
    policy::Submission &submission = request.submission;
    submission.requestClass = support::ClassId(toString(reader.getRequestClass()));
    submission.organisation = support::OrganisationId(toString(reader.getOrganisation()));
    submission.fingerprint = reader.getFingerprint();
    submission.prefixHash = reader.getPrefixHash();
    submission.promptTokens = reader.getPromptTokens();
    submission.purpose = fromWire(reader.getPurpose());
    submission.wasQueued = reader.getWasQueued();
    for (const auto endpoint : reader.getExcludedEndpoints()) {
        submission.excludedEndpoints.emplace_back(toString(endpoint));
    }
    for (const auto segment : reader.getSegments()) {
        submission.segments.push_back(segment);
    }
    if (reader.getRemainingMs() != noDeadline) {
        submission.deadline = steady_clock::now() + milliseconds(reader.getRemainingMs());
    }
    return request;
}

std::vector<support::InstanceId> decodeUnreachable(rpc::Request::Reader reader)
{
    std::vector<support::InstanceId> owners;
    for (const auto owner : reader.getUnreachableOwners()) {
        owners.emplace_back(toString(owner));
    }
    return owners;
}

void encode(const configuration::Endpoint &endpoint, rpc::Endpoint::Builder builder)
{
    builder.setId(endpoint.id.value().c_str());
    builder.setAddress(endpoint.address.c_str());
    builder.setPort(endpoint.port);
    builder.setMaximumConcurrency(endpoint.maximumConcurrency);
    builder.setResume(endpoint.support.resume);
    builder.setPriorities(endpoint.support.priorities);
    builder.setPrefixCache(endpoint.support.prefixCache);
    builder.setChecksFencing(endpoint.support.checksFencing);
    builder.setChecksOrders(endpoint.support.checksOrders);
}

configuration::Endpoint decode(rpc::Endpoint::Reader reader)
{
    configuration::Endpoint endpoint;
    endpoint.id = support::EndpointId(toString(reader.getId()));
    endpoint.address = toString(reader.getAddress());
    endpoint.port = reader.getPort();
    endpoint.maximumConcurrency = reader.getMaximumConcurrency();
    endpoint.support = {.resume = reader.getResume(),
        .priorities = reader.getPriorities(),
        .prefixCache = reader.getPrefixCache(),
        .checksFencing = reader.getChecksFencing(),
        .checksOrders = reader.getChecksOrders()};
    return endpoint;
}

rpc::Outcome toWire(policy::AttemptOutcome outcome)
{
    switch (outcome) {
    case policy::AttemptOutcome::Completed:
        return rpc::Outcome::COMPLETED;
    case policy::AttemptOutcome::Cancelled:
        return rpc::Outcome::CANCELLED;
    case policy::AttemptOutcome::NotRun:
    case policy::AttemptOutcome::EndpointLost:
        return rpc::Outcome::NOT_RUN;
    case policy::AttemptOutcome::EndpointFailed:
        return rpc::Outcome::ENDPOINT_FAILED;
    case policy::AttemptOutcome::Stalled:
        return rpc::Outcome::STALLED;
    case policy::AttemptOutcome::ConnectionLost:
        return rpc::Outcome::CONNECTION_LOST;
    }
    return rpc::Outcome::CANCELLED;
}

policy::AttemptOutcome fromWire(rpc::Outcome outcome)
{
    switch (outcome) {
    case rpc::Outcome::COMPLETED:
        return policy::AttemptOutcome::Completed;
    case rpc::Outcome::CANCELLED:
        return policy::AttemptOutcome::Cancelled;
    case rpc::Outcome::NOT_RUN:
        return policy::AttemptOutcome::NotRun;
    case rpc::Outcome::ENDPOINT_FAILED:
        return policy::AttemptOutcome::EndpointFailed;
    case rpc::Outcome::STALLED:
        return policy::AttemptOutcome::Stalled;
    case rpc::Outcome::CONNECTION_LOST:
        return policy::AttemptOutcome::ConnectionLost;
    }
    return policy::AttemptOutcome::Cancelled;
}

rpc::RefusalReason toWire(policy::RejectionReason reason)
{
    switch (reason) {
    case policy::RejectionReason::Shed:
        return rpc::RefusalReason::SHED;
    case policy::RejectionReason::TargetUnreachable:
        return rpc::RefusalReason::TARGET_UNREACHABLE;
    case policy::RejectionReason::DeadlineExpired:
        return rpc::RefusalReason::DEADLINE_EXPIRED;
    case policy::RejectionReason::Quarantined:
        return rpc::RefusalReason::CRASH_SUSPECT;
    case policy::RejectionReason::UnknownClass:
        return rpc::RefusalReason::UNKNOWN_CLASS;
    case policy::RejectionReason::NoEndpoint:
        return rpc::RefusalReason::NO_ENDPOINT;
    case policy::RejectionReason::HedgeDenied:
        return rpc::RefusalReason::HEDGE_DENIED;
    }
    return rpc::RefusalReason::SHED;
}

policy::RejectionReason fromWire(rpc::RefusalReason reason)
{
    switch (reason) {
    case rpc::RefusalReason::SHED:
        return policy::RejectionReason::Shed;
    case rpc::RefusalReason::TARGET_UNREACHABLE:
        return policy::RejectionReason::TargetUnreachable;
    case rpc::RefusalReason::DEADLINE_EXPIRED:
        return policy::RejectionReason::DeadlineExpired;
    case rpc::RefusalReason::CRASH_SUSPECT:
        return policy::RejectionReason::Quarantined;
    case rpc::RefusalReason::UNKNOWN_CLASS:
        return policy::RejectionReason::UnknownClass;
    case rpc::RefusalReason::NO_ENDPOINT:
        return policy::RejectionReason::NoEndpoint;
    case rpc::RefusalReason::HEDGE_DENIED:
        return policy::RejectionReason::HedgeDenied;
    }
    return policy::RejectionReason::Shed;
}

void encode(const PoolReregistration &reregistration, rpc::Adoption::Builder builder)
{
    builder.setPool(reregistration.pool.value().c_str());
    auto requests = builder.initRequests(reregistration.requests.size());
    for (unsigned index = 0; index < requests.size(); ++index) {
        const PoolReregistration::ReregisteredRequest &running = reregistration.requests[index];
        encode(running.request, {}, requests[index].initRequest());
        requests[index].setEndpoint(running.endpoint.value().c_str());
        requests[index].setOutputTokens(running.progress.outputTokens);
    }
}

PoolReregistration decode(rpc::Adoption::Reader reader)
{
    PoolReregistration reregistration;
    reregistration.pool = support::PoolId(toString(reader.getPool()));
    for (const auto running : reader.getRequests()) {
        reregistration.requests.push_back({.request = decode(running.getRequest()),
            .endpoint = support::EndpointId(toString(running.getEndpoint())),
            .progress = {.outputTokens = running.getOutputTokens()}});
    }
    return reregistration;
}

} // namespace mulberrywall::permits
