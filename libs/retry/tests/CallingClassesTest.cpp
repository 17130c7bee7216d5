#include <gtest/gtest.h>
#include <retry/CallingClasses.h>

using retry::CallingClasses;

namespace {

void recordRunsWithoutCalls(CallingClasses &classes, std::uint32_t runs)
{
    for (std::uint32_t i = 0; i < runs; ++i)
        classes.recordRun("download", false);
}

} // namespace

TEST(CallingClasses, aClassWithoutCallsIsKnownAfterEnoughRuns)
{
    CallingClasses classes;
    recordRunsWithoutCalls(classes, CallingClasses::minRuns - 1);
    EXPECT_TRUE(classes.mayMakeCalls("download"));
    recordRunsWithoutCalls(classes, 1);
    EXPECT_FALSE(classes.mayMakeCalls("download"));
    EXPECT_TRUE(classes.mayMakeCalls("order"));
}

TEST(CallingClasses, oneRunWithCallsIsEnough)
{
    CallingClasses classes;
    recordRunsWithoutCalls(classes, CallingClasses::minRuns);
    classes.recordRun("download", true);
    recordRunsWithoutCalls(classes, CallingClasses::minRuns);
    EXPECT_TRUE(classes.mayMakeCalls("download"));
}
