#include <Fixture.h>

#include <cmath>
#include <functional>
#include <map>
#include <queue>

#include <base/Random.h>
#include <gtest/gtest.h>

using namespace routing;
using namespace routing::tests;
using base::Millis;

namespace {

// Never saturates, so that a slow instance shows only in its number of calls in flight.
constexpr std::uint32_t ampleSlots = 5000;

/** Simulates calls from one entry to four instances, each with its own mean service time. */
class LoadSimulation
{
public:
    LoadSimulation(std::vector<double> meanMs, double requestsPerSecond)
        : core_(localOptions())
        , meanServiceMs_(std::move(meanMs))
        , requestsPerSecond_(requestsPerSecond)
    {
        std::vector<model::Member> members;
        for (std::size_t i = 0; i < meanServiceMs_.size(); ++i)
            members.push_back(walletInstance(static_cast<int>(i), "a", ampleSlots));
        core_.handle(MembersChanged{members}, now_);
    }

    /** Returns the share of calls that each instance received; reports are applied before each
     * call. */
    std::map<std::string, double> run(Millis until, const std::vector<InstanceReported> &reports)
    {
        std::map<std::string, double> shares;
        double calls = 0.0;
        for (; now_ < until; now_ = now_ + exponential(1000.0 / requestsPerSecond_)) {
            completeCalls();
            for (const InstanceReported &report : reports)
                core_.handle(report, now_);
            const auto choice = core_.choose("wallet", {}, {}, now_);
            const std::string id = choice->member_->id_;
            core_.handle(CallSent{id, {}}, now_);
            completions_.emplace(now_ + exponential(meanServiceMs_[id.back() - '0']), id);
            shares[id] += 1.0;
            calls += 1.0;
        }
        for (auto &[id, share] : shares)
            share /= calls;
        return shares;
    }

private:
    Millis exponential(double meanMs)
    {
        return Millis::fromMicros(
                static_cast<std::int64_t>(-1000.0 * meanMs * std::log(1.0 - random_.unit())));
    }

    void completeCalls()
    {
        while (!completions_.empty() && completions_.top().first <= now_) {
            core_.handle(CallAnswered{.instance_ = completions_.top().second},
                         completions_.top().first);
            completions_.pop();
        }
    }

    using Completion = std::pair<Millis, std::string>;

    Core core_;
    base::Random random_ = base::Random(7);
    std::vector<double> meanServiceMs_;
    double requestsPerSecond_;
    Millis now_ = Millis(1);
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
};

constexpr double evenShare = 0.25;

} // namespace

TEST(RoutingLoad, idleReportDoesNotAttractCallsToOverloadedInstance)
{
    LoadSimulation calls({2000, 20, 20, 20}, 1000);
    const std::vector<InstanceReported> reports = {
            {"w0", true, 0.0}, {"w1", true, 1.0}, {"w2", true, 1.0}, {"w3", true, 1.0}};
    EXPECT_LT(calls.run(Millis(20000), reports)["w0"], evenShare / 5);
}

TEST(RoutingLoad, stuckUnhealthyReportDoesNotExcludeInstance)
{
    LoadSimulation calls({20, 20, 20, 20}, 1000);
    EXPECT_GT(calls.run(Millis(20000), {{"w0", false, 0.0}})["w0"], evenShare / 4);
}

TEST(RoutingLoad, unhealthyReportsOfAllInstancesChangeNothing)
{
    LoadSimulation calls({20, 20, 20, 20}, 1000);
    const std::vector<InstanceReported> reports = {
            {"w0", false}, {"w1", false}, {"w2", false}, {"w3", false}};
    for (const auto &[id, share] : calls.run(Millis(20000), reports))
        EXPECT_NEAR(share, evenShare, 0.05) << id;
}

TEST(RoutingLoad, stuckHealthyReportDoesNotPreventEjection)
{
    Core core(localOptions());
    core.handle(MembersChanged{{walletInstance(0), walletInstance(1)}}, Millis(1));
    int sentToFailing = 0;
    for (Millis now = Millis(1); now < Millis(60000); now = now + Millis(10)) {
        core.handle(InstanceReported{"w0", true, 0.0}, now);
        const auto choice = core.choose("wallet", {}, {}, now);
        ASSERT_TRUE(choice);
        const std::string id = choice->member_->id_;
        core.handle(CallSent{id, {}}, now);
        sentToFailing += id == "w0" ? 1 : 0;
        if (id == "w0")
            core.handle(CallFailed{id, FailureKind::Lost}, now);
        else
            core.handle(CallAnswered{.instance_ = id}, now);
    }
    // Of 6,000 calls in 60 s, five lead to the first ejection, then one follows each ejection of
    // 1, 2, 4, 4, ... s.
    EXPECT_LE(sentToFailing, 5 + 17);
}
