#include <identity/PriorityRanks.h>

#include <algorithm>
#include <set>

namespace identity {

namespace {

int customerRankOf(const model::Customer *customer)
{
    return customer != nullptr ? customer->rank_.value_or(model::RequestClass::lowestRank)
                               : model::RequestClass::lowestRank;
}

int indexIn(const std::vector<int> &ranks, int rank)
{
    const auto found = std::lower_bound(ranks.begin(), ranks.end(), rank);
    return static_cast<int>(std::min(found, ranks.end() - 1) - ranks.begin());
}

} // namespace

PriorityRanks::PriorityRanks(const model::Config &config)
{
    const bool hasRanks = std::any_of(config.customers_.begin(), config.customers_.end(),
                                      [](const auto &entry) { return entry.second.rank_; });
    if (!hasRanks)
        return;
    std::set<int> customerRanks{customerRankOf(nullptr)};
    for (const auto &[name, customer] : config.customers_)
        customerRanks.insert(customerRankOf(&customer));
    std::set<int> classRanks;
    for (const auto &[name, requestClass] : config.classes_)
        classRanks.insert(requestClass.rank_);
    if (classRanks.empty())
        classRanks.insert(model::RequestClass::lowestRank);
    customerRanks_.assign(customerRanks.begin(), customerRanks.end());
    classRanks_.assign(classRanks.begin(), classRanks.end());
}

int PriorityRanks::rankOf(const model::Customer *customer, int classRank) const
{
    if (!dependOnCustomers())
        return classRank;
    const auto customers = static_cast<int>(customerRanks_.size());
    const auto classes = static_cast<int>(classRanks_.size());
    const auto customerIndex = indexIn(customerRanks_, customerRankOf(customer));
    const auto classIndex = indexIn(classRanks_, classRank);
    const auto perCustomer = std::min(classes, std::max(1, rankCount / customers));
    if (customers > rankCount)
        return customerIndex * rankCount / customers;
    return customerIndex * perCustomer + classIndex * perCustomer / classes;
}

} // namespace identity
