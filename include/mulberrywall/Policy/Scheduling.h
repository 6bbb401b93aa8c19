#pragma once

#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

/// Rejects expired requests, then grants free slots in order until no waiting request can use one.
void schedule(Pool &pool, TimePoint now, Decisions &decisions);

} // namespace mulberrywall::policy
