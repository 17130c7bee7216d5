#include <ChainModel.h>

#include <gtest/gtest.h>

using namespace routing::tests;
using base::Millis;

namespace {

constexpr int surgeStart = 10;
constexpr int surgeEnd = 20;
constexpr int end = 40;
constexpr int protectedRank = 0;
constexpr int lowRank = 5;
constexpr double flatPerSecond = 300.0;

/** Overloads back with the deep class while the load of the flat class stays constant. */
void addSurge(ChainModel &model, double factor)
{
    const auto add = [&](const std::string &requestClass, double rate, int from, int until) {
        for (const int rank : {protectedRank, lowRank})
            model.add({requestClass, rank, rate, Millis(1000 * from), Millis(1000 * until)});
    };
    add("flat", flatPerSecond, 0, end);
    add("deep", 0.35 * ChainModel::capacity, 0, surgeStart);
    add("deep", 0.5 * factor * ChainModel::capacity, surgeStart, surgeEnd);
    add("deep", 0.35 * ChainModel::capacity, surgeEnd, end);
}

void record(const std::string &name, const ChainModel::Counts &counts)
{
    testing::Test::RecordProperty(name + "Arrived", counts.arrived_);
    testing::Test::RecordProperty(name + "Completed", counts.completed_);
    testing::Test::RecordProperty(name + "Wasted", counts.wasted_);
}

class Chain : public testing::TestWithParam<double>
{};

} // namespace

TEST_P(Chain, refusesAtEntryAndKeepsOtherClassesServed)
{
    ChainModel model(LevelUse::AllLevels);
    addSurge(model, GetParam());
    model.run(Millis(1000 * end));
    const auto deep = model.sum("deep", protectedRank, surgeStart + 1, surgeEnd);
    const auto low = model.sum("deep", lowRank, surgeStart + 1, surgeEnd);
    record("protected", deep);
    record("low", low);
    const double seconds = surgeEnd - surgeStart - 1;
    EXPECT_GE(deep.completed_ / seconds, 0.95 * ChainModel::capacity);
    EXPECT_LE(deep.wasted_ + low.wasted_, 0.05 * (deep.arrived_ + low.arrived_));
    for (const int rank : {protectedRank, lowRank}) {
        const auto flat = model.sum("flat", rank, surgeStart, surgeEnd);
        record("flatOfRank" + std::to_string(rank), flat);
        EXPECT_GE(flat.completed_, 0.95 * flat.arrived_) << "rank " << rank;
    }
}

TEST_P(Chain, admitsAllWithinFiveSecondsAfterSurge)
{
    ChainModel model(LevelUse::AllLevels);
    addSurge(model, GetParam());
    model.run(Millis(1000 * end));
    for (const int rank : {protectedRank, lowRank})
        EXPECT_EQ(model.sum("deep", rank, surgeEnd + 5, end).refused_, 0) << "rank " << rank;
}

// Reason for separate levels on answers: a single combined level also refuses the class that does
// not call back.
TEST_P(Chain, singleLevelRefusesUnaffectedClass)
{
    ChainModel model(LevelUse::OneLevel);
    addSurge(model, GetParam());
    model.run(Millis(1000 * end));
    const auto flat = model.sum("flat", lowRank, surgeStart, surgeEnd);
    record("flatLow", flat);
    record("low", model.sum("deep", lowRank, surgeStart + 1, surgeEnd));
    EXPECT_LT(flat.completed_, 0.95 * flat.arrived_);
}

TEST_P(Chain, withoutLevelsMostFrontWorkIsWasted)
{
    ChainModel model(LevelUse::None);
    addSurge(model, GetParam());
    model.run(Millis(1000 * end));
    const auto deep = model.sum("deep", lowRank, surgeStart + 1, surgeEnd);
    record("low", deep);
    EXPECT_GT(deep.wasted_, 0.5 * deep.arrived_);
}

TEST(ChainOfServices, floodingCustomerDoesNotReduceShareOfOthers)
{
    ChainModel model(LevelUse::AllLevels);
    const double quietRate = 0.3 * ChainModel::capacity;
    model.add({"deep", protectedRank, quietRate, Millis(1), Millis(20000), "quiet"});
    model.add({"deep", protectedRank, 4 * ChainModel::capacity, Millis(5000), Millis(20000),
               "flood"});
    model.run(Millis(20000));
    const auto quiet = model.sum("deepquiet", protectedRank, 6, 19);
    const auto flood = model.sum("deepflood", protectedRank, 6, 19);
    record("quiet", quiet);
    record("flood", flood);
    EXPECT_GE(quiet.completed_, 0.95 * quiet.arrived_);
    EXPECT_GE(quiet.completed_ + flood.completed_, 0.95 * 13 * ChainModel::capacity);
}

TEST(ChainOfServices, whatTheOwnDataCentreCannotServeIsServedElsewhere)
{
    ChainModel model(LevelUse::AllLevels, {"a", "b"});
    for (const int rank : {protectedRank, lowRank}) {
        model.add({"deep", rank, 0.15 * ChainModel::capacity, Millis(1), Millis(5000)});
        model.add({"deep", rank, 0.4 * ChainModel::capacity, Millis(5000), Millis(20000)});
    }
    model.run(Millis(20000));
    for (const int rank : {protectedRank, lowRank}) {
        const auto counts = model.sum("deep", rank, 6, 20);
        EXPECT_GE(counts.completed_, 0.95 * counts.arrived_) << "rank " << rank;
    }
}

INSTANTIATE_TEST_SUITE_P(Load, Chain, testing::Values(2.0, 4.0));
