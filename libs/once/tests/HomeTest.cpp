#include <once/Home.h>

#include <array>

#include <gtest/gtest.h>

using namespace once;
using base::Millis;

namespace {

const Incarnation self{"home", 3};
const Incarnation executorA{"a", 1};
const Incarnation executorB{"b", 1};
const AnswerPtr answer = std::make_shared<Answer>(Answer{201, {{"x", "y"}}, "done"});

HomeSettings smallSettings()
{
    HomeSettings settings;
    settings.maxRecords_ = 2;
    settings.maxAnswerBytes_ = 1024;
    settings.maxOneAnswerBytes_ = 512;
    settings.maxWaitersPerKey_ = 2;
    settings.serialWindow_ = 64;
    return settings;
}

/** A home with one waiter number after the other. */
class HomeTest : public testing::Test
{
protected:
    Key issue() { return home_.issueKey("north", "redeem", now_); }

    Request request(const Key &key, Millis deadline = Millis(60'000))
    {
        return Request{++waiter_, key, "north", "redeem", 7, now_ + deadline};
    }

    std::vector<HomeCommand> tell(const HomeEvent &event) { return home_.handle(event, now_); }

    /** First use of the key up to its delegation. */
    SubKey delegate(const Key &key, const Incarnation &executor = executorA)
    {
        const auto chosen = tell(request(key));
        const auto record = std::get<ChooseExecutor>(chosen.at(0)).record_;
        return std::get<Delegate>(tell(Chosen{record, executor}).at(0)).subKey_;
    }

    /** What a repetition of the key is told at once. */
    Outcome repeat(const Key &key) { return std::get<Reply>(tell(request(key)).at(0)).outcome_; }

    Millis now_ = Millis(1000);
    WaiterId waiter_ = 0;
    Home home_{self, smallSettings(), "secret"};
};

} // namespace

TEST_F(HomeTest, repeatsShareTheFirstAnswer)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    EXPECT_TRUE(tell(request(key)).empty());
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::TooManyWaiting}));
    const auto told = tell(ExecutorSaid{subKey, Complete{answer}});
    ASSERT_EQ(told.size(), 3u);
    EXPECT_EQ(std::get<Reply>(told[0]), (Reply{1, Complete{answer}}));
    EXPECT_EQ(std::get<Reply>(told[1]), (Reply{2, Complete{answer}}));
    EXPECT_EQ(repeat(key), Outcome(Complete{answer}));
}

TEST_F(HomeTest, lostMessagesAreAskedForAtTheSameExecutor)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    EXPECT_TRUE(tell(SendFailed{subKey, SendFailure::Lost}).empty());
    now_ = home_.nextWakeUp();
    EXPECT_EQ(tell(WakeUp{}), (std::vector<HomeCommand>{Ask{subKey}}));
    // After a loss neither of these proves that the request has not run.
    EXPECT_TRUE(tell(SendFailed{subKey, SendFailure::NotSent}).empty());
    tell(ExecutorReplaced{subKey});
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::OtherGeneration}));
}

TEST_F(HomeTest, notRunLeadsToAnotherExecutorWithAnotherSubKey)
{
    const auto key = issue();
    const auto first = delegate(key);
    const NotRun why{Reason::Overloaded, Millis(5)};
    const auto again = std::get<ChooseExecutor>(tell(ExecutorSaid{first, why}).at(0));
    EXPECT_EQ(again.attempt_, 2u);
    EXPECT_EQ(again.last_, executorA);
    const auto second = std::get<Delegate>(tell(Chosen{again.record_, executorB}).at(0));
    EXPECT_NE(second.subKey_.number_, first.number_);
    EXPECT_EQ(second.settledBelow_, second.subKey_.number_);
    // A late word on the first delegation changes nothing.
    EXPECT_TRUE(tell(ExecutorSaid{first, Complete{answer}}).empty());
}

TEST_F(HomeTest, aBurnedKeyStaysBurned)
{
    const auto key = issue();
    const auto chosen = std::get<ChooseExecutor>(tell(request(key)).at(0));
    const NotRun why{Reason::NoInstance, Millis(9)};
    EXPECT_EQ(tell(NotChosen{chosen.record_, why}).at(0), HomeCommand(Reply{1, why}));
    EXPECT_EQ(repeat(key), Outcome(NotRun{Reason::KeyBurned}));
    EXPECT_TRUE(tell(Chosen{chosen.record_, executorA}).empty());
}

TEST_F(HomeTest, aFullHomeRefusesNewKeysForGood)
{
    const auto keys = std::array{issue(), issue(), issue()};
    delegate(keys[0]);
    const auto subKey = delegate(keys[1]);
    EXPECT_EQ(repeat(keys[2]), Outcome(NotRun{Reason::NoRoom, Millis(1000)}));
    tell(ExecutorSaid{subKey, Complete{answer}});
    now_ = keys[1].expiry_ - Millis(1);
    EXPECT_EQ(repeat(keys[1]), Outcome(Complete{answer}));
    EXPECT_EQ(repeat(keys[2]), Outcome(NotRun{Reason::KeyBurned}));
    now_ = keys[2].expiry_;
    EXPECT_EQ(repeat(keys[2]), Outcome(NotRun{Reason::KeyBurned}));
}

TEST_F(HomeTest, aFullHomeGivesUpOldAnswersBeforeItRefuses)
{
    const auto keys = std::array{issue(), issue(), issue(), issue()};
    delegate(keys[0]);
    const auto finished = delegate(keys[1]);
    tell(ExecutorSaid{finished, Complete{answer}});
    now_ = now_ + smallSettings().minAnswerAge_;
    delegate(keys[2]);
    // It ran, so neither may it run again nor may anybody be told that it did not.
    EXPECT_EQ(repeat(keys[1]), Outcome(Unknown{Reason::AnswerNotKept}));
    EXPECT_EQ(repeat(keys[3]), Outcome(NotRun{Reason::NoRoom, Millis(1000)}));
}

TEST_F(HomeTest, onlyAnUnusedExpiredKeyIsNotRun)
{
    const auto used = issue();
    const auto unused = issue();
    tell(ExecutorSaid{delegate(used), Complete{answer}});
    now_ = unused.expiry_;
    EXPECT_EQ(repeat(unused), Outcome(NotRun{Reason::KeyExpired}));
    // The answered request's deadline needs no wake-up.
    now_ = home_.nextWakeUp();
    EXPECT_GE(now_, used.expiry_);
    tell(WakeUp{});
    EXPECT_EQ(home_.counts().records_, 0u);
    EXPECT_EQ(home_.counts().answerBytes_, 0u);
    EXPECT_EQ(repeat(used), Outcome(Unknown{Reason::KeyExpired}));
    EXPECT_EQ(repeat(unused), Outcome(NotRun{Reason::KeyBurned}));
    EXPECT_EQ(home_.nextWakeUp(), Millis::max());
}

TEST_F(HomeTest, serialsOutsideTheWindowAreUnknown)
{
    const auto key = issue();
    for (int i = 0; i < 64; ++i)
        issue();
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::Forgotten}));
    now_ = key.expiry_;
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::KeyExpired}));
}

TEST_F(HomeTest, foreignKeysChangeNothing)
{
    const auto key = issue();
    auto forged = key;
    forged.serial_ += 1;
    EXPECT_EQ(repeat(forged), Outcome(NotRun{Reason::BadKey}));
    auto stranger = request(key);
    stranger.customer_ = "south";
    EXPECT_EQ(tell(stranger).at(0),
              HomeCommand(Reply{stranger.waiter_, Unknown{Reason::KeyMismatch}}));
    auto otherProcess = key;
    otherProcess.home_.generation_ -= 1;
    EXPECT_EQ(repeat(otherProcess), Outcome(Unknown{Reason::OtherGeneration}));
    delegate(key);
    auto otherBody = request(key);
    otherBody.digest_ = 8;
    EXPECT_EQ(tell(otherBody).at(0),
              HomeCommand(Reply{otherBody.waiter_, Unknown{Reason::KeyMismatch}}));
}

TEST_F(HomeTest, anOverdueCallerHearsThatItStillRunsAndCanComeBack)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    now_ = now_ + Millis(60'000);
    EXPECT_EQ(tell(WakeUp{}).at(0), HomeCommand(Reply{1, Unknown{Reason::StillRunning}}));
    tell(ExecutorSaid{subKey, Complete{answer}});
    EXPECT_EQ(repeat(key), Outcome(Complete{answer}));
}

TEST_F(HomeTest, answersTooLargeToKeepAreDeliveredOnce)
{
    const auto key = issue();
    const auto large = std::make_shared<Answer>(Answer{200, {}, std::string(600, 'x')});
    const auto told = tell(ExecutorSaid{delegate(key), Complete{large}});
    EXPECT_EQ(told.at(0), HomeCommand(Reply{1, Complete{large}}));
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::AnswerNotKept}));
}

TEST_F(HomeTest, keysOfARunningCallEndWithIt)
{
    const auto use = [&](const std::string &context) {
        auto event = request(Key{});
        event.key_ = ContextKey{context, "k"};
        return tell(event);
    };
    const auto first = std::get<ChooseExecutor>(use("one").at(0));
    EXPECT_NE(std::get<ChooseExecutor>(use("two").at(0)).record_, first.record_);
    EXPECT_TRUE(use("one").empty());
    const auto told = tell(ContextEnded{"one"});
    EXPECT_EQ(told.at(0), HomeCommand(Reply{1, NotRun{Reason::Cancelled}}));
    EXPECT_EQ(home_.counts().records_, 1u);
    EXPECT_TRUE(tell(Chosen{first.record_, executorA}).empty());
}
