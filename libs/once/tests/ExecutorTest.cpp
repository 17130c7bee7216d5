#include <once/Executor.h>

#include <gtest/gtest.h>

using namespace once;
using base::Millis;

namespace {

const Incarnation self{"executor", 4};
const Incarnation home{"home", 2};
const AnswerPtr answer = std::make_shared<Answer>(Answer{201, {}, "done"});

ExecutorSettings smallSettings()
{
    ExecutorSettings settings;
    settings.maxRecords_ = 3;
    settings.maxRefused_ = 2;
    settings.maxHomes_ = 2;
    settings.maxAnswerBytes_ = 1000;
    return settings;
}

class ExecutorTest : public testing::Test
{
protected:
    static SubKey subKey(std::uint64_t number, Incarnation from = home)
    {
        return SubKey{std::move(from), number, self};
    }

    std::vector<ExecutorCommand> tell(const ExecutorEvent &event)
    {
        return executor_.handle(event, now_);
    }

    std::vector<ExecutorCommand> delegate(const SubKey &key, std::uint64_t settledBelow = 0)
    {
        return tell(Delegated{++waiter_, key, settledBelow, Millis(500)});
    }

    bool starts(const SubKey &key)
    {
        const auto told = delegate(key);
        return told.size() == 1 && std::holds_alternative<Admit>(told[0]);
    }

    /** What the home is told at once about the sub-key. */
    Outcome ask(const SubKey &key)
    {
        return std::get<Reply>(tell(Asked{++waiter_, key}).at(0)).outcome_;
    }

    void runToEnd(const SubKey &key, const AnswerPtr &given = answer)
    {
        EXPECT_TRUE(starts(key));
        tell(Admitted{key});
        tell(BackendAnswered{key, given});
    }

    Millis now_ = Millis(100);
    WaiterId waiter_ = 0;
    Executor executor_{self, smallSettings()};
};

} // namespace

TEST_F(ExecutorTest, sendsOnceAndTellsEverybodyTheSame)
{
    EXPECT_TRUE(starts(subKey(1)));
    EXPECT_TRUE(delegate(subKey(1)).empty());
    EXPECT_EQ(tell(Admitted{subKey(1)}),
              (std::vector<ExecutorCommand>{SendToBackend{subKey(1), Millis(500)}}));
    EXPECT_EQ(tell(Admitted{subKey(1)}), (std::vector<ExecutorCommand>{Abandon{subKey(1)}}));
    EXPECT_EQ(tell(BackendAnswered{subKey(1), answer}).size(), 2u);
    EXPECT_EQ(ask(subKey(1)), Outcome(Complete{answer}));
}

TEST_F(ExecutorTest, anAskBurnsWhatHasNotArrived)
{
    EXPECT_EQ(ask(subKey(1)), Outcome(NotRun{Reason::NeverArrived}));
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, refusesToStartAfterAPause)
{
    EXPECT_TRUE(starts(subKey(1)));
    now_ = now_ + Millis(500);
    const auto told = tell(Admitted{subKey(1)});
    EXPECT_EQ(told.at(0), ExecutorCommand(Reply{1, NotRun{Reason::DeadlinePassed}}));
    EXPECT_EQ(told.at(1), ExecutorCommand(Abandon{subKey(1)}));
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, neverRunsWhatItForgot)
{
    runToEnd(subKey(5));
    now_ = now_ + smallSettings().keepFinished_;
    tell(WaiterGone{});
    EXPECT_EQ(executor_.counts().records_, 0u);
    EXPECT_EQ(ask(subKey(5)), Outcome(Unknown{Reason::Forgotten}));
    EXPECT_FALSE(starts(subKey(5)));
    EXPECT_FALSE(starts(subKey(4)));
    EXPECT_TRUE(starts(subKey(6)));
}

TEST_F(ExecutorTest, forgetsWhatTheHomeHasSettled)
{
    runToEnd(subKey(1));
    EXPECT_TRUE(starts(subKey(2)));
    delegate(subKey(3), 3);
    EXPECT_EQ(executor_.counts().records_, 2u);
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, staysWithinItsMemory)
{
    for (const std::uint64_t number : {1, 2, 3})
        EXPECT_TRUE(starts(subKey(number)));
    for (const std::uint64_t number : {4, 5, 6}) {
        EXPECT_FALSE(starts(subKey(number)));
        EXPECT_LE(executor_.counts().records_, 5u);
    }
    // The oldest refusal gave way, and is not taken for new.
    EXPECT_EQ(ask(subKey(4)), Outcome(Unknown{Reason::Forgotten}));
    EXPECT_EQ(ask(subKey(5)), Outcome(NotRun{Reason::NoRoom, Millis(1000)}));
}

TEST_F(ExecutorTest, dropsTheOldestAnswersFirst)
{
    const auto large = std::make_shared<Answer>(Answer{200, {}, std::string(400, 'x')});
    for (const std::uint64_t number : {1, 2, 3})
        runToEnd(subKey(number), large);
    EXPECT_LE(executor_.counts().answerBytes_, 1000u);
    EXPECT_EQ(ask(subKey(1)), Outcome(Unknown{Reason::Forgotten}));
    EXPECT_EQ(ask(subKey(3)), Outcome(Complete{large}));
}

TEST_F(ExecutorTest, decidesOnlyOnItsOwnGenerationAndTheLatestOfTheHome)
{
    const SubKey forPredecessor{home, 1, {self.id_, self.generation_ - 1}};
    EXPECT_EQ(delegate(forPredecessor).at(0), ExecutorCommand(ReplyReplaced{1}));
    EXPECT_TRUE(starts(subKey(1)));
    // The waiter of the earlier home process hears about it before the new run starts.
    const auto told = delegate(subKey(1, {home.id_, home.generation_ + 1}));
    ASSERT_EQ(told.size(), 2u);
    EXPECT_EQ(told[0], ExecutorCommand(Reply{2, Unknown{Reason::OtherGeneration}}));
    EXPECT_TRUE(std::holds_alternative<Admit>(told[1]));
    EXPECT_EQ(ask(subKey(2)), Outcome(Unknown{Reason::OtherGeneration}));
    EXPECT_EQ(tell(Admitted{subKey(1)}).at(0), ExecutorCommand(Abandon{subKey(1)}));
}

TEST_F(ExecutorTest, aHomeTooManyIsRefusedForGood)
{
    EXPECT_TRUE(starts(subKey(1, {"a", 1})));
    EXPECT_TRUE(starts(subKey(1, {"b", 1})));
    now_ = now_ + Millis(3'600'000);
    EXPECT_FALSE(starts(subKey(1, {"c", 1})));
}

TEST_F(ExecutorTest, anAnswerLostAfterTheDispatchIsUnknown)
{
    EXPECT_TRUE(starts(subKey(1)));
    tell(Admitted{subKey(1)});
    EXPECT_EQ(tell(BackendLost{subKey(1)}).at(0),
              ExecutorCommand(Reply{1, Unknown{Reason::AnswerLost}}));
    // Too late to be believed: everybody has to hear the same.
    tell(BackendAnswered{subKey(1), answer});
    EXPECT_EQ(ask(subKey(1)), Outcome(Unknown{Reason::AnswerLost}));
}
