#include "mulberrywall/Policy/WaitingRequests.h"

#include "mulberrywall/Policy/CrashQuarantine.h"
#include "mulberrywall/Policy/LengthEstimate.h"
#include "mulberrywall/Policy/LongRequests.h"
#include "mulberrywall/Policy/SegmentQuarantine.h"

namespace mulberrywall::policy
{

SchedulingGroup schedulingGroupOf(const Pool &pool, const Submission &submission, double work, TimePoint now)
{
    if (attributedCrashes(pool, submission.fingerprint, now) > 0 || isSegmentTrial(pool, submission)) {
        return SchedulingGroup::Quarantined;
    }
    if (submission.purpose == AttemptPurpose::Resume) {
        return SchedulingGroup::Resume;
    }
    return isExpectedLong(pool, work) ? SchedulingGroup::Long : SchedulingGroup::Normal;
}

WaitingRequest makeWaiting(const Pool &pool, const Submission &submission, const ClassSpec &spec, TimePoint now)
{
    const double work = estimatedWork(pool.lengths, submission, pool.options.tuning.length);
    return {.submission = submission,
        .tier = spec.tier,
        .group = schedulingGroupOf(pool, submission, work, now),
        .submittedAt = now,
        .targetAt = now + spec.firstTokenTarget,
        .overdueAt = now + spec.maximumWait,
        .work = work};
}

} // namespace mulberrywall::policy
