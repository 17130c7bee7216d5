#include "Pump.h"

#include <gtest/gtest.h>

using base::Millis;

namespace {

/** What the customers of the system were promised for a leaving instance. */
constexpr Millis drainBound(3000);
constexpr Millis settleBound(120000);

bool everyoneKnows(Pump &pump, const std::string &id, model::ServingState state)
{
    for (const auto &[other, daemon] : pump.daemons_) {
        if (!daemon.core_)
            continue;
        const auto *record = daemon.core_->find(id);
        if (!record || record->member_.serving_ != state)
            return false;
    }
    return true;
}

bool nobodyLists(Pump &pump, const std::string &id)
{
    for (const auto &[other, daemon] : pump.daemons_) {
        if (daemon.core_ && pump.listed(other).contains(id))
            return false;
    }
    return true;
}

} // namespace

TEST(Core, allFindEachOtherFromSeeds)
{
    Pump pump(1);
    pump.startAll(3, 8);
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, settleBound));
}

TEST(Core, tellsThatNobodyAnswers)
{
    Pump pump(1);
    pump.start("lonely", "dc0", Pump::address(0), {Pump::address(1)});
    pump.run(Millis(2000));
    EXPECT_TRUE(pump.core("lonely").isIsolated(pump.now_));
    pump.start("friend", "dc0", Pump::address(1), {});
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, settleBound));
    EXPECT_FALSE(pump.core("lonely").isIsolated(pump.now_));
}

TEST(Core, drainingIsKnownEverywhereInTime)
{
    Pump pump(2);
    pump.loss_ = 0.01;
    pump.startAll(5, 30);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, settleBound));
    pump.tell("d0-7", membership::ServiceChanged{model::ServingState::Draining, "wallet", 90});
    EXPECT_TRUE(pump.runUntil(
            [&] { return everyoneKnows(pump, "d0-7", model::ServingState::Draining); },
            drainBound));
    pump.tell("d0-7", membership::LeaveRequested{});
    pump.run(Millis(300));
    pump.crash("d0-7");
    EXPECT_TRUE(pump.runUntil([&] { return nobodyLists(pump, "d0-7"); }, drainBound));
}

TEST(Core, crashIsFoundOnlyByTheOwnDataCentre)
{
    Pump pump(3);
    pump.startAll(3, 8);
    ASSERT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, settleBound));
    pump.crash("d1-5");
    EXPECT_TRUE(pump.runUntil([&] { return pump.isConverged(); }, Millis(30000)));
}
