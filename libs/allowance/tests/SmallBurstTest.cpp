#include <Cluster.h>

#include <gtest/gtest.h>

#include <allowance/Bounds.h>

using namespace allowance;
using namespace allowance::tests;
using base::Millis;

namespace {

/** Share of the rate that is admitted of a far higher load, without tolerated excess in requests.
 */
double admittedShare(const model::Allowance &allowance)
{
    constexpr int seconds = 100;
    Cluster cluster(1, {}, {{.name_ = "c", .allowance_ = allowance}}, 1);
    cluster.load("c", {0}, 5, Millis(seconds * 1000));
    cluster.runUntil(Millis(seconds * 1000));
    return static_cast<double>(cluster.result("c").admitted_.size())
           / (allowance.ratePerSecond_ * seconds);
}

} // namespace

/** The check of a configuration warns of such allowances by their bounds. */
TEST(SmallBurst, admitsWhatItsBoundsSay)
{
    const model::Allowance none{0.3, 0};
    EXPECT_LT(Bounds::of(none, {}).stored(), 1);
    EXPECT_EQ(admittedShare(none), 0);

    const model::Allowance half{0.5, 0};
    EXPECT_LT(Bounds::of(half, {}).ratePerSecond_, 0.6 * half.ratePerSecond_);
    EXPECT_LT(admittedShare(half), 0.6);

    const model::Allowance whole{0.5, 2};
    EXPECT_EQ(Bounds::of(whole, {}).ratePerSecond_, whole.ratePerSecond_);
    EXPECT_GT(admittedShare(whole), 0.9);
}
