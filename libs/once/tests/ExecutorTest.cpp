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

    std::vector<ExecutorCommand> handleEvent(const ExecutorEvent &event)
    {
        return executor_.handle(event, now_);
    }

    std::vector<ExecutorCommand> delegate(const SubKey &key, std::uint64_t settledBelow = 0)
    {
        return handleEvent(Delegated{++waiter_, key, settledBelow, Millis(500)});
    }

    bool starts(const SubKey &key)
    {
        const auto commands = delegate(key);
        return commands.size() == 1 && std::holds_alternative<Admit>(commands[0]);
    }

    /** Immediate reply to a home's query for the sub-key. */
    Outcome queryOutcome(const SubKey &key)
    {
        return std::get<Reply>(handleEvent(OutcomeQueried{++waiter_, key}).at(0)).outcome_;
    }

    void runToEnd(const SubKey &key, const AnswerPtr &given = answer)
    {
        EXPECT_TRUE(starts(key));
        handleEvent(Admitted{key});
        handleEvent(BackendAnswered{key, given});
    }

    Millis now_ = Millis(100);
    WaiterId waiter_ = 0;
    Executor executor_{self, smallSettings()};
};

} // namespace

TEST_F(ExecutorTest, sendsOnceAndRepliesTheSameToAllWaiters)
{
    EXPECT_TRUE(starts(subKey(1)));
    EXPECT_TRUE(delegate(subKey(1)).empty());
    EXPECT_EQ(handleEvent(Admitted{subKey(1)}),
              (std::vector<ExecutorCommand>{SendToBackend{subKey(1), Millis(500)}}));
    EXPECT_EQ(handleEvent(Admitted{subKey(1)}), (std::vector<ExecutorCommand>{Abandon{subKey(1)}}));
    EXPECT_EQ(handleEvent(BackendAnswered{subKey(1), answer}).size(), 2u);
    EXPECT_EQ(queryOutcome(subKey(1)), Outcome(Complete{answer}));
}

TEST_F(ExecutorTest, queryBeforeDelegationRefusesTheSubKey)
{
    EXPECT_EQ(queryOutcome(subKey(1)), Outcome(NotRun{Reason::NeverArrived}));
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, recallRefusesWhatHasNotStarted)
{
    EXPECT_TRUE(starts(subKey(1)));
    const Outcome notRun = NotRun{Reason::Cancelled};
    EXPECT_EQ(
            handleEvent(Recalled{9, subKey(1)}),
            (std::vector<ExecutorCommand>{Reply{1, notRun}, Abandon{subKey(1)}, Reply{9, notRun}}));
    EXPECT_EQ(handleEvent(Admitted{subKey(1)}), (std::vector<ExecutorCommand>{Abandon{subKey(1)}}));
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, recallBeforeDelegationRefusesTheSubKey)
{
    EXPECT_EQ(handleEvent(Recalled{9, subKey(1)}),
              (std::vector<ExecutorCommand>{Reply{9, NotRun{Reason::NeverArrived}}}));
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, recallLeavesARunningRequestToItsAnswer)
{
    EXPECT_TRUE(starts(subKey(1)));
    handleEvent(Admitted{subKey(1)});
    const std::vector<ExecutorCommand> running{Reply{9, Unknown{Reason::StillRunning}}};
    EXPECT_EQ(handleEvent(Recalled{9, subKey(1)}), running);
    EXPECT_EQ(handleEvent(BackendAnswered{subKey(1), answer}).at(0),
              ExecutorCommand(Reply{1, Complete{answer}}));
    EXPECT_EQ(handleEvent(Recalled{9, subKey(1)}), running);
}

TEST_F(ExecutorTest, recallOfAnEvictedSubKeyIsNotARefusal)
{
    runToEnd(subKey(5));
    now_ = now_ + smallSettings().finishedRetention_;
    handleEvent(WaiterDisconnected{});
    EXPECT_EQ(handleEvent(Recalled{9, subKey(5)}),
              (std::vector<ExecutorCommand>{Reply{9, Unknown{Reason::StillRunning}}}));
}

TEST_F(ExecutorTest, refusesToStartAfterTheDeadline)
{
    EXPECT_TRUE(starts(subKey(1)));
    now_ = now_ + Millis(500);
    const auto commands = handleEvent(Admitted{subKey(1)});
    EXPECT_EQ(commands.at(0), ExecutorCommand(Reply{1, NotRun{Reason::DeadlinePassed}}));
    EXPECT_EQ(commands.at(1), ExecutorCommand(Abandon{subKey(1)}));
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, refusesEvictedSubKeys)
{
    runToEnd(subKey(5));
    now_ = now_ + smallSettings().finishedRetention_;
    handleEvent(WaiterDisconnected{});
    EXPECT_EQ(executor_.counts().records_, 0u);
    EXPECT_EQ(queryOutcome(subKey(5)), Outcome(Unknown{Reason::Forgotten}));
    EXPECT_FALSE(starts(subKey(5)));
    EXPECT_FALSE(starts(subKey(4)));
    EXPECT_TRUE(starts(subKey(6)));
}

TEST_F(ExecutorTest, evictsRecordsBelowTheSettledNumber)
{
    runToEnd(subKey(1));
    EXPECT_TRUE(starts(subKey(2)));
    delegate(subKey(3), 3);
    EXPECT_EQ(executor_.counts().records_, 2u);
    EXPECT_FALSE(starts(subKey(1)));
}

TEST_F(ExecutorTest, limitsLiveAndRefusedRecords)
{
    for (const std::uint64_t number : {1, 2, 3})
        EXPECT_TRUE(starts(subKey(number)));
    for (const std::uint64_t number : {4, 5, 6}) {
        EXPECT_FALSE(starts(subKey(number)));
        EXPECT_LE(executor_.counts().records_, 5u);
    }
    // The oldest refusal was evicted, and its sub-key is not treated as new.
    EXPECT_EQ(queryOutcome(subKey(4)), Outcome(Unknown{Reason::Forgotten}));
    EXPECT_EQ(queryOutcome(subKey(5)), Outcome(NotRun{Reason::NoRoom, Millis(1000)}));
}

TEST_F(ExecutorTest, evictsTheOldestAnswersFirst)
{
    const auto large = std::make_shared<Answer>(Answer{200, {}, std::string(400, 'x')});
    for (const std::uint64_t number : {1, 2, 3})
        runToEnd(subKey(number), large);
    EXPECT_LE(executor_.counts().answerBytes_, 1000u);
    EXPECT_EQ(queryOutcome(subKey(1)), Outcome(Unknown{Reason::Forgotten}));
    EXPECT_EQ(queryOutcome(subKey(3)), Outcome(Complete{large}));
}

TEST_F(ExecutorTest, rejectsOtherExecutorAndOlderHomeGenerations)
{
    const SubKey forPredecessor{home, 1, {self.id_, self.generation_ - 1}};
    EXPECT_EQ(delegate(forPredecessor).at(0), ExecutorCommand(ReplyReplaced{1}));
    EXPECT_TRUE(starts(subKey(1)));
    // The waiter of the earlier home process is answered before the new request is admitted.
    const auto commands = delegate(subKey(1, {home.id_, home.generation_ + 1}));
    ASSERT_EQ(commands.size(), 2u);
    EXPECT_EQ(commands[0], ExecutorCommand(Reply{2, Unknown{Reason::OtherGeneration}}));
    EXPECT_TRUE(std::holds_alternative<Admit>(commands[1]));
    EXPECT_EQ(queryOutcome(subKey(2)), Outcome(Unknown{Reason::OtherGeneration}));
    EXPECT_EQ(handleEvent(Admitted{subKey(1)}).at(0), ExecutorCommand(Abandon{subKey(1)}));
}

TEST_F(ExecutorTest, refusesHomesBeyondTheLimitPermanently)
{
    EXPECT_TRUE(starts(subKey(1, {"a", 1})));
    EXPECT_TRUE(starts(subKey(1, {"b", 1})));
    now_ = now_ + Millis(3'600'000);
    EXPECT_FALSE(starts(subKey(1, {"c", 1})));
}

TEST_F(ExecutorTest, lostBackendAnswerIsUnknown)
{
    EXPECT_TRUE(starts(subKey(1)));
    handleEvent(Admitted{subKey(1)});
    EXPECT_EQ(handleEvent(BackendLost{subKey(1)}).at(0),
              ExecutorCommand(Reply{1, Unknown{Reason::AnswerLost}}));
    // A late answer is ignored, because all queries must get the same outcome.
    handleEvent(BackendAnswered{subKey(1), answer});
    EXPECT_EQ(queryOutcome(subKey(1)), Outcome(Unknown{Reason::AnswerLost}));
}
