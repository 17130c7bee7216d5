#include <Scenario.h>

#include <iostream>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

// Each run checks of the promises to the users those that requests can break:
// attempts within the budget of the chain, a protected rank never shed while a worse one waits,
// the whole answer to the own request, "not run" only of what never runs, at most one run, no new
// work at an instance that is leaving, and nothing cut off by a graceful shutdown. That an accepted
// release note stays in force is no decision on the path of a request.

namespace {

std::vector<Cell> allCells()
{
    std::vector<Cell> all;
    for (std::size_t hop = 0; hop < hopCount; ++hop) {
        for (std::size_t step = 0; step < stepCount; ++step) {
            for (std::size_t fault = 0; fault < faultCount; ++fault)
                all.push_back({{static_cast<Step>(step), hop}, static_cast<Fault>(fault)});
        }
    }
    return all;
}

std::vector<Cell> cellsThatApply()
{
    auto cells = allCells();
    std::erase_if(cells, [](const Cell &cell) { return !whyNot(cell).empty(); });
    return cells;
}

std::string describe(const RunResult &result)
{
    std::string text;
    for (const auto &broken : result.broken_)
        text += broken + "; ";
    return text;
}

bool isComplete(const once::Outcome &outcome)
{
    return std::holds_alternative<once::Complete>(outcome);
}

/** Whether the caller must get its answer although the cell takes place. */
bool mustComplete(const Cell &cell)
{
    static const std::set<Fault> harmless = {Fault::Slow, Fault::Duplicate, Fault::LogDown,
                                             Fault::Drain, Fault::ColdStart};
    static const std::set<Fault> ofMessages = {Fault::LostMessage, Fault::Late, Fault::Truncated};
    static const std::set<Step> repeated = {Step::Received, Step::Relayed, Step::Delivered};
    if (harmless.contains(cell.fault_))
        return true;
    return ofMessages.contains(cell.fault_) && repeated.contains(cell.point_.step_);
}

} // namespace

TEST(FaultMatrix, withoutFaultsTheFirstRequestIsAnswered)
{
    const auto result = runScenario({});
    EXPECT_TRUE(result.broken_.empty()) << describe(result);
    ASSERT_EQ(result.told_.size(), 3u);
    EXPECT_TRUE(isComplete(result.told_[0]));
    EXPECT_EQ(result.told_[1], result.told_[0]);
    EXPECT_EQ(result.told_[2], once::Outcome(once::Unknown{once::Reason::KeyExpired}));
}

class OneFault : public testing::TestWithParam<Cell>
{
protected:
    static void TearDownTestSuite()
    {
        std::cout << "cells run: " << cellsRun << '\n';
        for (const auto &cell : allCells()) {
            if (const auto reason = whyNot(cell); !reason.empty())
                std::cout << "does not apply: " << cell.name() << ": " << reason << '\n';
        }
    }

    static inline std::size_t cellsRun = 0;
};

TEST_P(OneFault, breaksNoPromise)
{
    const auto result = runScenario({.plan_ = {GetParam()}});
    ++cellsRun;
    EXPECT_TRUE(result.broken_.empty()) << describe(result);
    EXPECT_EQ(result.fired_, 1u) << "the fault did not take place";
    const bool isAnswered = std::any_of(result.told_.begin(), result.told_.end(), isComplete);
    EXPECT_TRUE(isAnswered || !mustComplete(GetParam()));
}

TEST_P(OneFault, breaksNoPromiseUnderOverload)
{
    const auto result = runScenario({.plan_ = {GetParam()}, .isOverloaded_ = true});
    ++cellsRun;
    EXPECT_TRUE(result.broken_.empty()) << describe(result);
}

INSTANTIATE_TEST_SUITE_P(Matrix, OneFault, testing::ValuesIn(cellsThatApply()),
                         [](const auto &info) { return info.param.name(); });

class TwoFaults : public testing::TestWithParam<Cell>
{
protected:
    static void TearDownTestSuite()
    {
        std::cout << "pairs run: " << pairsRun << ", both faults took place in " << bothFired
                  << '\n';
    }

    static inline std::size_t pairsRun = 0;
    static inline std::size_t bothFired = 0;
};

TEST_P(TwoFaults, breakNoPromise)
{
    const auto cells = cellsThatApply();
    for (const auto &second : cells) {
        if (second < GetParam())
            continue;
        const auto result = runScenario({.plan_ = {GetParam(), second}});
        ++pairsRun;
        bothFired += result.fired_ == 2;
        EXPECT_TRUE(result.broken_.empty()) << second.name() << ": " << describe(result);
    }
}

INSTANTIATE_TEST_SUITE_P(Matrix, TwoFaults, testing::ValuesIn(cellsThatApply()),
                         [](const auto &info) { return info.param.name(); });

RC_GTEST_PROP(RandomFaults, breakNoPromise, ())
{
    Scenario scenario;
    scenario.seed_ = *rc::gen::arbitrary<std::uint64_t>();
    scenario.budget_ = *rc::gen::inRange<std::uint32_t>(0, 6);
    scenario.callers_ = *rc::gen::inRange<std::size_t>(1, 6);
    scenario.isMemoryTight_ = *rc::gen::arbitrary<bool>();
    scenario.isOverloaded_ = *rc::gen::arbitrary<bool>();
    scenario.chaos_ = *rc::gen::elementOf(std::vector<double>{0.01, 0.05, 0.2});
    for (std::uint64_t i = 0; i < 10; ++i, ++scenario.seed_) {
        const auto result = runScenario(scenario);
        RC_ASSERT(describe(result) == "");
    }
}
