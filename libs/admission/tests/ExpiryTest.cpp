#include <admission/Core.h>

#include <deque>
#include <functional>
#include <map>

#include <gtest/gtest.h>

#include <base/Overloaded.h>
#include <base/Random.h>

using namespace admission;
using base::Millis;

namespace {

constexpr std::uint32_t slots = 10;
constexpr Millis serviceTime(40);
constexpr Millis deadline(300);
constexpr std::size_t levelDelaySteps = 300; ///< steps of 1 ms until a level reaches the callers
constexpr int steps = 20'000;
constexpr int warmUpSteps = 5'000;

/**
 * Load of root requests that callers refuse by the level that the instance reported levelDelaySteps
 * before; the instance receives the calls of the others. Its queue capacity exceeds what it can run
 * within the deadline, so that requests expire rather than being shed.
 */
struct ExpiringLoad
{
    explicit ExpiringLoad(double arrivalsPerStep)
        : arrivalsPerStep_(arrivalsPerStep)
    {
        core_.handle(Configured{.slots_ = slots}, Millis(0));
    }

    void run()
    {
        for (int step = 1; step <= steps; ++step) {
            now_ = Millis(step);
            isMeasured_ = step > warmUpSteps;
            finishDueRequests();
            if (random_.unit() < arrivalsPerStep_)
                arrive();
            if (step % 20 == 0)
                execute(core_.handle(Tick{}, now_));
            levels_.push_back(core_.level("customer"));
        }
    }

    void finishDueRequests()
    {
        while (!running_.empty() && running_.begin()->first <= now_) {
            const auto id = running_.begin()->second;
            running_.erase(running_.begin());
            served_ += isMeasured_ ? 1 : 0;
            execute(core_.handle(Finished{id, Outcome::Ok, serviceTime}, now_));
        }
    }

    void arrive()
    {
        const Priority root{.rank_ = 2,
                            .bucket_ = static_cast<int>(random_.below(Priority::bucketCount))};
        const auto delayedLevel = levels_.size() > levelDelaySteps
                                          ? levels_[levels_.size() - levelDelaySteps]
                                          : Level::all();
        if (!delayedLevel.admits(root))
            return;
        sent_ += isMeasured_ ? 1 : 0;
        execute(core_.handle(Arrived{.id_ = ++id_,
                                     .priority_ = root.forChild(),
                                     .customer_ = "customer",
                                     .requestClass_ = "c",
                                     .deadline_ = now_ + deadline},
                             now_));
    }

    void execute(const std::vector<Command> &commands)
    {
        for (const auto &command : commands) {
            if (const auto *start = std::get_if<Start>(&command))
                running_.emplace(now_ + serviceTime, start->id_);
            else if (isMeasured_)
                ++refused_;
        }
    }

    double refusedShare() const { return static_cast<double>(refused_) / sent_; }

    Core core_;
    base::Random random_{1};
    const double arrivalsPerStep_;
    Millis now_;
    bool isMeasured_ = false;
    std::multimap<Millis, RequestId> running_;
    std::deque<Level> levels_;
    RequestId id_ = 0;
    int sent_ = 0;
    int served_ = 0;
    int refused_ = 0;
};

/** Number of requests that the instance can serve after the warm-up. */
constexpr double servableRequests = slots * (steps - warmUpSteps) / 40.0;

} // namespace

class Expiry : public ::testing::TestWithParam<double>
{};

// A root request with ten calls fails if any one of them expires, so few may expire.
TEST_P(Expiry, callersRefuseWhatWouldExpireInTheQueue)
{
    ExpiringLoad load(GetParam());
    load.run();
    EXPECT_LT(load.refusedShare(), 0.05) << load.refused_ << " of " << load.sent_;
    EXPECT_GT(load.served_, 0.85 * servableRequests);
}

INSTANTIATE_TEST_SUITE_P(Loads, Expiry, ::testing::Values(0.28, 0.4, 0.75));

TEST(Shedding, randomRefusalsKeepHalfOfTheSlots)
{
    Core core;
    core.handle(Configured{.slots_ = 100}, Millis(0));
    base::Random random(1);
    RequestId id = 0;
    for (int step = 1; step <= 5000; ++step) {
        const Millis now(step);
        for (const auto &command :
             core.handle(Arrived{.id_ = ++id, .requestClass_ = "c", .deadline_ = now + deadline},
                         now)) {
            if (!std::holds_alternative<Start>(command))
                continue;
            const auto outcome = random.unit() < 0.45 ? Outcome::Shed : Outcome::Ok;
            core.handle(Finished{id, outcome, Millis(1)}, now);
        }
    }
    EXPECT_GE(core.limit(), 50U);
}

namespace {

/** Limit of 100 slots after 5 s of a load that would use 80 of them; refused requests end at once.
 */
std::uint32_t limitAfter(const std::function<bool(std::size_t running, base::Random &)> &isRefused)
{
    constexpr int requestsPerMs = 4;
    constexpr Millis serviceTime(20);
    Core core;
    core.handle(Configured{.slots_ = 100}, Millis(0));
    base::Random random(1);
    std::deque<std::pair<Millis, RequestId>> running;
    RequestId id = 0;
    const std::function<void(const std::vector<Command> &, Millis)> start = [&](const std::vector<
                                                                                        Command>
                                                                                        &commands,
                                                                                Millis now) {
        for (const auto &command : commands) {
            const auto *started = std::get_if<Start>(&command);
            if (started == nullptr)
                continue;
            if (isRefused(running.size(), random))
                start(core.handle(Finished{started->id_, Outcome::Shed, Millis(1)}, now), now);
            else
                running.emplace_back(now + serviceTime, started->id_);
        }
    };
    for (int step = 1; step <= 5000; ++step) {
        const Millis now(step);
        while (!running.empty() && running.front().first <= now) {
            const auto ended = running.front().second;
            running.pop_front();
            start(core.handle(Finished{ended, Outcome::Ok, serviceTime}, now), now);
        }
        for (int i = 0; i < requestsPerMs; ++i)
            start(core.handle(Arrived{.id_ = ++id,
                                      .requestClass_ = "c",
                                      .deadline_ = now + Millis(1000)},
                              now),
                  now);
    }
    return core.limit();
}

} // namespace

// Fewer requests at a time would not be refused less often, but would wait.
TEST(Shedding, randomRefusalsKeepAllSlots)
{
    const auto limit =
            limitAfter([](std::size_t, base::Random &random) { return random.unit() < 0.45; });
    EXPECT_GE(limit, 90U);
}

TEST(Shedding, refusalsOfAFullServerLowerTheLimit)
{
    const auto limit =
            limitAfter([](std::size_t running, base::Random &) { return running >= 60; });
    EXPECT_LE(limit, 70U);
}
