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
    core.handle(Answered{"w0", AnswerKind::Shed, middle, Level::all()}, Millis(3));
    const Millis later = Millis(3) + ownOptions().levelExpiry_;
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
