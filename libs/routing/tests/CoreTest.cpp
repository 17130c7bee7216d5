#include <Fixture.h>

#include <map>

#include <gtest/gtest.h>

using namespace routing;
using namespace routing::tests;
using admission::Level;
using admission::Priority;
using base::Millis;

namespace {

constexpr Priority highPriority = {.rank_ = 0};
constexpr Priority mediumPriority = {.rank_ = 5};

Core coreWith(std::vector<model::Member> members)
{
    Core core(localOptions());
    core.handle(MembersChanged{std::move(members)}, Millis(1));
    return core;
}

std::string chosenId(Core &core, const Priority &priority, Millis now,
                     const std::vector<std::string> &excluded = {})
{
    const auto choice = core.choose("wallet", priority, excluded, now);
    return choice ? choice->member_->id_ : "";
}

/** How often each instance is selected in 2,000 selections without calls in flight. */
std::map<std::string, int> countChoices(Core &core, Millis now)
{
    std::map<std::string, int> result;
    for (int i = 0; i < 2000; ++i)
        ++result[chosenId(core, mediumPriority, now)];
    return result;
}

} // namespace

TEST(RoutingCore, reportsReasonForNoChoice)
{
    Core core = coreWith({walletInstance(0)});
    const std::vector<std::string> excluded = {"w0"};
    EXPECT_EQ(core.choose("redeem", highPriority, {}, Millis(1)).error().reason_,
              NoChoiceReason::NoInstance);
    EXPECT_EQ(core.choose("wallet", highPriority, excluded, Millis(1)).error().reason_,
              NoChoiceReason::AllExcluded);
    core.handle(CallSent{"w0", mediumPriority}, Millis(2));
    core.handle(CallAnswered{"w0", AnswerKind::Shed, mediumPriority, Level::all()}, Millis(3));
    EXPECT_EQ(core.choose("wallet", mediumPriority, {}, Millis(4)).error().reason_,
              NoChoiceReason::AllShed);
    EXPECT_EQ(chosenId(core, highPriority, Millis(4)), "w0");
}

TEST(RoutingCore, probesExpiredLevelWithOneCallAtATime)
{
    Core core = coreWith({walletInstance(0)});
    core.handle(CallSent{"w0", mediumPriority}, Millis(2));
    core.handle(CallAnswered{"w0", AnswerKind::Shed, mediumPriority, Level::of({.rank_ = 4})},
                Millis(3));
    const Millis expiry = Millis(3) + localOptions().levelExpiry_;
    EXPECT_EQ(chosenId(core, mediumPriority, expiry - Millis(1)), "");
    ASSERT_EQ(chosenId(core, mediumPriority, expiry), "w0");
    core.handle(CallSent{"w0", mediumPriority}, expiry);
    EXPECT_EQ(chosenId(core, mediumPriority, expiry), "");
    EXPECT_EQ(chosenId(core, mediumPriority, expiry + localOptions().probeInterval_), "w0");
}

TEST(RoutingCore, skipsDrainingInstances)
{
    Core core = coreWith({walletInstance(0), walletInstance(1)});
    core.handle(CallSent{"w0", highPriority}, Millis(2));
    core.handle(CallAnswered{"w0", AnswerKind::Refused, highPriority, Level::all(), true},
                Millis(3));
    EXPECT_EQ(countChoices(core, Millis(4)).count("w0"), 0u);
    auto draining = walletInstance(1);
    draining.serving_ = model::ServingState::Draining;
    core.handle(MembersChanged{{walletInstance(0), draining}}, Millis(5));
    EXPECT_EQ(chosenId(core, highPriority, Millis(6)), "");
}

TEST(RoutingCore, weighsIdleInstancesBySlots)
{
    Core core = coreWith({walletInstance(0, "a", 10), walletInstance(1, "a", 30)});
    const auto counts = countChoices(core, Millis(2));
    EXPECT_NEAR(counts.at("w1"), 1500, 150);
}

TEST(RoutingCore, keepsUsingTheOnlyInstanceWhenItFails)
{
    Core core = coreWith({walletInstance(0)});
    for (int i = 0; i < 100; ++i) {
        ASSERT_EQ(chosenId(core, highPriority, Millis(2 + i)), "w0");
        core.handle(CallSent{"w0", highPriority}, Millis(2 + i));
        core.handle(CallFailed{"w0", FailureKind::NotSent}, Millis(2 + i));
    }
}

TEST(RoutingCore, usesEjectedInstancesWhenNoOthersRemain)
{
    Core core = coreWith({walletInstance(0), walletInstance(1)});
    for (int i = 0; i < localOptions().failuresToEject_; ++i) {
        core.handle(CallSent{"w0", highPriority}, Millis(2));
        core.handle(CallFailed{"w0", FailureKind::Lost}, Millis(2));
    }
    EXPECT_EQ(countChoices(core, Millis(3)).count("w0"), 0u);
    EXPECT_EQ(chosenId(core, highPriority, Millis(3), {"w1"}), "w0");
    core.handle(MembersChanged{{walletInstance(0)}}, Millis(4));
    EXPECT_EQ(chosenId(core, highPriority, Millis(5)), "w0");
}

TEST(RoutingCore, spillsOnlyPrioritiesShedByTheLocalDataCentre)
{
    Core core = coreWith({walletInstance(0, "a"), walletInstance(1, "b")});
    EXPECT_EQ(countChoices(core, Millis(2)).count("w1"), 0u);
    core.handle(CallSent{"w0", mediumPriority}, Millis(2));
    core.handle(CallAnswered{"w0", AnswerKind::Shed, mediumPriority, Level::all()}, Millis(3));
    const auto choice = core.choose("wallet", mediumPriority, {}, Millis(4));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->member_->id_, "w1");
    EXPECT_TRUE(choice->isSpilled_);
    EXPECT_EQ(chosenId(core, highPriority, Millis(4)), "w0");
}

TEST(RoutingCore, requestInProgressSpillsBeforeUsingTheMarginOfItsRank)
{
    constexpr Priority child = {.rank_ = 5, .inProgress_ = true, .bucket_ = 100};
    Core core = coreWith({walletInstance(0, "a"), walletInstance(1, "b")});
    for (const char *id : {"w0", "w1"}) {
        EXPECT_EQ(chosenId(core, child, Millis(2)), id);
        core.handle(CallSent{id, child}, Millis(2));
        core.handle(CallAnswered{.instance_ = id, .level_ = Level::of({.rank_ = 5, .bucket_ = 50})},
                    Millis(2));
    }
    EXPECT_EQ(chosenId(core, child, Millis(3)), "w0");
}

TEST(RoutingCore, spillsFromSaturatedInstanceUntilAFifthOfItsSlotsIsFree)
{
    Core core = coreWith({walletInstance(0, "a", 10), walletInstance(1, "b", 10)});
    for (int i = 0; i < 10; ++i)
        core.handle(CallSent{"w0", highPriority}, Millis(2));
    EXPECT_EQ(chosenId(core, highPriority, Millis(3)), "w1");
    core.handle(CallAnswered{.instance_ = "w0"}, Millis(4));
    EXPECT_EQ(chosenId(core, highPriority, Millis(5)), "w1");
    core.handle(CallAnswered{.instance_ = "w0"}, Millis(6));
    EXPECT_EQ(chosenId(core, highPriority, Millis(7)), "w0");
}

TEST(RoutingCore, newInstanceRampsUpToItsShare)
{
    Core core = coreWith({walletInstance(0)});
    const Millis joined = Millis(60000);
    const Millis rampTime = localOptions().slowStartWindow_;
    core.handle(MembersChanged{{walletInstance(0), walletInstance(1)}}, joined);
    // Without calls in flight both candidates have no load, so the first weighted draw decides.
    EXPECT_LT(countChoices(core, joined)["w1"], 300);
    EXPECT_NEAR(countChoices(core, joined + rampTime / 2)["w1"], 667, 150);
    EXPECT_NEAR(countChoices(core, joined + rampTime)["w1"], 1000, 150);
}

TEST(RoutingCore, spillsToTheLocalRegionFirst)
{
    auto elsewhere = walletInstance(0, "x");
    elsewhere.region_ = "other";
    Core core = coreWith({elsewhere, walletInstance(1, "b")});
    EXPECT_EQ(countChoices(core, Millis(2)).count("w0"), 0u);
    core.handle(MembersChanged{{elsewhere}}, Millis(3));
    EXPECT_EQ(chosenId(core, highPriority, Millis(4)), "w0");
}
