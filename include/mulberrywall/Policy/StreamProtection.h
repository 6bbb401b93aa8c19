#pragma once

#include "mulberrywall/Policy/Pool.h"

/// Streams with short inter-token targets beside long prompts.
///
/// While an engine prefills, its streams get no tokens. At 60 tokens/ms a prompt of 17,000 tokens takes 0.27 s, and twice that on
/// a slow engine, while streams of the highest tier allow 0.2 s between two tokens. The prefill beside a stream is therefore
/// bounded by a share of its target at the speed of the engine. Loads of other routers are as old as such a stream is long, so that
/// in large pools these streams gather on engines on which there always are some (see PlacementTuning). The bound is a price and
/// excludes no engine: no class waits for an engine without streams, and engines without such streams are free for all.
namespace mulberrywall::policy
{

/// Returns the number of streams that would miss their inter-token targets if the engine prefilled for the given time at once.
unsigned streamsMissingTarget(const StreamsByInterTokenTarget &streams, double prefillSeconds, const PlacementTuning &tuning);

/// Returns the number of streams that a prompt on the endpoint makes miss their inter-token targets, besides those that miss them
/// because of the prefill that is pending.
unsigned streamsMadeLate(const StreamsByInterTokenTarget &streams, double pendingSeconds, double ownSeconds, const PlacementTuning &tuning);

} // namespace mulberrywall::policy
