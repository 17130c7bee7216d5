#include <Fixture.h>
#include <ServiceModel.h>

#include <gtest/gtest.h>

using namespace routing;
using namespace routing::tests;
using base::Millis;

namespace {

/** Speeds from 0.5 to 1.6 of the usual one, in no order of the servers. */
std::function<double(int)> unequalSpeeds(int servers)
{
    return [servers](int server) {
        return 0.5 + 1.1 * ((server * 7) % servers) / (servers - 1.0);
    };
}

ServiceScenario unequalServers(int daemons, int servers, int slots, double load)
{
    // About as many requests in each case.
    const double seconds = std::clamp(4000.0 / (servers * slots), 4.0, 20.0);
    return {.daemons_ = daemons,
            .servers_ = servers,
            .slots_ = slots,
            .load_ = load,
            .seconds_ = seconds,
            .speed_ = unequalSpeeds(servers)};
}

ServiceResult withOwnCallsOnly(ServiceScenario scenario)
{
    scenario.evenLoad_ = false;
    return ServiceModel(scenario).run();
}

struct Sizes
{
    int daemons_;
    int servers_;
    int slots_;
};

std::ostream &operator<<(std::ostream &out, const Sizes &sizes)
{
    return out << sizes.daemons_ << " daemons, " << sizes.servers_ << " servers of "
               << sizes.slots_;
}

class EvenLoadBound : public testing::TestWithParam<Sizes>
{};

class EvenLoadSizes : public testing::TestWithParam<Sizes>
{};

} // namespace

// Load 0.85: callers wait no longer than a half more than with one queue for all servers.
TEST_P(EvenLoadBound, waitIsNearThatOfOneQueue)
{
    const auto [daemons, servers, slots] = GetParam();
    const auto result = ServiceModel(unequalServers(daemons, servers, slots, 0.85)).run();
    EXPECT_LE(result.waitP99Ms_, 1.5 * result.centralWaitP99Ms_);
}

INSTANTIATE_TEST_SUITE_P(Queueing, EvenLoadBound,
                         testing::Values(Sizes{1, 3, 20}, Sizes{16, 3, 20}, Sizes{64, 3, 20},
                                         Sizes{300, 3, 20}));
INSTANTIATE_TEST_SUITE_P(KnownRed, EvenLoadBound,
                         testing::Values(Sizes{1, 3, 150}, Sizes{1, 10, 8}, Sizes{16, 10, 8},
                                         Sizes{64, 10, 8}, Sizes{300, 10, 8}, Sizes{64, 3, 150},
                                         Sizes{300, 3, 150}, Sizes{64, 31, 87}, Sizes{64, 40, 20},
                                         Sizes{300, 40, 20}));

// Load 0.5 and 0.85, the hours before a surge: waits of callers against a selection by own calls.
TEST_P(EvenLoadSizes, waitIsAThirdOfThatByOwnCalls)
{
    const auto [daemons, servers, slots] = GetParam();
    const auto scenario = unequalServers(daemons, servers, slots, 0.85);
    const auto result = ServiceModel(scenario).run();
    EXPECT_LE(result.waitP99Ms_, withOwnCallsOnly(scenario).waitP99Ms_ / 3);
    EXPECT_EQ(result.refused_, 0.0);
    const auto half = ServiceModel(unequalServers(daemons, servers, slots, 0.5)).run();
    EXPECT_LE(half.waitP99Ms_, 5.0);
}

// Load 1.2: while requests are refused, no server idles.
TEST_P(EvenLoadSizes, allServersWorkWhileRequestsAreRefused)
{
    const auto [daemons, servers, slots] = GetParam();
    const auto result = ServiceModel(unequalServers(daemons, servers, slots, 1.2)).run();
    EXPECT_GT(result.refused_, 0.0);
    EXPECT_GE(result.leastBusy_, 0.97);
}

INSTANTIATE_TEST_SUITE_P(Sizes, EvenLoadSizes,
                         testing::Values(Sizes{16, 3, 20}, Sizes{64, 3, 20}, Sizes{300, 3, 20},
                                         Sizes{64, 10, 8}, Sizes{16, 10, 20}, Sizes{300, 10, 20},
                                         Sizes{64, 40, 20}, Sizes{300, 40, 20}, Sizes{64, 31, 87}));
INSTANTIATE_TEST_SUITE_P(KnownRed, EvenLoadSizes, testing::Values(Sizes{300, 10, 8}));

// A third of the servers at a quarter of the speed, load 0.85: they get a quarter of a share.
TEST(EvenLoad, slowThirdDoesNotHoldCallsUp)
{
    auto scenario = unequalServers(64, 12, 20, 0.85);
    scenario.speed_ = [](int server) {
        return server % 3 == 0 ? 0.25 : 1.0;
    };
    const auto result = ServiceModel(scenario).run();
    EXPECT_LE(result.waitP99Ms_, withOwnCallsOnly(scenario).waitP99Ms_ / 3);
    EXPECT_EQ(result.refused_, 0.0);
}

// A surge of 1.8 for a second out of 0.7: as with one queue, the backlog is gone soon after it.
TEST(EvenLoad, surgeIsServedAtFullCapacity)
{
    auto scenario = unequalServers(64, 10, 20, 0.7);
    scenario.seconds_ = 10.0;
    scenario.demand_ = [](double ms) {
        return ms > 4000 && ms < 5000 ? 1.8 / 0.7 : 1.0;
    };
    const auto result = ServiceModel(scenario).run();
    const auto byOwnCalls = withOwnCallsOnly(scenario);
    EXPECT_LE(result.refused_, byOwnCalls.refused_);
    EXPECT_LE(result.waitP99Ms_, byOwnCalls.waitP99Ms_);
}

// A third of the demand moves to one of three data centres: its calls spill before they wait long,
// and stay at home while they need not.
TEST(EvenLoad, shiftedDemandSpills)
{
    auto scenario = unequalServers(63, 12, 20, 0.85);
    scenario.dataCentres_ = 3;
    scenario.localDemand_ = 0.3;
    const auto shifted = ServiceModel(scenario).run();
    EXPECT_LE(shifted.waitP99Ms_, 20.0);
    EXPECT_GT(shifted.remote_, 0.1);
    scenario.localDemand_ = 0.0;
    scenario.load_ = 0.5;
    EXPECT_LE(ServiceModel(scenario).run().remote_, 0.01);
}

// Load 1.1 in all of three data centres alike: nothing is gained elsewhere, and bytes between them
// are dear, so 0.95 of the calls stay at home, and wait no longer than a half more than with one
// queue.
TEST(EvenLoad, fullDataCentresDoNotExchangeCalls)
{
    for (const auto &[daemons, servers, slots] : {Sizes{79, 18, 23}, Sizes{64, 33, 87}}) {
        auto scenario = unequalServers(daemons, servers, slots, 1.1);
        scenario.dataCentres_ = 3;
        scenario.seconds_ = 8.0;
        scenario.speed_ = [](int) {
            return 1.0;
        };
        const auto result = ServiceModel(scenario).run();
        EXPECT_LE(result.remote_, 0.05) << servers << " servers";
        EXPECT_LE(result.waitP99Ms_, 1.5 * result.centralWaitP99Ms_);
    }
}

// Servers join and leave every two seconds, load 0.85.
TEST(EvenLoad, joinsAndLeavesAreAbsorbed)
{
    auto scenario = unequalServers(64, 10, 20, 0.85);
    scenario.seconds_ = 12.0;
    scenario.isPresent_ = [](int server, double ms) {
        return server < 7 || (static_cast<int>(ms / 2000.0) + server) % 2 == 0;
    };
    EXPECT_LE(ServiceModel(scenario).run().waitP99Ms_, withOwnCallsOnly(scenario).waitP99Ms_ / 3);
}

// The reports that selections rest on are between some milliseconds and some seconds old.
TEST(EvenLoad, agesOfReportsSpanThreeOrdersOfMagnitude)
{
    EXPECT_LT(ServiceModel(unequalServers(1, 3, 20, 1.2)).run().reportAgeMs_, 5.0);
    EXPECT_GT(ServiceModel(unequalServers(300, 10, 8, 0.5)).run().reportAgeMs_, 2000.0);
}

namespace {

class EvenLoadCore : public testing::Test
{
protected:
    EvenLoadCore()
    {
        auto options = localOptions();
        options.evenLoad_ = true;
        core_ = std::make_unique<Core>(options);
        setMembers(1);
    }

    void setMembers(std::uint64_t generation)
    {
        auto first = walletInstance(0, "a", 20);
        first.generation_ = generation;
        core_->handle(MembersChanged{{first, walletInstance(1, "a", 20)}}, now_);
    }

    void answer(const std::string &id, std::uint32_t active, std::uint64_t generation = 1)
    {
        core_->handle(CallSent{id, {}}, now_);
        core_->handle(CallAnswered{.instance_ = id,
                                   .level_ = admission::Level::all(),
                                   .load_ = balance::LoadReport{active, 20, Millis(100)},
                                   .generation_ = generation},
                      now_);
    }

    /** Share of 1000 selections that go to the first instance. */
    double shareOfFirst()
    {
        int first = 0;
        for (int i = 0; i < 1000; ++i)
            first += core_->choose("wallet", {}, {}, now_)->member_->id_ == "w0" ? 1 : 0;
        return first / 1000.0;
    }

    std::unique_ptr<Core> core_;
    Millis now_ = Millis(10);
};

} // namespace

TEST_F(EvenLoadCore, freshReportDecidesAndFades)
{
    answer("w0", 30);
    answer("w1", 5);
    EXPECT_EQ(shareOfFirst(), 0.0);
    now_ = now_ + Millis(20'000);
    core_->handle(CallSent{"w1", {}}, now_);
    // A single own call outweighs a report of this age.
    EXPECT_EQ(shareOfFirst(), 1.0);
}

TEST_F(EvenLoadCore, reportFromBeforeARestartIsForgotten)
{
    answer("w0", 30);
    answer("w1", 5);
    setMembers(2);
    EXPECT_FALSE(core_->instances("wallet", now_)[0].load_);
    answer("w0", 30, 1);
    EXPECT_FALSE(core_->instances("wallet", now_)[0].load_);
    answer("w0", 30, 2);
    EXPECT_TRUE(core_->instances("wallet", now_)[0].load_);
}

TEST_F(EvenLoadCore, drainingInstanceGetsNothingHoweverIdle)
{
    answer("w0", 0);
    answer("w1", 30);
    core_->handle(CallSent{"w0", {}}, now_);
    core_->handle(CallAnswered{.instance_ = "w0",
                               .level_ = admission::Level::all(),
                               .isLeaving_ = true,
                               .load_ = balance::LoadReport{0, 20, Millis(100)},
                               .generation_ = 1},
                  now_);
    EXPECT_EQ(shareOfFirst(), 0.0);
}

// A report of one idle instance that is far from true, as the calls to it take ever longer.
TEST_F(EvenLoadCore, idleReportDoesNotHideOwnCalls)
{
    answer("w0", 0);
    answer("w1", 10);
    for (int i = 0; i < 30; ++i)
        core_->handle(CallSent{"w0", {}}, now_);
    EXPECT_EQ(shareOfFirst(), 0.0);
}

// Load of one server of two: what counts is whether the other was free when the call was sent.
TEST_F(EvenLoadCore, countsCallsThatWaitedWhileAnotherWasFree)
{
    const auto choose = [this] {
        return core_->choose("wallet", {}, {}, now_)->isOtherFree_;
    };
    const auto waited = [this](bool isOtherFree, Millis queueing, bool isHandedBack = false) {
        core_->handle(CallSent{"w0", {}}, now_);
        core_->handle(CallAnswered{.instance_ = "w0",
                                   .level_ = admission::Level::all(),
                                   .isHandedBack_ = isHandedBack,
                                   .isOtherFree_ = isOtherFree,
                                   .queueing_ = queueing},
                      now_);
    };
    EXPECT_FALSE(choose());
    answer("w0", 25);
    answer("w1", 25);
    EXPECT_FALSE(choose());
    answer("w0", 5);
    answer("w1", 5);
    EXPECT_TRUE(choose());
    const auto before = core_->loadCounters().waits_.at("wallet");
    EXPECT_EQ(before, (WaitCounts{.calls_ = 4}));
    waited(true, Millis(30));
    waited(false, Millis(30));
    waited(true, Millis(0));
    waited(true, Millis(30), true);
    EXPECT_EQ(core_->loadCounters().waits_.at("wallet"), (WaitCounts{7, 2, 1}));
    EXPECT_EQ(core_->loadCounters().handedBack_, 1U);
}
