#include "mulberrywall/Support/Verdict.h"

#include <gtest/gtest.h>

using mulberrywall::support::combineVerdicts;
using mulberrywall::support::Verdict;

// Guards against reporting "not-run" for a request with an earlier attempt that may have run.
TEST(VerdictTest, CombineReturnsTheStrongerVerdict)
{
    EXPECT_EQ(combineVerdicts(Verdict::NotRun, Verdict::MayHaveRun), Verdict::MayHaveRun);
    EXPECT_EQ(combineVerdicts(Verdict::MayHaveRun, Verdict::NotRun), Verdict::MayHaveRun);
    EXPECT_EQ(combineVerdicts(Verdict::NotRun, Verdict::NotRun), Verdict::NotRun);
    EXPECT_EQ(combineVerdicts(Verdict::MayHaveRun, Verdict::Completed), Verdict::Completed);
}
