#include <details/Instance.h>
#include <details/Subset.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <Fixture.h>
#include <base/Hash.h>
#include <gtest/gtest.h>

using namespace routing::details;
using routing::tests::walletInstance;

namespace {

std::vector<std::shared_ptr<Instance>> instances(const std::string &daemonId, int count)
{
    std::vector<std::shared_ptr<Instance>> result;
    for (int i = 0; i < count; ++i) {
        auto member = std::make_shared<const model::Member>(walletInstance(i));
        result.push_back(std::make_shared<Instance>(
                std::move(member), base::Millis(),
                base::rendezvousWeight(daemonId, "w" + std::to_string(i))));
    }
    return result;
}

std::set<std::string> idsFor(const std::string &daemonId, int count, std::size_t size)
{
    std::set<std::string> result;
    for (const auto &instance : selectSubset(instances(daemonId, count), size))
        result.insert(instance->member().id_);
    return result;
}

} // namespace

TEST(Subset, boundsConnectionsPerInstance)
{
    constexpr int daemons = 700;
    constexpr int served = 100;
    constexpr std::size_t size = 20;
    std::map<std::string, int> connections;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        const auto ids = idsFor("daemon" + std::to_string(daemon), served, size);
        EXPECT_EQ(ids.size(), size);
        for (const std::string &id : ids)
            ++connections[id];
    }
    EXPECT_EQ(connections.size(), static_cast<std::size_t>(served));
    for (const auto &[id, count] : connections) {
        // Smallest connection limit of an instance.
        EXPECT_LT(count, 250) << id;
    }
}

TEST(Subset, addsAtMostOneInstanceWhenOneJoins)
{
    for (int daemon = 0; daemon < 50; ++daemon) {
        const std::string id = "daemon" + std::to_string(daemon);
        const auto before = idsFor(id, 100, 20);
        const auto after = idsFor(id, 101, 20);
        std::set<std::string> added;
        std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                            std::inserter(added, added.begin()));
        EXPECT_LE(added.size(), 1u);
    }
}
