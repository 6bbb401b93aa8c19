#pragma once

#include "mulberrywall/Policy/Pool.h"

#include <span>

/// Placement of prompts for bursts of long prompts beside short urgent ones, and for prefixes that many requests share.
///
/// An engine prefills the prompts that it admitted one after another, so that a short request waits for the long ones
/// ahead of it. A cached prefix needs no prefill, but a prefix in the cache of another engine has to be prefilled again.
/// The placement weighs both: the pending prefill tokens of an engine, from this router and its peers, and the tokens
/// that the engine would have to prefill for the request. Prefill stalls the running streams of an engine; long prompts
/// avoid engines whose streams would miss their targets, and some engines are reserved for streams with short prompts.
namespace mulberrywall::policy
{

/// Returns the candidate with the lowest estimated cost for the prompt, or nullptr if there are no candidates.
EndpointState *placePrompt(const Pool &pool, std::span<EndpointState *const> candidates, const Submission &submission, TimePoint now);

/// Adds the request's prompt and stream to the load of its endpoint.
void recordPrefillStart(Pool &pool, ActiveRequest &request, TimePoint now);

/// Ends the prefill of the request and updates the prefill speed. Call it before the first token is counted.
void recordFirstOutput(Pool &pool, ActiveRequest &request, TimePoint firstTokenAt, TimePoint now);

/// Removes the request's prompt and stream from the load of its endpoint, whether or not the prefill has ended.
void removePrompt(ActiveRequest &request);

} // namespace mulberrywall::policy
