#include <QueueingModel.h>

#include <cmath>

#include <gtest/gtest.h>

using namespace admission;
using namespace admission::tests;
using base::Millis;

namespace {

constexpr int protectedRank = 0;
constexpr int lowRank = 5;
constexpr int surgeStartSecond = 10;
constexpr int surgeEndSecond = 30;
constexpr int endSecond = 60;

/** Adds load of 0.7 of the capacity, with a surge to `factor` times the capacity. */
void addSurge(QueueingModel &model, double factor)
{
    const auto add = [&](double load, int from, int until) {
        const double rate = load * model.capacity();
        model.add({protectedRank, "", 0.6 * rate, Millis(1000 * from), Millis(1000 * until)});
        model.add({lowRank, "", 0.4 * rate, Millis(1000 * from), Millis(1000 * until)});
    };
    add(0.7, 0, surgeStartSecond);
    add(factor, surgeStartSecond, surgeEndSecond);
    add(0.7, surgeEndSecond, endSecond);
}

double protectedGoodput(QueueingModel &model, int from, int until)
{
    return model.completed(protectedRank, from, until) / (model.capacity() * (until - from));
}

class Surge : public testing::TestWithParam<double>
{};

} // namespace

TEST_P(Surge, protectedGoodputStaysAtCapacityAndLevelRecovers)
{
    QueueingModel model({.slots_ = 20});
    addSurge(model, GetParam());
    model.run(Millis(1000 * endSecond));
    const double goodput = protectedGoodput(model, surgeStartSecond, surgeEndSecond);
    RecordProperty("goodput", std::to_string(goodput));
    EXPECT_GE(goodput, 0.95);
    for (int second = surgeEndSecond + 5; second < endSecond; ++second) {
        EXPECT_EQ(model.counts(lowRank, second).refusals_, 0) << "second " << second;
        EXPECT_EQ(model.levels().at(second), Level::all()) << "second " << second;
    }
}

TEST_P(Surge, goodputCollapsesWithoutAdmission)
{
    QueueingModel model({.hasAdmission_ = false, .slots_ = 20});
    addSurge(model, GetParam());
    model.run(Millis(1000 * endSecond));
    const double goodput = protectedGoodput(model, surgeStartSecond + 5, surgeEndSecond);
    RecordProperty("goodput", std::to_string(goodput));
    EXPECT_LT(goodput, 0.5);
    EXPECT_LT(protectedGoodput(model, surgeEndSecond, surgeEndSecond + 5), 0.5 * 0.42);
}

INSTANTIATE_TEST_SUITE_P(Load, Surge, testing::Values(2.0, 4.0));

TEST(Overload, customersOfOneRankShareCapacityByWeight)
{
    QueueingModel model({.customers_ = {{"big", {.name_ = "big", .share_ = 3}},
                                        {"small", {.name_ = "small", .share_ = 1}}}});
    for (const char *customer : {"big", "small"})
        model.add({protectedRank, customer, 2.0 * model.capacity(), Millis(1), Millis(20000)});
    model.run(Millis(20000));
    const double big = model.completed(protectedRank, 5, 20, "big");
    const double small = model.completed(protectedRank, 5, 20, "small");
    EXPECT_NEAR(big / small, 3.0, 0.3);
    EXPECT_GE(big + small, 0.95 * 15 * model.capacity());
}

// Demand of the users' customers is as uneven as a Zipf distribution with the exponent 1.2.
TEST(Overload, noCustomerOfManyIsServedLessThanAQuarterAsOftenAsAll)
{
    constexpr int customerCount = 82;
    constexpr double exponent = 1.2;
    constexpr int lastSecond = 60;
    constexpr double load = 1.5;
    QueueingModel model({.slots_ = 36, .meanServiceMillis_ = 200.0, .deadline_ = Millis(5000)});
    double weights = 0.0;
    for (int i = 1; i <= customerCount; ++i)
        weights += std::pow(i, -exponent);
    const auto nameOf = [](int i) {
        return "customer" + std::to_string(i);
    };
    for (int i = 1; i <= customerCount; ++i) {
        const double part = std::pow(i, -exponent) / weights;
        model.add({protectedRank, nameOf(i), load * model.capacity() * part, Millis(1),
                   Millis(1000 * lastSecond)});
    }
    model.run(Millis(1000 * (lastSecond + 5)));
    const auto servedPart = [&](const std::string &customer) {
        return static_cast<double>(model.completed(protectedRank, 0, lastSecond + 5, customer))
               / model.arrived(protectedRank, 0, lastSecond + 5, customer);
    };
    constexpr double bestPart = 1.0 / load;
    for (int i = 1; i <= customerCount; ++i)
        EXPECT_GE(servedPart(nameOf(i)), bestPart / 4) << nameOf(i);
}

TEST(Overload, customerAboveItsShareDoesNotReduceTheShareOfOthers)
{
    QueueingModel model({.customers_ = {{"quiet", {.name_ = "quiet"}}}});
    model.add({protectedRank, "quiet", 0.4 * model.capacity(), Millis(1), Millis(20000)});
    model.add({protectedRank, "flood", 4.0 * model.capacity(), Millis(1), Millis(20000)});
    model.run(Millis(20000));
    EXPECT_GE(model.completed(protectedRank, 5, 20, "quiet"), 0.95 * 0.4 * 15 * model.capacity());
}

TEST(Overload, limitFallsUnderContention)
{
    const auto contention = [](std::size_t running, Millis) {
        const double over = static_cast<double>(running) / 10.0;
        return over <= 1.0 ? 1.0 : over * over;
    };
    QueueingModel model({.slots_ = 40, .slowdown_ = contention});
    model.add({protectedRank, "", 100.0, Millis(1), Millis(10000)});
    model.add({protectedRank, "", 2000.0, Millis(10000), Millis(60000)});
    model.run(Millis(60000));
    // With 40 running requests the throughput would be 125 per second, with 10 it is 500.
    EXPECT_GE(model.completed(protectedRank, 20, 60) / 40.0, 0.5 * 500.0);
}

// Deep services of both users take 1.3 times as long from 95 % of their slots in use.
TEST(Overload, sparesSlotsWhereANearlyFullServerSlowsDown)
{
    constexpr std::uint32_t slots = 74;
    const auto knee = [](std::size_t running, Millis) {
        return static_cast<double>(running) >= 0.95 * slots ? 1.3 : 1.0;
    };
    QueueingModel model({.slots_ = slots, .meanServiceMillis_ = 40.0, .slowdown_ = knee});
    model.add({protectedRank, "", 0.5 * model.capacity(), Millis(1), Millis(5000)});
    model.add({protectedRank, "", 2.0 * model.capacity(), Millis(5000), Millis(30000)});
    model.run(Millis(30000));
    // With all slots in use the throughput is 0.77 of the capacity, with 69 of them 0.93.
    EXPECT_GE(model.completed(protectedRank, 10, 30) / 20.0, 0.9 * model.capacity());
}

TEST(Overload, usesAllSlotsWhereAFullServerDoesNotSlowDown)
{
    QueueingModel model({.slots_ = 74, .meanServiceMillis_ = 40.0});
    model.add({protectedRank, "", 0.5 * model.capacity(), Millis(1), Millis(5000)});
    model.add({protectedRank, "", 2.0 * model.capacity(), Millis(5000), Millis(30000)});
    model.run(Millis(30000));
    EXPECT_GE(model.completed(protectedRank, 10, 30) / 20.0, 0.95 * model.capacity());
}

TEST(Overload, limitStaysWhenADependencyIsSlow)
{
    const auto slowService = [](std::size_t, Millis now) {
        return now < Millis(10000) ? 1.0 : 4.0;
    };
    QueueingModel model({.slots_ = 20, .slowdown_ = slowService});
    model.add({protectedRank, "", 2.0 * model.capacity(), Millis(1), Millis(40000)});
    model.run(Millis(40000));
    EXPECT_GE(model.completed(protectedRank, 15, 40) / 25.0, 0.9 * model.capacity() / 4.0);
}
