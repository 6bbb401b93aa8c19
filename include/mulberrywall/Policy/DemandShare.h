#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <cstdint>

/// Shares of organisations in what is admitted under overload.
///
/// An organisation that suddenly asks for eight times as much fills the backlog that all organisations of its tier share, and the
/// others would be rejected as often as it. Each router sees a random part of all requests, so that the shares in its own requests
/// are those of all. What the tier is admitted is divided by weight; what an organisation does not ask for is left to the others.
/// An organisation above its share may wait behind less backlog. Without rejections nobody is above.
namespace mulberrywall::policy
{

enum class PromptAnswer : std::uint8_t {
    Admitted,
    Rejected,
};

/// Records for what an organisation has asked, and the answer.
void recordDemand(Pool &pool, const Submission &submission, support::Tier tier, PromptAnswer answer, TimePoint now);

/// Returns the share, in (0, 1], of the admitted wait that the organisation may use.
double waitShare(const Pool &pool, const support::OrganisationId &organisation, support::Tier tier, TimePoint now);

} // namespace mulberrywall::policy
