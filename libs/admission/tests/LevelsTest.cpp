#include <admission/AnswerLevels.h>
#include <admission/DownstreamLevels.h>
#include <admission/EntryLevels.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace admission;
using base::Millis;

namespace {

constexpr Level low = {200};
constexpr Level lower = {100};
constexpr Millis expiry = Millis(1000);

} // namespace

TEST(DownstreamLevels, worstUnexpiredLevelOfClassIsEffective)
{
    DownstreamLevels levels(expiry);
    levels.observe("redeem", "wallet", low, Millis(0));
    levels.observe("redeem", "catalog", lower, Millis(500));
    EXPECT_EQ(levels.effective("redeem", Level::all(), Millis(600)), lower);
    EXPECT_EQ(levels.effective("redeem", Level::none(), Millis(600)), Level::none());
    EXPECT_EQ(levels.effective("balance", Level::all(), Millis(600)), Level::all());
    levels.observe("redeem", "catalog", Level::all(), Millis(700));
    EXPECT_EQ(levels.effective("redeem", Level::all(), Millis(800)), low);
    EXPECT_EQ(levels.effective("redeem", Level::all(), expiry), Level::all());
}

TEST(DownstreamLevels, sizeIsBoundedForArbitraryNames)
{
    DownstreamLevels levels(expiry);
    for (std::size_t i = 0; i < 2 * DownstreamLevels::maxEntries; ++i)
        levels.observe("class" + std::to_string(i), "callee", low, Millis(0));
    EXPECT_EQ(levels.size(), DownstreamLevels::maxEntries);
    levels.observe("late", "callee", low, expiry);
    EXPECT_EQ(levels.effective("late", Level::all(), expiry), low);
    EXPECT_EQ(levels.size(), 1u);
}

TEST(EntryLevels, separatesClassesAndCustomers)
{
    EntryLevels levels;
    const Priority priority = {.rank_ = 1, .bucket_ = 100};
    const CallScope overusing = {"wallet", "redeem", "flood"};
    const CallScope withinShare = {"wallet", "redeem", "quiet"};
    const CallScope other = {"wallet", "balance", "flood"};
    const Level shed = Level::of({.rank_ = 1, .bucket_ = 50});
    levels.observe(overusing, {.instance_ = shed, .customer_ = shed, .downstream_ = shed},
                   Millis(0));
    EXPECT_FALSE(levels.admits(overusing, priority, Millis(1)));
    EXPECT_TRUE(levels.admits(withinShare, priority, Millis(1)));
    EXPECT_TRUE(levels.admits(other, priority, Millis(1)));
    EXPECT_EQ(levels.routingPriority(overusing, priority, Millis(1)), priority);
    EXPECT_EQ(levels.routingPriority(other, priority, Millis(1)), priority);
    EXPECT_TRUE(shed.admits(levels.routingPriority(withinShare, priority, Millis(1))));
}

TEST(EntryLevels, coverRepeatsUntilALevelIsReported)
{
    EntryLevels levels;
    const CallScope scope{"orders", "order", "schools"};
    const Priority priority{.rank_ = 1, .bucket_ = 64};
    const Millis now(1000);
    levels.observe(scope, {}, now);
    EXPECT_TRUE(levels.coversRepeats(scope, priority, now));
    levels.observe(scope, {.repeats_ = Level::of({.rank_ = 1, .bucket_ = 63})}, now);
    EXPECT_FALSE(levels.coversRepeats(scope, priority, now));
    EXPECT_TRUE(levels.coversRepeats(scope, {.rank_ = 1, .bucket_ = 63}, now));
    EXPECT_TRUE(levels.coversRepeats({"orders", "query", "schools"}, priority, now));
    // Requests themselves are still admitted.
    EXPECT_TRUE(levels.admits(scope, priority, now));
    EXPECT_TRUE(levels.coversRepeats(scope, priority, now + Millis(1000)));
}

TEST(AnswerLevels, malformedNumbersParseAsAll)
{
    const Level all = Level::all();
    EXPECT_EQ(AnswerLevels::parse(""), (AnswerLevels{all, all, all}));
    EXPECT_EQ(AnswerLevels::parse("7 x -99999999999999999999"), (AnswerLevels{{7}, all, all}));
    EXPECT_EQ(AnswerLevels::parse("-5 99999 3 x"), (AnswerLevels{Level::none(), all, {3}}));
    EXPECT_EQ(AnswerLevels::parse("-5 99999 3 4 5"), (AnswerLevels{Level::none(), all, {3}, {4}}));
}

RC_GTEST_PROP(AnswerLevelsProperty, parseInvertsText, ())
{
    const auto level = rc::gen::map(rc::gen::inRange(-1, Level::highest + 1),
                                    [](int value) { return Level{value}; });
    const AnswerLevels levels = {*level, *level, *level, *level};
    RC_ASSERT(AnswerLevels::parse(levels.toString()) == levels);
}
