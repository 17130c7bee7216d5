#include <balance/LoadReport.h>

#include <gtest/gtest.h>

using balance::LoadReport;

TEST(LoadReport, textRoundTrip)
{
    const LoadReport report{.active_ = 40, .limit_ = 36, .holding_ = base::Millis(125)};
    EXPECT_EQ(report.toString(), "40 36 1250");
    EXPECT_EQ(LoadReport::parse(report.toString()), report);
}

TEST(LoadReport, malformedTextIsNoReport)
{
    for (const auto *text : {"", "1", "1 2", "1 2 3 4", "1 0 3", "-1 2 3", "1  2 3", "1,2,3",
                             "1 2 3 ", "1000001 2 3", "1 100001 3", "1 2 36000001", "a b c"})
        EXPECT_FALSE(LoadReport::parse(text)) << text;
}
