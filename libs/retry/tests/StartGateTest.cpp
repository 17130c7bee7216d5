#include <retry/StartGate.h>

#include <gtest/gtest.h>

using base::Millis;
using retry::StartGate;

namespace {

constexpr Millis start(1000);

/** Number of 160 requests that are started. */
int startsOf(StartGate &gate, bool isIdempotent, Millis now = start)
{
    int starts = 0;
    for (int i = 0; i < 160; ++i)
        starts += gate.admits("class", isIdempotent, now) ? 1 : 0;
    return starts;
}

void recordEnds(StartGate &gate, int served, int failed)
{
    for (int i = 0; i < served + failed; ++i)
        gate.recordEnd("class", i < served, start);
}

} // namespace

TEST(StartGate, startsAllWithoutMeasurements)
{
    StartGate gate;
    EXPECT_EQ(startsOf(gate, false), 160);
}

TEST(StartGate, startsOnlyProbesWithoutAChance)
{
    StartGate gate;
    recordEnds(gate, 0, 100);
    EXPECT_EQ(startsOf(gate, false), 10);
    EXPECT_EQ(startsOf(gate, true), 10);
}

// A caller may repeat an idempotent request, whatever became of it.
TEST(StartGate, startsIdempotentRequestsWithASmallChance)
{
    StartGate gate;
    recordEnds(gate, 5, 95);
    EXPECT_EQ(startsOf(gate, false), 10);
    EXPECT_EQ(startsOf(gate, true), 160);
}

TEST(StartGate, startsClassesThatOftenSucceed)
{
    StartGate gate;
    recordEnds(gate, 45, 55);
    EXPECT_EQ(startsOf(gate, false), 160);
}

TEST(StartGate, startsAllAgainWithoutRecentMeasurements)
{
    StartGate gate;
    recordEnds(gate, 0, 100);
    EXPECT_EQ(startsOf(gate, false, start + Millis(20'000)), 160);
    gate.prune(start + Millis(40'000));
    EXPECT_EQ(startsOf(gate, false, start + Millis(40'000)), 160);
}
