#include <gtest/gtest.h>

#include <allowance/Allotter.h>
#include <allowance/Wallet.h>
#include <model/Customer.h>

using namespace allowance;
using base::Millis;

namespace {

const model::Allowance limit{10, 10};

Settings settingsOf()
{
    Settings settings;
    settings.slack_ = 20;
    return settings;
}

/** A wallet that has asked once for a held request at 1000 ms. */
struct WalletTest : testing::Test
{
    WalletTest()
    {
        wallet_.setCandidates(group_, {"a", "b", "c"});
        EXPECT_EQ(wallet_.admit("hot", limit, Millis(1000)), Verdict(Held{}));
        ask_ = wallet_.due(Millis(1000)).at(0).ask_;
    }

    Answer granted(Grant grant) const
    {
        grant.customer_ = "hot";
        return {group_, ask_.number_, Granted{{grant}, Millis(400)}};
    }

    const std::uint32_t group_ = groupOf("hot");
    Wallet wallet_{settingsOf(), "a", 1, 1};
    Ask ask_;
};

/** An allotter of one customer, in authority since 0, with a full bucket at 10 s. */
struct AllotterTest : testing::Test
{
    AllotterTest()
    {
        allotter_.setCustomers({{"hot", Bounds::of(limit, settingsOf())}}, Millis(0));
        allotter_.setTenure({1, Millis(0), Millis(0), Millis(60'000)}, Millis(0));
    }

    static Ask askOf(const std::string &daemon, std::uint64_t number, std::uint32_t held,
                     std::uint64_t answered = 0)
    {
        return {groupOf("hot"), daemon, 1, number, {{"hot", 0, 0, 0, 0, 1, held, answered}}};
    }

    Allotter allotter_{settingsOf()};
};

} // namespace

TEST_F(WalletTest, ignoresTheAnswerOfAnEarlierAsk)
{
    EXPECT_TRUE(wallet_.due(Millis(1100)).empty());
    const auto second = wallet_.due(Millis(1300));
    ASSERT_EQ(second.size(), 1U);
    wallet_.onAnswer(granted({.stock_ = 5, .refill_ = 5, .forHeld_ = 1}), Millis(1301));
    EXPECT_EQ(wallet_.retry("hot", Millis(1301)), Verdict(Held{}));
}

TEST_F(WalletTest, asksAnAllotterThatIsNoCandidate)
{
    wallet_.onAllotter(group_, "d");
    const auto asks = wallet_.due(Millis(1300));
    ASSERT_EQ(asks.size(), 1U);
    EXPECT_EQ(asks[0].target_, "d");
}

TEST_F(WalletTest, losesItsPartByTheTimeItAsked)
{
    wallet_.onAnswer(granted({.reserveRate_ = 100, .stock_ = 5, .refill_ = 5}), Millis(1150));
    EXPECT_EQ(wallet_.retry("hot", Millis(1150)), Verdict(Admitted{}));
    EXPECT_EQ(wallet_.admit("hot", limit, Millis(5499)), Verdict(Admitted{}));
    EXPECT_NE(wallet_.admit("hot", limit, Millis(5500)), Verdict(Admitted{}));
}

TEST_F(WalletTest, dropsTokensForHeldRequestsThatComeLate)
{
    wallet_.onAnswer(granted({.forHeld_ = 1}), Millis(1149));
    EXPECT_EQ(wallet_.retry("hot", Millis(1150)), Verdict(Held{}));
}

TEST_F(WalletTest, usesItsReserveRateOnlyAfterSilence)
{
    wallet_.onAnswer(granted({.reserveRate_ = 6, .stock_ = 1}), Millis(1010));
    EXPECT_NE(wallet_.retry("hot", Millis(2010)), Verdict(Admitted{}));
    EXPECT_EQ(wallet_.retry("hot", Millis(2180)), Verdict(Admitted{}));
}

TEST_F(WalletTest, shrinksAtOnceWithALoweredAllowance)
{
    wallet_.onAnswer(granted({.reserveRate_ = 6, .stock_ = 10, .refill_ = 10}), Millis(1010));
    model::Customer customer{.name_ = "hot"};
    customer.allowance_ = model::Allowance{1, 1};
    wallet_.setCustomers({customer});
    const auto usage = wallet_.usage(Millis(1011)).at(0);
    EXPECT_NEAR(usage.reserveRate_, 0.6, 0.01);
    EXPECT_LT(usage.level_, 10);
}

TEST_F(WalletTest, refusesWithoutAskingWhileTheCustomerIsOverItsAllowance)
{
    wallet_.onAnswer(granted({.dryFor_ = Millis(300), .isOverAllowance_ = true}), Millis(1010));
    const auto verdict = wallet_.retry("hot", Millis(1010));
    ASSERT_TRUE(std::holds_alternative<Refused>(verdict));
    EXPECT_EQ(std::get<Refused>(verdict).reason_, RefusalReason::Spent);
    Millis last;
    for (int i = 0; i < 20; ++i) {
        const auto next = wallet_.admit("hot", limit, Millis(1020 + i));
        ASSERT_TRUE(std::holds_alternative<Refused>(next));
        last = std::max(last, std::get<Refused>(next).retryAfter_);
        EXPECT_GE(std::get<Refused>(next).retryAfter_, Millis(300));
    }
    EXPECT_GT(last, Millis(2000));
    EXPECT_TRUE(wallet_.due(Millis(1200)).empty());
}

TEST_F(WalletTest, triesOtherCandidatesAndTellsThatNoneIsKnown)
{
    EXPECT_EQ(wallet_.due(Millis(1200)).at(0).target_, "b");
    wallet_.onAnswer({group_, ask_.number_ + 1, NotAllotter{"z"}}, Millis(1210));
    EXPECT_EQ(wallet_.due(Millis(1230)).at(0).target_, "z");
    const auto verdict = wallet_.giveUp("hot", Millis(1250));
    ASSERT_TRUE(std::holds_alternative<Refused>(verdict));
    EXPECT_EQ(std::get<Refused>(verdict).reason_, RefusalReason::Unknown);
    EXPECT_EQ(wallet_.counts().refusedUnknown_, 1U);
}

TEST_F(AllotterTest, grantsNothingForARepeatedOrOlderAsk)
{
    EXPECT_EQ(allotter_.answer(askOf("a", 2, 3), Millis(10'000)).grants_.at(0).forHeld_, 3U);
    EXPECT_TRUE(allotter_.answer(askOf("a", 2, 3), Millis(10'001)).grants_.empty());
    EXPECT_TRUE(allotter_.answer(askOf("a", 1, 3), Millis(10'002)).grants_.empty());
}

TEST_F(AllotterTest, takesBackTokensOfAnAnswerThatWasLost)
{
    const auto grantedTo = [this](const Ask &ask, Millis now) {
        return allotter_.answer(ask, now).grants_.at(0).forHeld_;
    };
    const auto all = grantedTo(askOf("a", 1, 1000), Millis(10'000));
    EXPECT_GE(all, 8U);
    EXPECT_GE(grantedTo(askOf("a", 2, 1000, 0), Millis(10'200)), all);
    EXPECT_LT(grantedTo(askOf("a", 3, 1000, 2), Millis(10'400)), all / 2);
}

TEST_F(AllotterTest, takesBackNoTokenInWhosePlaceTheBucketWasRefilled)
{
    const auto grantedTo = [this](const Ask &ask, Millis now) {
        return allotter_.answer(ask, now).grants_.at(0).forHeld_;
    };
    ASSERT_EQ(grantedTo(askOf("a", 1, 8), Millis(20'000)), 8U);
    EXPECT_GE(grantedTo(askOf("b", 1, 1000), Millis(23'000)), 8U);
    // Half a token has come since those of "b" are void.
    EXPECT_LE(grantedTo(askOf("a", 2, 1000, 0), Millis(23'200)), 1U);
}

TEST_F(AllotterTest, keepsThePartOfASilentDaemonUntilItHasExpired)
{
    auto ask = askOf("a", 1, 0);
    ask.items_[0].demand_ = 10;
    const auto grant = allotter_.answer(ask, Millis(10'000)).grants_.at(0);
    EXPECT_DOUBLE_EQ(grant.reserveRate_, 6);
    ask.daemon_ = "b";
    EXPECT_DOUBLE_EQ(allotter_.answer(ask, Millis(14'400)).grants_.at(0).reserveRate_, 0);
    ask.number_ = 2;
    EXPECT_GT(allotter_.answer(ask, Millis(14'600)).grants_.at(0).reserveRate_, 0);
}

TEST_F(AllotterTest, startsEmptyAndGivesNoPartsWhileOlderOnesMayBeInForce)
{
    allotter_.setTenure({7, Millis(20'000), Millis(25'000), Millis(60'000)}, Millis(20'000));
    EXPECT_EQ(allotter_.answer(askOf("a", 1, 5), Millis(20'010)).grants_.at(0).forHeld_, 0U);
    auto holding = askOf("b", 1, 0);
    holding.items_[0].stock_ = 2;
    holding.items_[0].reserveRate_ = 3;
    const auto kept = allotter_.answer(holding, Millis(20'020)).grants_.at(0);
    EXPECT_DOUBLE_EQ(kept.reserveRate_, 3);
    EXPECT_DOUBLE_EQ(kept.stock_, 2);
    const auto grant = allotter_.answer(askOf("c", 1, 5), Millis(22'000)).grants_.at(0);
    EXPECT_DOUBLE_EQ(grant.stock_, 0);
    // Two fifths of the rate for 2 s.
    EXPECT_LE(grant.forHeld_, 8U);
}
