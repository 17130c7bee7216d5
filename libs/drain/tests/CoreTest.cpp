#include <drain/Core.h>

#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using base::Millis;
using drain::Core;
using drain::OpenWork;
using drain::Schedule;
using drain::Step;
using Steps = std::vector<Step>;

namespace {

constexpr Schedule schedule{.timeout_ = Millis(9200), .handover_ = Millis(3000)};
constexpr Millis interval(100);
constexpr Millis start(50'000);

/** Advances the drain with the same work up to the given time; returns the time of each step. */
std::map<Step, Millis> runUntil(Core &core, const OpenWork &work, Millis from, Millis until)
{
    std::map<Step, Millis> times;
    for (auto elapsed = from; elapsed <= until; elapsed = elapsed + interval) {
        for (const auto step : core.advance(work, start + elapsed))
            times.emplace(step, elapsed);
    }
    return times;
}

} // namespace

TEST(DrainCore, idleDaemonLeavesOnceCallersHaveNoticed)
{
    Core core(schedule, start);
    const auto times = runUntil(core, {}, Millis(0), Millis(20'000));
    EXPECT_EQ(times, (std::map<Step, Millis>{{Step::RefuseCallers, Millis(2200)},
                                             {Step::HandOver, Millis(2200)},
                                             {Step::End, Millis(2200)}}));
}

TEST(DrainCore, backendServerStaysInUseWhileCallersWait)
{
    Core core(schedule, start);
    const auto times = runUntil(core, {.callerRequests_ = 1}, Millis(0), Millis(5000));
    EXPECT_EQ(times, (std::map<Step, Millis>{{Step::RefuseCallers, Millis(2200)},
                                             {Step::HandOver, Millis(3000)}}));
}

TEST(DrainCore, endsAsSoonAsTheLastWorkIsDone)
{
    Core core(schedule, start);
    runUntil(core, {.callerRequests_ = 1}, Millis(0), Millis(4000));
    EXPECT_EQ(core.advance({}, start + Millis(4100)), Steps{Step::End});
}

// Each kind of accepted work alone keeps the drain from ending.
TEST(DrainCore, doesNotEndWhileAnyAcceptedWorkIsOpen)
{
    for (const auto &work : {OpenWork{.callerRequests_ = 1}, OpenWork{.backendCalls_ = 1},
                             OpenWork{.runs_ = 1}, OpenWork{.undeliveredAnswers_ = 1}}) {
        Core core(schedule, start);
        const auto times = runUntil(core, work, Millis(0), Millis(9100));
        EXPECT_FALSE(times.contains(Step::End));
        EXPECT_FALSE(times.contains(Step::AnswerRest));
        EXPECT_EQ(times.at(Step::TakeBack), Millis(7700));
    }
}

TEST(DrainCore, answersTheRestBeforeItEndsAtTheTimeout)
{
    Core core(schedule, start);
    const auto times = runUntil(core, {.runs_ = 1}, Millis(0), Millis(20'000));
    EXPECT_EQ(times.at(Step::AnswerRest), schedule.timeout_);
    EXPECT_EQ(times.at(Step::End), schedule.timeout_ + Millis(200));
}

TEST(DrainCore, endsAtOnceWhenTheLastAnswersAreDelivered)
{
    Core core(schedule, start);
    runUntil(core, {.callerRequests_ = 1}, Millis(0), Millis(9200));
    EXPECT_EQ(core.advance({}, start + Millis(9210)), Steps{Step::End});
}

// The process was stopped from 1 s on until long after its timeout.
TEST(DrainCore, pausedProcessAnswersBeforeItEnds)
{
    Core core(schedule, start);
    const OpenWork work{.callerRequests_ = 1};
    runUntil(core, work, Millis(0), Millis(1000));
    EXPECT_EQ(core.advance(work, start + Millis(30'000)),
              (Steps{Step::RefuseCallers, Step::HandOver, Step::TakeBack}));
    EXPECT_EQ(core.advance(work, start + Millis(30'100)), Steps{Step::AnswerRest});
    EXPECT_EQ(core.advance(work, start + Millis(30'200)), Steps{});
    EXPECT_EQ(core.advance(work, start + Millis(30'300)), Steps{Step::End});
}

TEST(DrainCore, shortTimeoutLeavesCallersTheTimeToNotice)
{
    Core core({.timeout_ = Millis(0)}, start);
    const auto times = runUntil(core, {.callerRequests_ = 1}, Millis(0), Millis(20'000));
    EXPECT_EQ(times.at(Step::AnswerRest), Millis(2200));
}

TEST(DrainCore, acceptsAllRequestsUntilCallersHaveNoticed)
{
    const Core core(schedule, start);
    EXPECT_TRUE(core.accepts({.timeLeft_ = Millis(60'000)}, start + Millis(2100)));
}

TEST(DrainCore, acceptsRequestsWhoseDeadlineIsBeforeItsEnd)
{
    const Core core(schedule, start);
    EXPECT_TRUE(core.accepts({.timeLeft_ = Millis(2000)}, start + Millis(7000)));
    EXPECT_FALSE(core.accepts({.timeLeft_ = Millis(2000)}, start + Millis(7001)));
}

TEST(DrainCore, acceptsRequestsThatUsuallyEndInTime)
{
    const Core core(schedule, start);
    const drain::Expectation request{.timeLeft_ = Millis(10'000), .usualTime_ = Millis(1000)};
    EXPECT_TRUE(core.accepts(request, start + Millis(8000)));
    EXPECT_FALSE(core.accepts(request, start + Millis(8001)));
}

TEST(DrainCore, refusesLateRequestsOfWhichNothingIsKnown)
{
    const Core core(schedule, start);
    EXPECT_FALSE(core.accepts({.timeLeft_ = Millis(10'000)}, start + Millis(2200)));
}

// Work comes and goes, and the process is paused, at random.
RC_GTEST_PROP(DrainCore, leavesNothingOpenThatIsNotAnswered, ())
{
    Core core(schedule, start);
    auto now = start;
    Millis answeredAt = Millis::max();
    std::map<Step, int> counts;
    while (counts[Step::End] == 0) {
        const auto pause = *rc::gen::weightedElement<std::int64_t>({{50, 100}, {5, 10}, {1, 4000}});
        now = now + Millis(pause);
        const auto amount = rc::gen::weightedElement<std::size_t>({{3, 0}, {1, 2}});
        const OpenWork work{*amount, *amount, *amount, *amount};
        const auto steps = core.advance(work, now);
        RC_ASSERT(std::is_sorted(steps.begin(), steps.end()));
        const auto has = [&steps](Step step) {
            return std::find(steps.begin(), steps.end(), step) != steps.end();
        };
        for (const auto step : steps)
            RC_ASSERT(++counts[step] == 1);
        if (has(Step::End)) {
            RC_ASSERT(work == OpenWork() || answeredAt < now);
            RC_ASSERT(counts[Step::HandOver] == 1 && counts[Step::RefuseCallers] == 1);
        }
        if (has(Step::AnswerRest)) {
            RC_ASSERT(counts[Step::TakeBack] == 1);
            RC_ASSERT(!has(Step::TakeBack) && !has(Step::End));
            answeredAt = now;
        }
    }
    // Two steps and the time to write are all that may follow the first call after the timeout.
    RC_ASSERT(now - start <= schedule.timeout_ + Millis(3 * 4000 + 300));
    RC_ASSERT(core.advance({}, now + interval).empty());
}
