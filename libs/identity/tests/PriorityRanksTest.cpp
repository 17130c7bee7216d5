#include <identity/PriorityRanks.h>

#include <gtest/gtest.h>

using identity::PriorityRanks;

namespace {

model::Config configOf(const std::vector<std::optional<int>> &customerRanks,
                       const std::vector<int> &classRanks)
{
    model::Config config;
    for (std::size_t i = 0; i < customerRanks.size(); ++i)
        config.addCustomer({.name_ = std::to_string(i), .rank_ = customerRanks[i]});
    for (const int rank : classRanks)
        config.classes_["c" + std::to_string(rank)].rank_ = rank;
    return config;
}

int rankOf(const model::Config &config, const std::string &customer, int classRank)
{
    return PriorityRanks(config).rankOf(&config.customers_.at(customer), classRank);
}

} // namespace

TEST(PriorityRanks, areThoseOfTheClassesWithoutRanksOfCustomers)
{
    const auto config = configOf({std::nullopt, std::nullopt}, {0, 5, 7});
    EXPECT_FALSE(PriorityRanks(config).dependOnCustomers());
    EXPECT_EQ(rankOf(config, "0", 5), 5);
    EXPECT_EQ(PriorityRanks(config).rankOf(nullptr, 7), 7);
}

TEST(PriorityRanks, customersGoBeforeClasses)
{
    const auto config = configOf({1, 4, 4, 9}, {0, 2, 6});
    EXPECT_EQ(rankOf(config, "0", 0), 0);
    EXPECT_EQ(rankOf(config, "0", 6), 2);
    EXPECT_EQ(rankOf(config, "1", 0), 3);
    EXPECT_EQ(rankOf(config, "2", 2), 4);
    EXPECT_EQ(rankOf(config, "3", 6), 8);
    EXPECT_EQ(PriorityRanks(config).rankOf(nullptr, 0), 6);
}

TEST(PriorityRanks, orderOfCustomersHoldsWhateverTheNumberOfPairs)
{
    for (int customers = 1; customers <= PriorityRanks::rankCount; ++customers) {
        for (int classes = 1; classes <= PriorityRanks::rankCount; ++classes) {
            model::Config config;
            for (int i = 0; i < customers; ++i)
                config.addCustomer({.name_ = std::to_string(i), .rank_ = i});
            for (int i = 0; i < classes; ++i)
                config.classes_[std::to_string(i)].rank_ = i;
            const PriorityRanks ranks(config);
            int previous = -1;
            for (int i = 0; i < customers; ++i) {
                const auto &customer = config.customers_.at(std::to_string(i));
                EXPECT_GT(ranks.rankOf(&customer, 0), previous);
                for (int j = 0; j < classes; ++j) {
                    const int rank = ranks.rankOf(&customer, j);
                    EXPECT_GE(rank, j == 0 ? previous + 1 : previous);
                    previous = rank;
                }
            }
            EXPECT_LT(previous, PriorityRanks::rankCount);
        }
    }
}
