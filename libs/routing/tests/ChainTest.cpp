#include <ChainModel.h>

#include <gtest/gtest.h>

using namespace routing::tests;
using base::Millis;

namespace {

constexpr int surgeStartSecond = 10;
constexpr int surgeEndSecond = 20;
constexpr int endSecond = 40;
constexpr int protectedRank = 0;
constexpr int lowRank = 5;
constexpr double flatRequestsPerSecondPerRank = 300.0;

/**
 * Overloads the service "back" with the class "deep" during the surge, while the load of the class
 * "flat" stays constant. Each rate applies to each of the two ranks; times are in seconds.
 */
void addSurge(ChainModel &model, double factor)
{
    const auto add = [&](const std::string &requestClass, double requestsPerSecondPerRank, int from,
                         int until) {
        for (const int rank : {protectedRank, lowRank})
            model.add({requestClass, rank, requestsPerSecondPerRank, Millis(1000 * from),
                       Millis(1000 * until)});
    };
    add("flat", flatRequestsPerSecondPerRank, 0, endSecond);
    add("deep", 0.35 * ChainModel::capacity, 0, surgeStartSecond);
    add("deep", 0.5 * factor * ChainModel::capacity, surgeStartSecond, surgeEndSecond);
    add("deep", 0.35 * ChainModel::capacity, surgeEndSecond, endSecond);
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

TEST_P(Chain, keepsGoodputWithLittleWasteAndServesUnaffectedClass)
{
    ChainModel model(LevelUse::AllLevels);
    addSurge(model, GetParam());
    model.run(Millis(1000 * endSecond));
    const auto deep = model.sum("deep", protectedRank, surgeStartSecond + 1, surgeEndSecond);
    const auto low = model.sum("deep", lowRank, surgeStartSecond + 1, surgeEndSecond);
    record("protected", deep);
    record("low", low);
    const double seconds = surgeEndSecond - surgeStartSecond - 1;
    EXPECT_GE(deep.completed_ / seconds, 0.95 * ChainModel::capacity);
    EXPECT_LE(deep.wasted_ + low.wasted_, 0.05 * (deep.arrived_ + low.arrived_));
    for (const int rank : {protectedRank, lowRank}) {
        const auto flat = model.sum("flat", rank, surgeStartSecond, surgeEndSecond);
        record("flatOfRank" + std::to_string(rank), flat);
        EXPECT_GE(flat.completed_, 0.95 * flat.arrived_) << "rank " << rank;
    }
}

TEST_P(Chain, admitsAllWithinFiveSecondsAfterSurge)
{
    ChainModel model(LevelUse::AllLevels);
    addSurge(model, GetParam());
    model.run(Millis(1000 * endSecond));
    for (const int rank : {protectedRank, lowRank})
        EXPECT_EQ(model.sum("deep", rank, surgeEndSecond + 5, endSecond).refused_, 0)
                << "rank " << rank;
}

// Reason for separate levels on answers: a single combined level also refuses the class "flat",
// which does not call the service "back".
TEST_P(Chain, singleLevelRefusesUnaffectedClass)
{
    ChainModel model(LevelUse::OneLevel);
    addSurge(model, GetParam());
    model.run(Millis(1000 * endSecond));
    const auto flat = model.sum("flat", lowRank, surgeStartSecond, surgeEndSecond);
    record("flatLow", flat);
    record("low", model.sum("deep", lowRank, surgeStartSecond + 1, surgeEndSecond));
    EXPECT_LT(flat.completed_, 0.95 * flat.arrived_);
}

TEST_P(Chain, withoutLevelsMostLowRankRequestsAreWasted)
{
    ChainModel model(LevelUse::None);
    addSurge(model, GetParam());
    model.run(Millis(1000 * endSecond));
    const auto deep = model.sum("deep", lowRank, surgeStartSecond + 1, surgeEndSecond);
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
