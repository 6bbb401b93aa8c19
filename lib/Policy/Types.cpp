#include "mulberrywall/Policy/Types.h"

namespace mulberrywall::policy
{

std::string_view toString(AttemptPurpose purpose)
{
    switch (purpose) {
    case AttemptPurpose::First:
        return "first";
    case AttemptPurpose::Retry:
        return "retry";
    case AttemptPurpose::Hedge:
        return "hedge";
    case AttemptPurpose::Resume:
        return "resume";
    }
    return "first";
}

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    case AttemptOutcome::NotRun:
        return "not-run";
    case AttemptOutcome::EndpointFailed:
        return "endpoint-failed";
    case AttemptOutcome::Stalled:
        return "stalled";
    case AttemptOutcome::ConnectionLost:
        return "connection-lost";
    case AttemptOutcome::EndpointLost:
        return "endpoint-lost";
    }
    return "unknown";
}

std::string_view toString(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::Shed:
        return "shed";
    case RejectionReason::TargetUnreachable:
        return "target-unreachable";
    case RejectionReason::DeadlineExpired:
        return "deadline-expired";
    case RejectionReason::Quarantined:
        return "crash-suspect";
    case RejectionReason::UnknownClass:
        return "unknown-class";
    case RejectionReason::NoEndpoint:
        return "no-endpoint";
    case RejectionReason::HedgeDenied:
        return "hedge-denied";
    }
    return "unknown";
}

std::string_view toString(EndpointHealth health)
{
    switch (health) {
    case EndpointHealth::Healthy:
        return "healthy";
    case EndpointHealth::Reduced:
        return "reduced";
    case EndpointHealth::Probation:
        return "probation";
    }
    return "unknown";
}

} // namespace mulberrywall::policy
