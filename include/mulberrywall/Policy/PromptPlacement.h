#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <span>

/// Answers bursts of long prompts beside short urgent ones, and subjects that many requests share.
///
/// An engine reads the prompts that it admitted one after another, so that a short request waits for the long ones
/// before it. A part that it read before costs nothing, but one that another engine holds has to be read again. The
/// choice weighs both: the tokens that wait at an engine, of this router and of its peers, and the tokens that the
/// engine would have to read for the request. While an engine reads, the streams that it runs pause; a long prompt avoids
/// engines whose streams would miss their targets, and some engines are reserved for streams with short prompts.
namespace mulberrywall::policy
{

/// Returns the endpoint that suits the prompt best, or nullptr without candidates.
EndpointState *placePrompt(const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission, TimePoint now);

/// Notes that the endpoint reads the request's prompt from now on.
void recordPrefillStart(Pool &pool, ActiveRequest &request, TimePoint now);

/// Notes that the endpoint has read the prompt, and learns its speed. Call it before the first token is counted.
void recordFirstOutput(Pool &pool, ActiveRequest &request, TimePoint firstTokenAt, TimePoint now);

/// Notes that the request ends, whether or not its prompt was read.
void removePrompt(ActiveRequest &request);

} // namespace mulberrywall::policy
