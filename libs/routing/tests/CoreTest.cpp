#include <Fixture.h>

#include <map>

#include <gtest/gtest.h>

using namespace routing;
using namespace routing::tests;
using admission::Level;
using admission::Priority;
using base::Millis;

namespace {

constexpr Priority best = {.rank_ = 0};
constexpr Priority middle = {.rank_ = 5};

Core coreWith(std::vector<model::Member> members)
{
    Core core(ownOptions());
    core.handle(MembersChanged{std::move(members)}, Millis(1));
    return core;
}

std::string chosen(Core &core, const Priority &priority, Millis now,
                   const std::vector<std::string> &excluded = {})
{
    const auto choice = core.choose("wallet", priority, excluded, now);
    return choice ? choice->member_->id_ : "";
}

/** How often each instance is chosen in 2,000 choices without calls in flight. */
std::map<std::string, int> shares(Core &core, Millis now)
{
    std::map<std::string, int> result;
    for (int i = 0; i < 2000; ++i)
        ++result[chosen(core, middle, now)];
    return result;
}

} // namespace

TEST(RoutingCore, saysWhyThereIsNoChoice)
{
    Core core = coreWith({walletInstance(0)});
    const std::vector<std::string> excluded = {"w0"};
    EXPECT_EQ(core.choose("redeem", best, {}, Millis(1)).error().reason_,
              NoChoiceReason::NoInstance);
    EXPECT_EQ(core.choose("wallet", best, excluded, Millis(1)).error().reason_,
              NoChoiceReason::AllExcluded);
    core.handle(Sent{"w0", middle}, Millis(2));
    core.handle(Answered{"w0", AnswerKind::Shed, middle, Level::all()}, Millis(3));
    EXPECT_EQ(core.choose("wallet", middle, {}, Millis(4)).error().reason_,
              NoChoiceReason::AllShed);
    EXPECT_EQ(chosen(core, best, Millis(4)), "w0");
}

TEST(RoutingCore, triesAShedPriorityAgainOneCallAtATime)
{
    Core core = coreWith({walletInstance(0)});
    core.handle(Sent{"w0", middle}, Millis(2));
    core.handle(Answered{"w0", AnswerKind::Shed, middle, Level::of({.rank_ = 4})}, Millis(3));
    const Millis later = Millis(3) + ownOptions().levelExpiry_;
    EXPECT_EQ(chosen(core, middle, later - Millis(1)), "");
    ASSERT_EQ(chosen(core, middle, later), "w0");
    core.handle(Sent{"w0", middle}, later);
    EXPECT_EQ(chosen(core, middle, later), "");
    EXPECT_EQ(chosen(core, middle, later + ownOptions().probeInterval_), "w0");
}

TEST(RoutingCore, sendsNothingToALeavingInstance)
{
    Core core = coreWith({walletInstance(0), walletInstance(1)});
    core.handle(Sent{"w0", best}, Millis(2));
    core.handle(Answered{"w0", AnswerKind::Refused, best, Level::all(), true}, Millis(3));
    EXPECT_EQ(shares(core, Millis(4)).count("w0"), 0u);
    auto draining = walletInstance(1);
    draining.serving_ = model::ServingState::Draining;
    core.handle(MembersChanged{{walletInstance(0), draining}}, Millis(5));
    EXPECT_EQ(chosen(core, best, Millis(6)), "");
}

TEST(RoutingCore, sharesBySlotsWhenIdle)
{
    Core core = coreWith({walletInstance(0, "a", 10), walletInstance(1, "a", 30)});
    const auto counts = shares(core, Millis(2));
    EXPECT_NEAR(counts.at("w1"), 1500, 150);
}

TEST(RoutingCore, triesTheLastInstanceHoweverOftenItFails)
{
    Core core = coreWith({walletInstance(0)});
    for (int i = 0; i < 100; ++i) {
        ASSERT_EQ(chosen(core, best, Millis(2 + i)), "w0");
        core.handle(Sent{"w0", best}, Millis(2 + i));
        core.handle(Failed{"w0", FailureKind::NotSent}, Millis(2 + i));
    }
}

TEST(RoutingCore, triesEjectedInstancesWhenNoOthersAreLeft)
{
    Core core = coreWith({walletInstance(0), walletInstance(1)});
    for (int i = 0; i < ownOptions().failuresToEject_; ++i) {
        core.handle(Sent{"w0", best}, Millis(2));
        core.handle(Failed{"w0", FailureKind::Lost}, Millis(2));
    }
    EXPECT_EQ(shares(core, Millis(3)).count("w0"), 0u);
    EXPECT_EQ(chosen(core, best, Millis(3), {"w1"}), "w0");
    core.handle(MembersChanged{{walletInstance(0)}}, Millis(4));
    EXPECT_EQ(chosen(core, best, Millis(5)), "w0");
}

TEST(RoutingCore, spillsOnlyWhatTheOwnDataCentreSheds)
{
    Core core = coreWith({walletInstance(0, "a"), walletInstance(1, "b")});
    EXPECT_EQ(shares(core, Millis(2)).count("w1"), 0u);
    core.handle(Sent{"w0", middle}, Millis(2));
    core.handle(Answered{"w0", AnswerKind::Shed, middle, Level::all()}, Millis(3));
    const auto choice = core.choose("wallet", middle, {}, Millis(4));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->member_->id_, "w1");
    EXPECT_TRUE(choice->isSpilled_);
    EXPECT_EQ(chosen(core, best, Millis(4)), "w0");
}

TEST(RoutingCore, aRequestInProgressSpillsBeforeItUsesUpTheMarginOfItsRank)
{
    constexpr Priority child = {.rank_ = 5, .inProgress_ = true, .bucket_ = 100};
    Core core = coreWith({walletInstance(0, "a"), walletInstance(1, "b")});
    for (const char *id : {"w0", "w1"}) {
        EXPECT_EQ(chosen(core, child, Millis(2)), id);
        core.handle(Sent{id, child}, Millis(2));
        core.handle(Answered{.instance_ = id, .level_ = Level::of({.rank_ = 5, .bucket_ = 50})},
                    Millis(2));
    }
    EXPECT_EQ(chosen(core, child, Millis(3)), "w0");
}

TEST(RoutingCore, spillsFromAFullInstanceUntilAFifthOfItsSlotsIsFree)
{
    Core core = coreWith({walletInstance(0, "a", 10), walletInstance(1, "b", 10)});
    for (int i = 0; i < 10; ++i)
        core.handle(Sent{"w0", best}, Millis(2));
    EXPECT_EQ(chosen(core, best, Millis(3)), "w1");
    core.handle(Answered{.instance_ = "w0"}, Millis(4));
    EXPECT_EQ(chosen(core, best, Millis(5)), "w1");
    core.handle(Answered{.instance_ = "w0"}, Millis(6));
    EXPECT_EQ(chosen(core, best, Millis(7)), "w0");
}

TEST(RoutingCore, aNewInstanceGetsItsShareStepByStep)
{
    Core core = coreWith({walletInstance(0)});
    const Millis joined = Millis(60000);
    const Millis rampTime = ownOptions().slowStart_;
    core.handle(MembersChanged{{walletInstance(0), walletInstance(1)}}, joined);
    // Without calls in flight both draws see the pair, so the first one decides by weight.
    EXPECT_LT(shares(core, joined)["w1"], 300);
    EXPECT_NEAR(shares(core, joined + rampTime / 2)["w1"], 667, 150);
    EXPECT_NEAR(shares(core, joined + rampTime)["w1"], 1000, 150);
}

TEST(RoutingCore, prefersTheOwnRegionWhenItSpills)
{
    auto elsewhere = walletInstance(0, "x");
    elsewhere.region_ = "other";
    Core core = coreWith({elsewhere, walletInstance(1, "b")});
    EXPECT_EQ(shares(core, Millis(2)).count("w0"), 0u);
    core.handle(MembersChanged{{elsewhere}}, Millis(3));
    EXPECT_EQ(chosen(core, best, Millis(4)), "w0");
}
