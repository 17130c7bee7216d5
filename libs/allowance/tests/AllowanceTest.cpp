#include <Cluster.h>

#include <cstdio>
#include <numeric>

#include <gtest/gtest.h>

using namespace allowance;
using namespace allowance::tests;
using base::Millis;

namespace {

const std::string hot = "hot";

model::Customer customerOf(const std::string &name, double rate, double burst)
{
    model::Customer customer{.name_ = name};
    customer.allowance_ = model::Allowance{rate, burst};
    return customer;
}

Settings settingsOf()
{
    Settings settings;
    settings.slack_ = 20;
    return settings;
}

std::vector<std::size_t> range(std::size_t from, std::size_t to)
{
    std::vector<std::size_t> result(to - from);
    std::iota(result.begin(), result.end(), from);
    return result;
}

Cluster clusterOf(std::size_t size, double rate = 100, double burst = 100)
{
    return Cluster(size, settingsOf(), {customerOf(hot, rate, burst)}, 1);
}

Millis seconds(double value)
{
    return Millis(static_cast<std::int64_t>(value * 1000));
}

} // namespace

TEST(Allowances, admitNearlyAllWithinTheAllowance)
{
    for (const std::size_t size : {std::size_t(16), std::size_t(79), std::size_t(300)}) {
        auto cluster = clusterOf(size);
        cluster.runUntil(seconds(5));
        cluster.load(hot, range(0, size), 95, seconds(25));
        cluster.runUntil(seconds(25));
        EXPECT_GE(cluster.admittedShare(hot, seconds(5), seconds(25)), 0.95) << size;
        EXPECT_LE(cluster.excess(hot), 0) << size;
    }
}

TEST(Allowances, holdAtTheOnsetOfEightTimesTheUsual)
{
    auto cluster = clusterOf(79);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 79), 100, seconds(10));
    cluster.runUntil(seconds(10));
    cluster.load(hot, range(0, 79), 800, seconds(20));
    cluster.runUntil(seconds(20));
    EXPECT_LE(cluster.excess(hot), 0);
    // The rate is used: what is refused lies beyond the allowance.
    EXPECT_GE(cluster.admittedShare(hot, seconds(12), seconds(20)), 0.95 / 8);
}

TEST(Allowances, followClientsToAnotherDataCentre)
{
    auto cluster = clusterOf(78);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 26), 95, seconds(15));
    cluster.runUntil(seconds(15));
    cluster.load(hot, range(52, 78), 95, seconds(25));
    cluster.runUntil(seconds(25));
    EXPECT_GE(cluster.admittedShare(hot, seconds(15), seconds(16)), 0.9);
    EXPECT_GE(cluster.admittedShare(hot, seconds(16), seconds(25)), 0.95);
    EXPECT_LE(cluster.excess(hot), 0);
}

TEST(Allowances, startEmptyAfterAllDaemonsRestart)
{
    auto cluster = clusterOf(40, 20, 400);
    cluster.runUntil(seconds(40));
    cluster.load(hot, range(0, 40), 800, seconds(60));
    cluster.runUntil(seconds(41));
    for (std::size_t i = 0; i < 40; ++i) {
        cluster.runUntil(seconds(41) + Millis(static_cast<std::int64_t>(25 * i)));
        cluster.kill(i);
        cluster.start(i);
    }
    cluster.runUntil(seconds(60));
    EXPECT_LE(cluster.excess(hot), 0);
    EXPECT_GE(cluster.admittedShare(hot, seconds(52), seconds(60)), 0.9 * 20 / 800);
}

TEST(Allowances, areServedSoonAfterAllDaemonsRestart)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        Cluster cluster(40, settingsOf(), {customerOf(hot, 100, 100)}, seed);
        cluster.runUntil(seconds(5));
        cluster.load(hot, range(0, 40), 40, seconds(30));
        cluster.runUntil(seconds(20));
        for (std::size_t i = 0; i < 40; ++i) {
            cluster.kill(i);
            cluster.start(i);
        }
        cluster.runUntil(seconds(30));
        // A daemon that has restarted proves that its predecessor grants nothing any more.
        EXPECT_GE(cluster.admittedShare(hot, seconds(20.5), seconds(25)), 0.8) << seed;
        EXPECT_GE(cluster.admittedShare(hot, seconds(25), seconds(30)), 0.95) << seed;
        EXPECT_LE(cluster.excess(hot), 0);
    }
}

TEST(Allowances, outliveTheirAllotter)
{
    auto cluster = clusterOf(20);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 20), 50, seconds(30));
    cluster.runUntil(seconds(12));
    cluster.kill(cluster.allotterOf(hot));
    cluster.runUntil(seconds(30));
    EXPECT_LE(cluster.excess(hot), 0);
    EXPECT_GE(cluster.admittedShare(hot, seconds(12), seconds(17)), 0.7);
    EXPECT_GE(cluster.admittedShare(hot, seconds(21), seconds(30)), 0.9);
}

TEST(Allowances, holdWhenTheAllotterIsFrozenAndWakes)
{
    auto cluster = clusterOf(20);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 20), 800, seconds(35));
    cluster.runUntil(seconds(12));
    const auto first = cluster.allotterOf(hot);
    cluster.freeze(first, seconds(8));
    cluster.runUntil(seconds(19));
    EXPECT_NE(cluster.allotterOf(hot), first);
    cluster.runUntil(seconds(35));
    EXPECT_LE(cluster.excess(hot), 0);
    EXPECT_GE(cluster.admittedShare(hot, seconds(25), seconds(35)), 0.9 / 8);
}

TEST(Allowances, holdWhenTheAllotterIsCutOff)
{
    auto cluster = clusterOf(20);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 20), 800, seconds(35));
    cluster.runUntil(seconds(12));
    const auto first = cluster.allotterOf(hot);
    cluster.setSide(first, 1);
    cluster.runUntil(seconds(20));
    cluster.setSide(first, 0);
    cluster.runUntil(seconds(35));
    EXPECT_LE(cluster.excess(hot), 0);
    EXPECT_GE(cluster.admittedShare(hot, seconds(23), seconds(35)), 0.9 / 8);
}

TEST(Allowances, holdWhileTheDataCentreOfTheAllotterIsCutOff)
{
    auto cluster = Cluster(60, settingsOf(), {customerOf(hot, 400, 10)}, 1);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 60), 1600, seconds(55));
    cluster.runUntil(seconds(12));
    const auto first = cluster.allotterOf(hot);
    for (std::size_t i = 0; i < 30; ++i)
        cluster.setSide((first + i) % 60, 1);
    cluster.runUntil(seconds(42));
    for (std::size_t i = 0; i < 60; ++i)
        cluster.setSide(i, 0);
    cluster.runUntil(seconds(55));
    EXPECT_LE(cluster.excess(hot), 0);
    EXPECT_GE(cluster.admittedShare(hot, seconds(25), seconds(42)), 0.9 / 4);
    EXPECT_GE(cluster.admittedShare(hot, seconds(45), seconds(55)), 0.9 / 4);
}

TEST(Allowances, followALoweredLimitAndARaisedOne)
{
    auto cluster = clusterOf(40, 200, 100);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 40), 150, seconds(40));
    cluster.runUntil(seconds(12));
    cluster.setCustomers({customerOf(hot, 20, 10)});
    cluster.runUntil(seconds(25));
    EXPECT_LE(cluster.excess(hot, seconds(17)), 0);
    EXPECT_GE(cluster.admittedShare(hot, seconds(17), seconds(25)), 0.9 * 20 / 150);
    cluster.setCustomers({customerOf(hot, 200, 100)});
    cluster.runUntil(seconds(40));
    EXPECT_GE(cluster.admittedShare(hot, seconds(26), seconds(40)), 0.9);
}

TEST(Allowances, passToASuccessorAtOnce)
{
    auto cluster = clusterOf(20);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 20), 90, seconds(20));
    cluster.runUntil(seconds(12));
    const auto first = cluster.allotterOf(hot);
    cluster.handOver(first, groupOf(hot));
    cluster.runUntil(seconds(12.1));
    EXPECT_NE(cluster.allotterOf(hot), 20U);
    cluster.runUntil(seconds(20));
    EXPECT_GE(cluster.admittedShare(hot, seconds(12), seconds(20)), 0.95);
    EXPECT_LE(cluster.excess(hot), 0);
}

TEST(Allowances, resumeAtOnceAfterAnOutageOfTheStore)
{
    auto cluster = clusterOf(20);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 20), 90, seconds(35));
    cluster.runUntil(seconds(12));
    const auto first = cluster.allotterOf(hot);
    cluster.stopStoreUntil(seconds(25));
    cluster.runUntil(seconds(25));
    EXPECT_EQ(cluster.allotterOf(hot), 20U);
    cluster.runUntil(seconds(26));
    EXPECT_EQ(cluster.allotterOf(hot), first);
    cluster.runUntil(seconds(35));
    EXPECT_GE(cluster.admittedShare(hot, seconds(26), seconds(35)), 0.95);
    EXPECT_LE(cluster.excess(hot), 0);
}

TEST(Allowances, costNothingForIdleCustomers)
{
    std::vector<model::Customer> customers;
    for (int i = 0; i < 5000; ++i)
        customers.push_back(customerOf("c" + std::to_string(i), 10, 10));
    Cluster cluster(79, settingsOf(), customers, 1);
    cluster.runUntil(seconds(5));
    cluster.load("c7", range(0, 79), 5, seconds(10));
    cluster.runUntil(seconds(25));
    const auto messages = cluster.messages();
    const auto storeCalls = cluster.storeCalls();
    cluster.runUntil(seconds(60));
    EXPECT_EQ(cluster.messages(), messages);
    EXPECT_EQ(cluster.storeCalls(), storeCalls);
}

TEST(Allowances, holdWithFortyPerCentOfTheDaemonsEachAlone)
{
    auto cluster = clusterOf(100);
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 100), 400, seconds(40));
    cluster.runUntil(seconds(12));
    for (std::size_t i = 0; i < 40; ++i)
        cluster.setSide(i, static_cast<int>(i) + 1);
    cluster.runUntil(seconds(30));
    for (std::size_t i = 0; i < 40; ++i)
        cluster.setSide(i, 0);
    cluster.runUntil(seconds(40));
    EXPECT_LE(cluster.excess(hot), 0);
    EXPECT_GE(cluster.admittedShare(hot, seconds(25), seconds(30)), 0.9 / 4);
}

TEST(Allowances, divideByDemandAndStarveNobody)
{
    auto cluster = clusterOf(10);
    const std::string other = "other";
    cluster.setCustomers({customerOf(hot, 100, 100), customerOf(other, 50, 10)});
    cluster.runUntil(seconds(5));
    cluster.load(hot, range(0, 10), 800, seconds(25));
    cluster.load(other, range(0, 10), 40, seconds(25));
    cluster.runUntil(seconds(25));
    EXPECT_GE(cluster.admittedShare(other, seconds(5), seconds(25)), 0.95);
    for (std::size_t i = 0; i < 10; ++i)
        EXPECT_GE(cluster.admittedAt(hot, i), 20 * 100 / 10 / 2) << i;
}

TEST(Bounds, stayWithinWhatIsAllowed)
{
    for (const double rate : {0.1, 1.0, 10.0, 500.0}) {
        for (const double burst : {0.0, 1.0, 50.0}) {
            for (const double overrun : {0.0, 0.1}) {
                for (const double slack : {0.0, 20.0}) {
                    Settings settings;
                    settings.overrun_ = overrun;
                    settings.slack_ = slack;
                    const auto bounds = Bounds::of({rate, burst}, settings);
                    const double inWindow = rate * 5 + burst;
                    EXPECT_LE(bounds.ratePerSecond_ * 5 + bounds.centralCapacity_ + bounds.carry_,
                              inWindow * (1 + overrun) + slack + 1e-9);
                    if (inWindow * (1 + overrun) + slack >= 4) {
                        EXPECT_GE(bounds.centralCapacity_, 0.99);
                        EXPECT_GE(bounds.carry_, 0.99);
                    }
                }
            }
        }
    }
}

TEST(Codec, rejectsWhatIsNoMessage)
{
    const Ask ask{2, "d1", 7, 3, {{"hot", 1.5, 2, 1, 0.25, 8, 4, 2}}};
    const auto bytes = encode(ask);
    EXPECT_EQ(decodeAsk(bytes), ask);
    EXPECT_FALSE(decodeAnswer(bytes));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        EXPECT_FALSE(decodeAsk(bytes.substr(0, length)));
    const Answer answer{1, 9, Granted{{{"hot", 1.5, 2, 1, 3, Millis(50), true}}, Millis(400)}};
    EXPECT_EQ(decodeAnswer(encode(answer)), answer);
    const Answer other{1, 9, NotAllotter{"d4"}};
    EXPECT_EQ(decodeAnswer(encode(other)), other);
    EXPECT_FALSE(decodeAsk(encode(Ask{groupCount, "d1", 1, 1, {}})));
}

/** Prints what docs/CAPACITY.md states. */
TEST(Allowances, costLittleWithManyDaemons)
{
    for (const std::size_t customerCount : {std::size_t(82), std::size_t(5000)}) {
        for (const std::size_t size : {std::size_t(16), std::size_t(79), std::size_t(300)}) {
            std::vector<model::Customer> customers;
            for (std::size_t i = 0; i < customerCount; ++i)
                customers.push_back(customerOf("customer-" + std::to_string(i), 40, 40));
            Cluster cluster(size, settingsOf(), customers, 1);
            const double perDaemon = 12.5;
            for (std::size_t i = 0; i < 82; ++i) {
                cluster.load("customer-" + std::to_string(i), range(0, size),
                             std::min(35.0, perDaemon * static_cast<double>(size) / 82),
                             seconds(10));
            }
            cluster.runUntil(seconds(10));
            const double seconds = 10 * static_cast<double>(size);
            const double messages = static_cast<double>(cluster.messages()) / seconds;
            const double bytes = static_cast<double>(cluster.bytes()) / seconds;
            std::printf("%zu customers, %zu daemons: %.1f messages and %.0f bytes a second and "
                        "daemon, %.1f store calls a second\n",
                        customerCount, size, messages, bytes,
                        static_cast<double>(cluster.storeCalls()) / 10);
            EXPECT_LE(messages, 60);
            EXPECT_LE(bytes, 20'000);
            for (std::size_t i = 0; i < 82; i += 9)
                EXPECT_LE(cluster.excess("customer-" + std::to_string(i)), 0);
        }
    }
}
