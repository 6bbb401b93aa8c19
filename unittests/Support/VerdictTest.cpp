#include "mulberrywall/Support/Verdict.h"

#include <gtest/gtest.h>

using mulberrywall::support::combine;
using mulberrywall::support::Verdict;

// Guards against reporting "not run" after an earlier attempt that may have run.
TEST(VerdictTest, CombineKeepsTheStrongerClaimOfHavingRun)
{
    EXPECT_EQ(combine(Verdict::NotRun, Verdict::MayHaveRun), Verdict::MayHaveRun);
    EXPECT_EQ(combine(Verdict::MayHaveRun, Verdict::NotRun), Verdict::MayHaveRun);
    EXPECT_EQ(combine(Verdict::NotRun, Verdict::NotRun), Verdict::NotRun);
    EXPECT_EQ(combine(Verdict::MayHaveRun, Verdict::Completed), Verdict::Completed);
}
