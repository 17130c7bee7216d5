#include <CallTree.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

RC_GTEST_PROP(ChainBudget, boundsAttemptsOfACallTree, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto depth = *rc::gen::inRange<std::size_t>(1, 28);
    const auto branchSites = *rc::gen::inRange<std::size_t>(0, 40);
    const auto budget = *rc::gen::inRange<std::uint32_t>(0, 9);
    const auto unbudgetedCalls = *rc::gen::inRange<std::uint64_t>(0, 5);
    CallTree tree(seed, depth, branchSites);
    tree.callRoot(retry::RootCall{budget});
    for (std::uint64_t i = 0; i < unbudgetedCalls; ++i)
        tree.callRoot(retry::UnbudgetedCall{});
    tree.run();
    RC_ASSERT(tree.attempts_ <= tree.firstCalls_ + budget);
    const auto maxExecutions = *std::max_element(tree.executions_.begin(), tree.executions_.end());
    RC_ASSERT(maxExecutions <= 1 + budget + unbudgetedCalls);
}

TEST(ChainBudget, isExhaustedByAFaultyChain)
{
    // The limit of the property above is reached, so it is the budget that stops the attempts.
    bool isReached = false;
    for (std::uint64_t seed = 0; seed < 50 && !isReached; ++seed) {
        CallTree tree(seed, 27, 10);
        tree.callRoot(retry::RootCall{4});
        tree.run();
        isReached = tree.attempts_ == tree.firstCalls_ + 4;
    }
    EXPECT_TRUE(isReached);
}

TEST(ChainBudget, reclaimsAtMostTheAllocatedAttempts)
{
    retry::ChainBudget budget(5);
    const auto allocated = budget.allocate();
    EXPECT_EQ(allocated, 2u);
    EXPECT_EQ(budget.remaining(), 3u);
    budget.reclaim(allocated, 1000);
    EXPECT_EQ(budget.remaining(), 5u);
}
