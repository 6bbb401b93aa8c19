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

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Shed:
        return "shed";
    case RefusalReason::TargetUnreachable:
        return "target-unreachable";
    case RefusalReason::DeadlineExpired:
        return "deadline-expired";
    case RefusalReason::CrashSuspect:
        return "crash-suspect";
    case RefusalReason::UnknownClass:
        return "unknown-class";
    case RefusalReason::NoEndpoint:
        return "no-endpoint";
    case RefusalReason::HedgeDenied:
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
