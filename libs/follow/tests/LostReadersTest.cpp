#include <gtest/gtest.h>

#include "SimulatedFollowers.h"

using base::Millis;
using Fault = SimulatedFollowers::Fault;

namespace {

/** Time in which a change has to be in force, as the users' platform states it. */
constexpr Millis applyTime(2000);

/** How long a read and an inquiry of a cut or paused daemon stay open; then it is idle. */
constexpr Millis settleTime(5000);

/** The reader of a data centre, and the daemon that stands in for it first. */
constexpr std::size_t lostRanks = 2;

struct Size
{
    std::size_t dataCentres_;
    std::size_t daemons_; ///< in each data centre
};

std::ostream &operator<<(std::ostream &stream, const Size &size)
{
    return stream << size.dataCentres_ << " data centres of " << size.daemons_;
}

class LostReaders : public ::testing::TestWithParam<Size>
{
protected:
    SimulatedFollowers start(std::uint64_t seed) const
    {
        SimulatedFollowers system(GetParam().dataCentres_, GetParam().daemons_, seed);
        system.write();
        system.runFor(settleTime);
        return system;
    }

    void loseReaders(SimulatedFollowers &system, Fault fault) const
    {
        for (std::size_t dataCentre = 0; dataCentre < GetParam().dataCentres_; ++dataCentre) {
            for (std::size_t rank = 0; rank < lostRanks; ++rank)
                system.inject(system.daemon(dataCentre, rank), fault);
        }
    }

    /** Daemons without a fault at which the newest revision is not in force. */
    static std::size_t outdated(const SimulatedFollowers &system)
    {
        std::size_t count = 0;
        for (std::size_t daemon = 0; daemon < system.count(); ++daemon)
            count += !system.isFaulty(daemon) && system.revision(daemon) < system.newest() ? 1 : 0;
        return count;
    }

    /** Daemons that are no readers by rank and have read the log. */
    std::size_t standIns(const SimulatedFollowers &system) const
    {
        std::size_t count = 0;
        for (std::size_t daemon = 0; daemon < system.count(); ++daemon)
            count += daemon % GetParam().daemons_ > 0 && !system.isFaulty(daemon)
                                     && system.reads(daemon) > 0
                             ? 1
                             : 0;
        return count;
    }
};

constexpr Fault allFaults[] = {Fault::CutFromLog, Fault::Paused, Fault::Killed};

} // namespace

// The rule CONFIG: routes stay old at daemons that reach the log while its readers do not.
TEST_P(LostReaders, newRevisionIsInForceInTimeWithoutAnyReader)
{
    for (const auto fault : allFaults) {
        for (std::int64_t delay = 0; delay <= 1600; delay += 100) {
            auto system = start(static_cast<std::uint64_t>(delay) + 1);
            loseReaders(system, fault);
            system.runFor(Millis(delay));
            system.write();
            system.runFor(applyTime);
            EXPECT_EQ(outdated(system), 0U)
                    << "fault " << static_cast<int>(fault) << ", write after " << delay << " ms";
        }
    }
}

TEST_P(LostReaders, newRevisionIsInForceInTimeWhenNoAnnouncementArrives)
{
    for (const auto fault : allFaults) {
        auto system = start(7);
        system.setAnnouncing(false);
        loseReaders(system, fault);
        system.runFor(Millis(500));
        system.write();
        system.runFor(applyTime);
        EXPECT_EQ(outdated(system), 0U) << "fault " << static_cast<int>(fault);
    }
}

TEST_P(LostReaders, fewDaemonsStandIn)
{
    for (const auto fault : allFaults) {
        auto system = start(3);
        loseReaders(system, fault);
        system.resetReads();
        system.runFor(Millis(30'000));
        EXPECT_LE(standIns(system), 2 * GetParam().dataCentres_)
                << "fault " << static_cast<int>(fault);
    }
}

TEST_P(LostReaders, standInsStopWhenReadersAreBack)
{
    auto system = start(4);
    loseReaders(system, Fault::CutFromLog);
    system.runFor(Millis(10'000));
    for (std::size_t daemon = 0; daemon < system.count(); ++daemon) {
        if (system.isFaulty(daemon))
            system.mend(daemon);
    }
    system.runFor(settleTime);
    system.resetReads();
    system.runFor(Millis(30'000));
    EXPECT_EQ(standIns(system), 0U);
}

TEST_P(LostReaders, onlyReadersReadInCalm)
{
    auto system = start(5);
    system.runFor(settleTime);
    system.resetReads();
    constexpr Millis calm(30'000);
    system.runFor(calm);
    EXPECT_EQ(standIns(system), 0U);
    EXPECT_LE(system.reads(system.daemon(0, 0)),
              calm.count() / follow::Options().readWait_.count() + 1);
}

// The evidence of a paused daemon is as old as it was, not as old as its last answer.
TEST_P(LostReaders, daemonThatWakesDoesNotConfirmWhatItKnewBeforeThePause)
{
    auto system = start(6);
    const auto reader = system.daemon(0, 0);
    system.inject(reader, Fault::Paused);
    system.runFor(Millis(8000));
    for (std::size_t rank = 1; rank < lostRanks + 1; ++rank)
        system.inject(system.daemon(0, rank), Fault::Paused);
    system.runFor(Millis(300));
    system.write();
    system.runFor(Millis(100));
    system.inject(reader, Fault::CutFromLog);
    system.mend(reader);
    system.inject(reader, Fault::CutFromLog);
    system.runFor(applyTime - Millis(100));
    EXPECT_EQ(outdated(system), 0U);
}

TEST_P(LostReaders, outageOfTheLogIsFollowedByAQuickReturn)
{
    auto system = start(8);
    system.setLogReachable(false);
    system.runFor(Millis(9000));
    system.resetReads();
    system.runFor(Millis(10'000));
    int reads = 0;
    for (std::size_t daemon = 0; daemon < system.count(); ++daemon)
        reads += system.reads(daemon);
    // A read that fails takes a second, and the retry waits up to two.
    EXPECT_LE(reads, static_cast<int>(system.count()) * 6);
    system.setLogReachable(true);
    system.runFor(Millis(3000)); // from then on the platform counts the daemons as in touch
    system.write();
    system.runFor(applyTime);
    EXPECT_EQ(outdated(system), 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, LostReaders,
                         ::testing::Values(Size{1, 4}, Size{5, 19}, Size{5, 60}));
