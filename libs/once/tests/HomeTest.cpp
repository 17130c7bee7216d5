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

/** A home whose requests get consecutive waiter ids. */
class HomeTest : public testing::Test
{
protected:
    Key issue() { return home_.issueKey("north", "redeem", now_); }

    Request request(const Key &key, Millis deadline = Millis(60'000))
    {
        return Request{++waiter_, key, "north", "redeem", 7, now_ + deadline};
    }

    std::vector<HomeCommand> handleEvent(const HomeEvent &event)
    {
        return home_.handle(event, now_);
    }

    /** Uses the key for the first time and delegates its request. */
    SubKey delegate(const Key &key, const Incarnation &executor = executorA)
    {
        const auto chosen = handleEvent(request(key));
        const auto record = std::get<ChooseExecutor>(chosen.at(0)).record_;
        return std::get<Delegate>(handleEvent(Chosen{record, executor}).at(0)).subKey_;
    }

    /** Immediate outcome of a repetition of the key. */
    Outcome repeat(const Key &key)
    {
        return std::get<Reply>(handleEvent(request(key)).at(0)).outcome_;
    }

    Millis now_ = Millis(1000);
    WaiterId waiter_ = 0;
    Home home_{self, smallSettings(), "secret"};
};

} // namespace

TEST_F(HomeTest, repeatsShareTheFirstAnswer)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    EXPECT_TRUE(handleEvent(request(key)).empty());
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::TooManyWaiting}));
    const auto commands = handleEvent(ExecutorReplied{subKey, Complete{answer}});
    ASSERT_EQ(commands.size(), 3u);
    EXPECT_EQ(std::get<Reply>(commands[0]), (Reply{1, Complete{answer}}));
    EXPECT_EQ(std::get<Reply>(commands[1]), (Reply{2, Complete{answer}}));
    EXPECT_EQ(repeat(key), Outcome(Complete{answer}));
}

TEST_F(HomeTest, lostDelegationIsQueriedAtTheSameExecutor)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    EXPECT_TRUE(handleEvent(SendFailed{subKey, SendFailure::Lost}).empty());
    now_ = home_.nextWakeUp();
    EXPECT_EQ(handleEvent(WakeUp{}), (std::vector<HomeCommand>{QueryOutcome{subKey}}));
    // After a lost message neither event proves that the request has not run.
    EXPECT_TRUE(handleEvent(SendFailed{subKey, SendFailure::NotSent}).empty());
    handleEvent(ExecutorReplaced{subKey});
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::OtherGeneration}));
}

TEST_F(HomeTest, notRunDelegatesToAnotherExecutorUnderANewSubKey)
{
    const auto key = issue();
    const auto first = delegate(key);
    const NotRun notRun{Reason::Overloaded, Millis(5)};
    const auto retry = std::get<ChooseExecutor>(handleEvent(ExecutorReplied{first, notRun}).at(0));
    EXPECT_EQ(retry.attempt_, 2u);
    EXPECT_EQ(retry.last_, executorA);
    const auto second = std::get<Delegate>(handleEvent(Chosen{retry.record_, executorB}).at(0));
    EXPECT_NE(second.subKey_.number_, first.number_);
    EXPECT_EQ(second.settledBelow_, second.subKey_.number_);
    // A late outcome of the first delegation is ignored.
    EXPECT_TRUE(handleEvent(ExecutorReplied{first, Complete{answer}}).empty());
}

TEST_F(HomeTest, withdrawnRequestIsRecalledAndNotDelegatedAgain)
{
    const NotRun draining{Reason::Draining, Millis(200)};
    const auto key = issue();
    const auto subKey = delegate(key);
    EXPECT_EQ(handleEvent(Withdrawn{1, draining}), (std::vector<HomeCommand>{Recall{subKey}}));
    const auto commands = handleEvent(ExecutorReplied{subKey, NotRun{Reason::Cancelled}});
    EXPECT_EQ(commands.at(0), HomeCommand(Reply{1, draining}));
    EXPECT_EQ(repeat(key), Outcome(NotRun{Reason::KeyBurned}));
    EXPECT_TRUE(handleEvent(Withdrawn{1, draining}).empty());
}

TEST_F(HomeTest, withdrawnRequestThatRunsGetsItsAnswer)
{
    const auto subKey = delegate(issue());
    handleEvent(Withdrawn{1, {Reason::Draining, {}}});
    EXPECT_EQ(handleEvent(ExecutorReplied{subKey, Complete{answer}}).at(0),
              HomeCommand(Reply{1, Complete{answer}}));
}

TEST_F(HomeTest, withdrawnRequestWithoutExecutorIsBurned)
{
    const auto key = issue();
    const auto chosen = std::get<ChooseExecutor>(handleEvent(request(key)).at(0));
    const NotRun draining{Reason::Draining, Millis(200)};
    EXPECT_EQ(handleEvent(Withdrawn{1, draining}).at(0), HomeCommand(Reply{1, draining}));
    EXPECT_TRUE(handleEvent(Chosen{chosen.record_, executorA}).empty());
    EXPECT_EQ(repeat(key), Outcome(NotRun{Reason::KeyBurned}));
}

// A lost message leaves open whether the request has arrived, so it is asked for as before.
TEST_F(HomeTest, withdrawnRequestAfterALossIsStillQueried)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    handleEvent(SendFailed{subKey, SendFailure::Lost});
    EXPECT_EQ(handleEvent(Withdrawn{1, {Reason::Draining, {}}}),
              (std::vector<HomeCommand>{Recall{subKey}}));
    now_ = home_.nextWakeUp();
    EXPECT_EQ(handleEvent(WakeUp{}), (std::vector<HomeCommand>{QueryOutcome{subKey}}));
}

TEST_F(HomeTest, requestIsRecalledWhenItsLastCallerHasLeft)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    handleEvent(request(key));
    EXPECT_TRUE(handleEvent(CallerDisconnected{1}).empty());
    EXPECT_EQ(handleEvent(CallerDisconnected{2}), (std::vector<HomeCommand>{Recall{subKey}}));
    handleEvent(ExecutorReplied{subKey, NotRun{Reason::Cancelled}});
    EXPECT_EQ(repeat(key), Outcome(NotRun{Reason::KeyBurned}));
}

TEST_F(HomeTest, repetitionAfterARecallIsDelegatedAnew)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    handleEvent(CallerDisconnected{1});
    EXPECT_TRUE(handleEvent(request(key)).empty());
    const auto commands = handleEvent(ExecutorReplied{subKey, NotRun{Reason::Cancelled}});
    EXPECT_EQ(std::get<ChooseExecutor>(commands.at(0)).attempt_, 2u);
}

TEST_F(HomeTest, burnedKeyIsNeverRun)
{
    const auto key = issue();
    const auto chosen = std::get<ChooseExecutor>(handleEvent(request(key)).at(0));
    const NotRun notRun{Reason::NoInstance, Millis(9)};
    EXPECT_EQ(handleEvent(NotChosen{chosen.record_, notRun}).at(0), HomeCommand(Reply{1, notRun}));
    EXPECT_EQ(repeat(key), Outcome(NotRun{Reason::KeyBurned}));
    EXPECT_TRUE(handleEvent(Chosen{chosen.record_, executorA}).empty());
}

TEST_F(HomeTest, fullHomeRefusesNewKeysPermanently)
{
    const auto keys = std::array{issue(), issue(), issue()};
    delegate(keys[0]);
    const auto subKey = delegate(keys[1]);
    EXPECT_EQ(repeat(keys[2]), Outcome(NotRun{Reason::NoRoom, Millis(1000)}));
    handleEvent(ExecutorReplied{subKey, Complete{answer}});
    now_ = keys[1].expiry_ - Millis(1);
    EXPECT_EQ(repeat(keys[1]), Outcome(Complete{answer}));
    EXPECT_EQ(repeat(keys[2]), Outcome(NotRun{Reason::KeyBurned}));
    now_ = keys[2].expiry_;
    EXPECT_EQ(repeat(keys[2]), Outcome(NotRun{Reason::KeyBurned}));
}

TEST_F(HomeTest, fullHomeEvictsOldAnswersBeforeRefusing)
{
    const auto keys = std::array{issue(), issue(), issue(), issue()};
    delegate(keys[0]);
    const auto finished = delegate(keys[1]);
    handleEvent(ExecutorReplied{finished, Complete{answer}});
    now_ = now_ + smallSettings().minAnswerAge_;
    delegate(keys[2]);
    // The request ran, so it must neither run again nor be reported as not run.
    EXPECT_EQ(repeat(keys[1]), Outcome(Unknown{Reason::AnswerNotKept}));
    EXPECT_EQ(repeat(keys[3]), Outcome(NotRun{Reason::NoRoom, Millis(1000)}));
}

TEST_F(HomeTest, onlyAnUnusedExpiredKeyIsNotRun)
{
    const auto used = issue();
    const auto unused = issue();
    handleEvent(ExecutorReplied{delegate(used), Complete{answer}});
    now_ = unused.expiry_;
    EXPECT_EQ(repeat(unused), Outcome(NotRun{Reason::KeyExpired}));
    // The deadline of an answered request causes no wake-up.
    now_ = home_.nextWakeUp();
    EXPECT_GE(now_, used.expiry_);
    handleEvent(WakeUp{});
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

TEST_F(HomeTest, foreignKeysAreRejected)
{
    const auto key = issue();
    auto forged = key;
    forged.serial_ += 1;
    EXPECT_EQ(repeat(forged), Outcome(NotRun{Reason::BadKey}));
    auto otherCustomer = request(key);
    otherCustomer.customer_ = "south";
    EXPECT_EQ(handleEvent(otherCustomer).at(0),
              HomeCommand(Reply{otherCustomer.waiter_, Unknown{Reason::KeyMismatch}}));
    auto otherProcess = key;
    otherProcess.home_.generation_ -= 1;
    EXPECT_EQ(repeat(otherProcess), Outcome(Unknown{Reason::OtherGeneration}));
    delegate(key);
    auto otherBody = request(key);
    otherBody.digest_ = 8;
    EXPECT_EQ(handleEvent(otherBody).at(0),
              HomeCommand(Reply{otherBody.waiter_, Unknown{Reason::KeyMismatch}}));
}

TEST_F(HomeTest, callerPastItsDeadlineGetsStillRunningAndMayRepeat)
{
    const auto key = issue();
    const auto subKey = delegate(key);
    now_ = now_ + Millis(60'000);
    EXPECT_EQ(handleEvent(WakeUp{}).at(0), HomeCommand(Reply{1, Unknown{Reason::StillRunning}}));
    handleEvent(ExecutorReplied{subKey, Complete{answer}});
    EXPECT_EQ(repeat(key), Outcome(Complete{answer}));
}

TEST_F(HomeTest, answersTooLargeToKeepAreDeliveredOnce)
{
    const auto key = issue();
    const auto large = std::make_shared<Answer>(Answer{200, {}, std::string(600, 'x')});
    const auto commands = handleEvent(ExecutorReplied{delegate(key), Complete{large}});
    EXPECT_EQ(commands.at(0), HomeCommand(Reply{1, Complete{large}}));
    EXPECT_EQ(repeat(key), Outcome(Unknown{Reason::AnswerNotKept}));
}

TEST_F(HomeTest, contextKeysEndWithTheirCall)
{
    const auto use = [&](const std::string &context) {
        auto event = request(Key{});
        event.key_ = ContextKey{context, "k"};
        return handleEvent(event);
    };
    const auto first = std::get<ChooseExecutor>(use("one").at(0));
    EXPECT_NE(std::get<ChooseExecutor>(use("two").at(0)).record_, first.record_);
    EXPECT_TRUE(use("one").empty());
    const auto commands = handleEvent(ContextEnded{"one"});
    EXPECT_EQ(commands.at(0), HomeCommand(Reply{1, NotRun{Reason::Cancelled}}));
    EXPECT_EQ(home_.counts().records_, 1u);
    EXPECT_TRUE(handleEvent(Chosen{first.record_, executorA}).empty());
}
