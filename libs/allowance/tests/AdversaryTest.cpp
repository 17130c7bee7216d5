#include <Cluster.h>

#include <numeric>

#include <gtest/gtest.h>

using namespace allowance;
using namespace allowance::tests;
using base::Millis;

namespace {

const std::string hot = "hot";

Cluster clusterOf(std::size_t size, double rate, double burst, double slack = 0)
{
    Settings settings;
    settings.slack_ = slack;
    model::Customer customer{.name_ = hot};
    customer.allowance_ = model::Allowance{rate, burst};
    return Cluster(size, settings, {customer}, 1);
}

} // namespace

// A purse that was dropped meanwhile must not be taken for one that missed its last answer.
TEST(Adversary, rareRequestsAtManyDaemonsBringNoTokensBack)
{
    auto cluster = clusterOf(100, 5, 20);
    for (int round = 0; round < 10; ++round) {
        for (std::size_t i = 0; i < 100; ++i) {
            cluster.runUntil(Millis(10'000 + 4200 * round + 42 * static_cast<std::int64_t>(i)));
            cluster.request(i, hot);
        }
    }
    cluster.runUntil(cluster.now() + Millis(1000));
    EXPECT_LE(cluster.excess(hot), 0);
}

// The ledger of an allotter that does not know what its predecessor granted is not complete.
TEST(Adversary, anIncompleteLedgerIsNotHandedOver)
{
    auto cluster = clusterOf(20, 400, 100);
    cluster.runUntil(Millis(5000));
    std::vector<std::size_t> all(20);
    std::iota(all.begin(), all.end(), 0);
    cluster.load(hot, all, 1600, Millis(40'000));
    cluster.runUntil(Millis(12'000));
    const auto first = cluster.allotterOf(hot);
    const auto next = cluster.candidates(groupOf(hot));
    for (std::size_t i = 0; i < 20; ++i) {
        if (std::find(next.begin() + 1, next.end(), "d" + std::to_string(i)) == next.end())
            cluster.setSide(i, 1);
    }
    const auto idOf = [](const std::string &daemon) {
        return std::stoul(daemon.substr(1));
    };
    cluster.kill(first);
    cluster.load(hot, {idOf(next[1]), idOf(next[2])}, 1600, Millis(40'000));
    while (cluster.now() < Millis(20'000) && cluster.allotterOf(hot) == 20)
        cluster.runUntil(cluster.now() + Millis(20));
    ASSERT_LT(cluster.now(), Millis(20'000));
    cluster.setSide(first, 0);
    cluster.start(first);
    cluster.handOver(cluster.allotterOf(hot), groupOf(hot));
    cluster.runUntil(Millis(40'000));
    EXPECT_LE(cluster.excess(hot), 0);
}

// A repeated hand-over must not fill the bucket again.
TEST(Adversary, aRepeatedHandOverIsTakenOnce)
{
    Settings settings;
    const auto bounds = Bounds::of({10, 100}, settings);
    Allotter allotter(settings);
    allotter.setCustomers({{hot, bounds}}, Millis(0));
    allotter.setTenure({5, Millis(1000), Millis(1000), Millis(60'000)}, Millis(1000));
    const std::vector<CustomerState> state{{hot, 100, 0, {}}};
    allotter.restore(state, Millis(1000));
    std::uint32_t tokens = 0;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        const Millis now(1000 + 160 * static_cast<std::int64_t>(i));
        if (i == 20)
            allotter.restore(state, now);
        const auto granted = allotter.answer(
                {groupOf(hot), "d" + std::to_string(i), 1, 1, {{hot, 0, 0, 0, 0, 0, 64, 0}}}, now);
        tokens += granted.grants_.at(0).forHeld_;
    }
    EXPECT_LE(tokens, 100 + 10 * 9.6 + 1);
}

// Requests that are admitted, wait and are given back must not make tokens pile up.
TEST(Adversary, refundsDoNotPileUp)
{
    auto cluster = clusterOf(1, 100, 100);
    cluster.runUntil(Millis(5000));
    cluster.load(hot, {0}, 800, Millis(30'000));
    cluster.setRefundAfter(Millis(1000));
    cluster.runUntil(Millis(20'000));
    cluster.setRefundAfter({});
    cluster.runUntil(Millis(30'000));
    EXPECT_LE(cluster.excess(hot), 0);
}

// Late refunds must not return tokens in place of those that other requests have just used.
TEST(Adversary, lateRefundsReturnNoTokensThatAreUsed)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Settings settings;
        settings.overrun_ = 0.05;
        settings.window_ = Millis(10'000);
        model::Customer customer{.name_ = hot};
        customer.allowance_ = model::Allowance{200, 0};
        Cluster cluster(12, settings, {customer}, seed);
        std::vector<std::size_t> all(12);
        std::iota(all.begin(), all.end(), 0);
        const std::vector<std::size_t> some{4, 5, 6, 7};
        cluster.load(hot, all, 600, Millis(5300));
        cluster.runUntil(Millis(5300));
        cluster.setRefundAfter(Millis(1000));
        cluster.load(hot, some, 200, Millis(7500));
        cluster.runUntil(Millis(7500));
        cluster.setRefundAfter({});
        cluster.load(hot, some, 1600, Millis(20'000));
        cluster.runUntil(Millis(20'000));
        EXPECT_LE(cluster.excess(hot), 0) << seed;
    }
}

// A burst that the bucket holds is not refused, also when it enters at one daemon.
TEST(Adversary, aBurstWithinTheAllowanceIsAdmitted)
{
    for (const double rate : {5.0, 20.0, 100.0}) {
        auto cluster = clusterOf(20, rate, 100, 20);
        cluster.runUntil(Millis(60'000));
        for (int i = 0; i < 60; ++i)
            cluster.request(3, hot);
        cluster.runUntil(Millis(61'000));
        EXPECT_GE(cluster.admittedShare(hot, Millis(0), Millis(61'000)), 0.95) << rate;
        EXPECT_LE(cluster.excess(hot), 0);
    }
}

TEST(Adversary, noAuthorityComesBackAfterItsRelease)
{
    Authority authority{Settings()};
    authority.claim(Millis(0));
    const auto first = *authority.due(Millis(0));
    authority.onResult(first, Appended{1}, Millis(1));
    authority.claim(Millis(1000));
    const auto renewal = authority.due(Millis(1000));
    ASSERT_TRUE(renewal);
    EXPECT_EQ(authority.release(), 1U);
    authority.onResult(*renewal, Appended{2}, Millis(1001));
    EXPECT_FALSE(authority.tenure(Millis(1002)));
}
