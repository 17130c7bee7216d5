#include <retry/ContextTable.h>
#include <retry/Core.h>

#include <gtest/gtest.h>

using namespace retry;
using base::Millis;

namespace {

class CoreTest : public testing::Test
{
protected:
    CoreTest() { settings_.maxBuckets_ = 2; }

    /** Starts a root call and returns the number of retries it gets for these results. */
    std::size_t extraAttempts(const std::vector<AttemptResult> &results, CallStarted event)
    {
        event.call_ = ++call_;
        core_.handle(event, now_);
        std::size_t extra = 0;
        for (const auto result : results) {
            const auto commands =
                    core_.handle(AttemptEnded{call_, static_cast<std::uint32_t>(extra + 1), result,
                                              "daemon-" + std::to_string(extra), std::nullopt},
                                 now_);
            if (commands.empty() || std::holds_alternative<GiveUp>(commands[0])) {
                stopReason_ = commands.empty()
                                      ? std::nullopt
                                      : std::optional(std::get<GiveUp>(commands[0]).reason_);
                return extra;
            }
            lastAttempt_ = std::get<StartAttempt>(commands[0]);
            ++extra;
        }
        core_.handle(CallEnded{call_}, now_);
        stopReason_ = std::nullopt;
        return extra;
    }

    CallStarted root(std::uint32_t budget, bool idempotent = true)
    {
        return {.origin_ = RootCall{budget},
                .customer_ = "north",
                .requestClass_ = "balance",
                .ratio_ = 0.5,
                .idempotent_ = idempotent,
                .deadline_ = now_ + Millis(1000)};
    }

    RetrySettings settings_;
    ContextTable contexts_{"secret"};
    Core core_{settings_, contexts_, 1};
    Millis now_ = Millis(10);
    CallId call_ = 0;
    std::optional<StopReason> stopReason_;
    StartAttempt lastAttempt_;
};

} // namespace

TEST_F(CoreTest, reportsTheStopReason)
{
    using enum AttemptResult;
    EXPECT_EQ(extraAttempts({NotSent, NotSent, NotSent}, root(2)), 2u);
    EXPECT_EQ(stopReason_, StopReason::BudgetSpent);
    EXPECT_EQ(extraAttempts({Lost}, root(2, false)), 0u);
    EXPECT_EQ(stopReason_, StopReason::MayHaveRun);
    EXPECT_EQ(extraAttempts({Overloaded, Overloaded}, root(9)), 1u);
    EXPECT_EQ(stopReason_, StopReason::CalleeOverloaded);
    EXPECT_EQ(lastAttempt_.excludedInstances_, std::vector<std::string>{"daemon-0"});
    auto unbudgeted = root(0);
    unbudgeted.origin_ = UnbudgetedCall{};
    EXPECT_EQ(extraAttempts({NotSent}, unbudgeted), 0u);
    EXPECT_EQ(stopReason_, StopReason::BudgetSpent);
}

TEST_F(CoreTest, makesNoAttemptThatWouldMissTheDeadline)
{
    // Calls of this class take 400 ms.
    core_.handle(root(0), now_);
    now_ = now_ + Millis(400);
    core_.handle(AttemptEnded{.call_ = 0, .attempt_ = 1}, now_);
    auto call = root(3);
    call.deadline_ = now_ + Millis(390);
    EXPECT_EQ(extraAttempts({AttemptResult::NotSent}, call), 0u);
    EXPECT_EQ(stopReason_, StopReason::DeadlineNear);
    EXPECT_EQ(extraAttempts({AttemptResult::NotSent}, root(3)), 1u);
}

TEST_F(CoreTest, enforcesTheRatioOfACustomerAndClass)
{
    std::size_t extra = 0;
    for (int i = 0; i < 1000; ++i)
        extra += extraAttempts(std::vector(4, AttemptResult::NotSent), root(4));
    EXPECT_LE(extra, 1000 * 0.5 + settings_.initialTokens_);
    EXPECT_EQ(stopReason_, StopReason::RatioSpent);
    auto other = root(4);
    other.customer_ = "south";
    EXPECT_EQ(extraAttempts({AttemptResult::NotSent}, other), 1u);
}

TEST_F(CoreTest, backoffIsBoundedByDoubledDelay)
{
    EXPECT_EQ(extraAttempts(std::vector(3, AttemptResult::NotRun), root(8)), 3u);
    EXPECT_LE(lastAttempt_.delay_, settings_.initialDelay_ * 4);
}

TEST_F(CoreTest, refusesCallsBeyondMaxDepth)
{
    const auto deepest = contexts_.open({.depth_ = ContextTable::maxDepth});
    ASSERT_TRUE(deepest);
    auto call = root(0);
    call.origin_ = ChildCall{*deepest};
    EXPECT_EQ(core_.handle(call, now_).at(0), Command(GiveUp{0, StopReason::TooDeep}));
    EXPECT_EQ(contexts_.open({.depth_ = ContextTable::maxDepth + 1}).error().code_, "too-deep");
}

TEST(ContextTable, tokensAreUniqueAndInvalidAfterClose)
{
    ContextTable table("secret", 2);
    const auto first = table.open({.customer_ = "north", .budget_ = ChainBudget(3)});
    const auto second = table.open({});
    EXPECT_NE(*first, *second);
    EXPECT_EQ(table.open({}).error().code_, "too-many-calls");
    EXPECT_EQ(table.find(*first)->customer_, "north");
    EXPECT_EQ(table.close(*first), 3u);
    EXPECT_EQ(table.find(*first), nullptr);
    EXPECT_EQ(table.close(*first), 0u);
}

TEST_F(CoreTest, retriesOfUnreachedAttemptsAreFreeUpToALimit)
{
    RetrySettings settings;
    settings.initialTokens_ = 0;
    settings.maxUnreachedRetries_ = 2;
    Core core(settings, contexts_, 1);
    auto call = root(0);
    call.ratio_ = 0;
    core.handle(call, now_);
    const auto isRetried = [&](std::uint32_t attempt, bool reachedBackend) {
        const auto commands = core.handle(AttemptEnded{.call_ = 0,
                                                       .attempt_ = attempt,
                                                       .result_ = AttemptResult::NotRun,
                                                       .reachedBackend_ = reachedBackend},
                                          now_);
        return std::holds_alternative<StartAttempt>(commands.at(0));
    };
    EXPECT_TRUE(isRetried(1, false));
    EXPECT_TRUE(isRetried(2, false));
    EXPECT_FALSE(isRetried(3, false));
    core.handle(call, now_);
    EXPECT_FALSE(isRetried(1, true));
}

TEST_F(CoreTest, handBacksAreBoundedAndCostNoRetry)
{
    using enum AttemptResult;
    settings_.maxHandBacks_ = 2;
    Core core(settings_, contexts_, 1);
    core.handle(CallStarted{.call_ = 1, .origin_ = RootCall{1}, .deadline_ = Millis(1000)}, now_);
    for (std::uint32_t attempt = 1; attempt <= 2; ++attempt) {
        const auto commands =
                core.handle(AttemptEnded{1, attempt, HandedBack, "d", std::nullopt, false}, now_);
        ASSERT_EQ(commands.size(), 1U);
        ASSERT_TRUE(std::holds_alternative<StartAttempt>(commands[0]));
        EXPECT_EQ(std::get<StartAttempt>(commands[0]).delay_, Millis());
    }
    // The third one is charged like any attempt that did not run; then the budget is spent.
    EXPECT_TRUE(std::holds_alternative<StartAttempt>(
            core.handle(AttemptEnded{1, 3, HandedBack, "d", std::nullopt, false}, now_)[0]));
    EXPECT_TRUE(std::holds_alternative<GiveUp>(
            core.handle(AttemptEnded{1, 4, HandedBack, "d", std::nullopt, false}, now_)[0]));
}
