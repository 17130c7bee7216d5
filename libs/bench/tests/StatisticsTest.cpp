#include <bench/Statistics.h>
#include <bench/Tally.h>

#include <gtest/gtest.h>

using base::Millis;
using bench::FinishedRequest;
using bench::RequestOutcome;
using bench::Tally;

TEST(Statistics, percentileUsesNearestRank)
{
    const std::vector<double> values = {5, 1, 4, 2, 3};
    EXPECT_EQ(bench::percentile(values, 0.5), 3);
    EXPECT_EQ(bench::percentile(values, 0.99), 5);
    EXPECT_EQ(bench::percentile(values, 0.2), 1);
    EXPECT_EQ(bench::percentile({}, 0.5), 0);
}

TEST(Statistics, medianOfEvenCountIsMeanOfMiddleValues)
{
    EXPECT_EQ(bench::median({4, 1, 3, 2}), 2.5);
    EXPECT_EQ(bench::median({3, 1, 2}), 2);
}

TEST(Tally, countsOnlyGivenClassAndInterval)
{
    const auto request = [](std::size_t classIndex, int arrived, RequestOutcome outcome) {
        return FinishedRequest{classIndex, "", Millis(arrived), Millis(arrived + 7), outcome, 2};
    };
    const Tally tally = Tally::of(
            {request(0, 10, RequestOutcome::Complete), request(0, 19, RequestOutcome::NotRun),
             request(0, 20, RequestOutcome::Complete), request(1, 10, RequestOutcome::Complete),
             request(0, 9, RequestOutcome::Wrong)},
            0, Millis(10), Millis(20));
    EXPECT_EQ(tally.sent_, 2U);
    EXPECT_EQ(tally.complete_, 1U);
    EXPECT_EQ(tally.notRun_, 1U);
    EXPECT_EQ(tally.wrong_, 0U);
    EXPECT_EQ(tally.retries(), 2U);
    EXPECT_EQ(tally.p99Ms_, 7.0);
}
