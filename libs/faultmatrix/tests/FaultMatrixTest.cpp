#include <Scenario.h>

#include <iostream>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

// Each run checks the user-visible guarantees that the request path can violate: attempts within
// the retry budget of the chain, no protected rank shed while a worse one is queued, a complete
// answer to the caller's own request, NotRun only for requests that never run, at most one run, no
// new requests at a draining instance, no request aborted by a graceful shutdown, no run in the
// name of another customer, and none with a key that was withdrawn for too long. How much of an
// allowance may run is tested in libs/allowance. The guarantee that an accepted release note stays
// in force is not checked, as it does not depend on the request path.

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

std::vector<Cell> applicableCells()
{
    auto cells = allCells();
    std::erase_if(cells, [](const Cell &cell) { return !inapplicableReason(cell).empty(); });
    return cells;
}

std::string describe(const RunResult &result)
{
    std::string text;
    for (const auto &violation : result.violations_)
        text += violation + "; ";
    return text;
}

bool isComplete(const once::Outcome &outcome)
{
    return std::holds_alternative<once::Complete>(outcome);
}

/** Whether the caller must receive a complete answer despite the fault. */
bool mustComplete(const Cell &cell)
{
    static const std::set<Fault> harmless = {Fault::Slow, Fault::Duplicate, Fault::LogDown,
                                             Fault::Drain, Fault::ColdStart};
    static const std::set<Fault> messageFaults = {Fault::LostMessage, Fault::Late,
                                                  Fault::Truncated};
    static const std::set<Step> retriedSteps = {Step::ToHome, Step::AnswerToHome,
                                                Step::AnswerToCaller};
    if (harmless.contains(cell.fault_))
        return true;
    return messageFaults.contains(cell.fault_) && retriedSteps.contains(cell.point_.step_);
}

} // namespace

TEST(FaultMatrix, withoutFaultsTheFirstRequestIsAnswered)
{
    const auto result = runScenario({});
    EXPECT_TRUE(result.violations_.empty()) << describe(result);
    ASSERT_EQ(result.outcomes_.size(), 3u);
    EXPECT_TRUE(isComplete(result.outcomes_[0]));
    EXPECT_EQ(result.outcomes_[1], result.outcomes_[0]);
    EXPECT_EQ(result.outcomes_[2], once::Outcome(once::Unknown{once::Reason::KeyExpired}));
}

TEST(FaultMatrix, withdrawnKeyIsUsedUntilDaemonsLearnOfIt)
{
    const auto result = runScenario({.isKeyWithdrawn_ = true});
    EXPECT_TRUE(result.violations_.empty()) << describe(result);
    std::size_t runs = 0;
    for (const auto &[name, request] : result.history_.requests_)
        runs += request.customer_ == "east" && !name.ends_with("/debit") ? request.runs_ : 0;
    EXPECT_GE(runs, 3u);
    EXPECT_LE(runs, 6u);
}

TEST(FaultMatrix, allowanceIsKept)
{
    const auto result = runScenario({.isAllowanceShort_ = true});
    EXPECT_TRUE(result.violations_.empty()) << describe(result);
    std::size_t runs = 0;
    for (const auto &[name, request] : result.history_.requests_)
        runs += request.customer_ == "west" && !name.ends_with("/debit") ? request.runs_ : 0;
    // 6 s at 4 requests a second, a burst of 2 and a tenth of a window more.
    EXPECT_GE(runs, 22u);
    EXPECT_LE(runs, 28u);
    EXPECT_EQ(runs + result.history_.refusedByAllowance_, 60u);
}

class OneFault : public testing::TestWithParam<Cell>
{
protected:
    static void TearDownTestSuite()
    {
        std::cout << "cells run: " << cellsRun << '\n';
        for (const auto &cell : allCells()) {
            if (const auto reason = inapplicableReason(cell); !reason.empty())
                std::cout << "does not apply: " << cell.name() << ": " << reason << '\n';
        }
    }

    static inline std::size_t cellsRun = 0;
};

TEST_P(OneFault, violatesNoGuarantee)
{
    const auto result = runScenario({.plan_ = {GetParam()}});
    ++cellsRun;
    EXPECT_TRUE(result.violations_.empty()) << describe(result);
    EXPECT_EQ(result.injectedFaults_, 1u) << "the planned fault was not injected";
    const bool isAnswered =
            std::any_of(result.outcomes_.begin(), result.outcomes_.end(), isComplete);
    EXPECT_TRUE(isAnswered || !mustComplete(GetParam()));
}

TEST_P(OneFault, violatesNoGuaranteeUnderOverload)
{
    const auto result = runScenario({.plan_ = {GetParam()}, .isOverloaded_ = true});
    ++cellsRun;
    EXPECT_TRUE(result.violations_.empty()) << describe(result);
}

TEST_P(OneFault, violatesNoGuaranteeWhileAKeyIsWithdrawn)
{
    const auto result = runScenario({.plan_ = {GetParam()}, .isKeyWithdrawn_ = true});
    ++cellsRun;
    EXPECT_TRUE(result.violations_.empty()) << describe(result);
}

TEST_P(OneFault, violatesNoGuaranteeWhileAnAllowanceIsShort)
{
    const auto result = runScenario({.plan_ = {GetParam()}, .isAllowanceShort_ = true});
    ++cellsRun;
    EXPECT_TRUE(result.violations_.empty()) << describe(result);
    EXPECT_GT(result.history_.refusedByAllowance_, 0u);
}

INSTANTIATE_TEST_SUITE_P(Matrix, OneFault, testing::ValuesIn(applicableCells()),
                         [](const auto &info) { return info.param.name(); });

class TwoFaults : public testing::TestWithParam<Cell>
{
protected:
    static void TearDownTestSuite()
    {
        std::cout << "pairs run: " << pairsRun << ", both faults injected in " << bothInjected
                  << '\n';
    }

    static inline std::size_t pairsRun = 0;
    static inline std::size_t bothInjected = 0;
};

TEST_P(TwoFaults, violateNoGuarantee)
{
    const auto cells = applicableCells();
    for (const auto &second : cells) {
        if (second < GetParam())
            continue;
        const auto result = runScenario({.plan_ = {GetParam(), second}});
        ++pairsRun;
        bothInjected += result.injectedFaults_ == 2;
        EXPECT_TRUE(result.violations_.empty()) << second.name() << ": " << describe(result);
    }
}

INSTANTIATE_TEST_SUITE_P(Matrix, TwoFaults, testing::ValuesIn(applicableCells()),
                         [](const auto &info) { return info.param.name(); });

RC_GTEST_PROP(RandomFaults, violateNoGuarantee, ())
{
    Scenario scenario;
    scenario.seed_ = *rc::gen::arbitrary<std::uint64_t>();
    scenario.budget_ = *rc::gen::inRange<std::uint32_t>(0, 6);
    scenario.callers_ = *rc::gen::inRange<std::size_t>(1, 6);
    scenario.isMemoryTight_ = *rc::gen::arbitrary<bool>();
    scenario.isOverloaded_ = *rc::gen::arbitrary<bool>();
    scenario.isKeyWithdrawn_ = *rc::gen::arbitrary<bool>();
    scenario.isAllowanceShort_ = *rc::gen::arbitrary<bool>();
    scenario.randomFaultProbability_ = *rc::gen::elementOf(std::vector<double>{0.01, 0.05, 0.2});
    for (std::uint64_t i = 0; i < 10; ++i, ++scenario.seed_) {
        const auto result = runScenario(scenario);
        RC_ASSERT(describe(result) == "");
    }
}
