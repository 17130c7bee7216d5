#include <identity/Core.h>

#include <gtest/gtest.h>

#include "SimulatedFollowers.h"

using base::Millis;
using Fault = SimulatedFollowers::Fault;

namespace {

constexpr Millis revocationTime(5000);
constexpr Millis settleTime(5000);
constexpr Millis step(20);

/** Revision that withdraws the old key; the good key stays. */
constexpr model::Revision withdrawal = 2;

struct Size
{
    std::size_t dataCentres_;
    std::size_t daemons_; ///< in each data centre
};

std::ostream &operator<<(std::ostream &stream, const Size &size)
{
    return stream << size.dataCentres_ << " data centres of " << size.daemons_;
}

std::shared_ptr<const model::Config> configOf(model::Revision revision)
{
    auto config = std::make_shared<model::Config>();
    model::Customer customer{.name_ = "acme", .keys_ = {model::KeyDigest::of("good")}};
    if (revision < withdrawal)
        customer.keys_.push_back(model::KeyDigest::of("old"));
    config->addCustomer(customer);
    return config;
}

/** Which keys daemons admit while a key is withdrawn and some of them are out of touch. */
class Revocation : public ::testing::TestWithParam<Size>
{
protected:
    void start(std::uint64_t seed)
    {
        system_ = std::make_unique<SimulatedFollowers>(GetParam().dataCentres_, GetParam().daemons_,
                                                       seed);
        system_->useFallback();
        system_->write();
        system_->runFor(settleTime);
    }

    identity::Decision decide(std::size_t daemon, const char *key) const
    {
        identity::Core core(identity::Limits::of(revocationTime, follow::Options().inTouchAge_));
        core.configure(system_->revision(daemon) < withdrawal ? before_ : after_);
        core.confirm(system_->confirmedAt(daemon));
        return core.decide({.key_ = key}, system_->now());
    }

    bool admits(std::size_t daemon, const char *key) const
    {
        return std::holds_alternative<identity::Admitted>(decide(daemon, key));
    }

    /** Injects the fault into about a third of the daemons. */
    void injectIntoSome(Fault fault)
    {
        for (std::size_t daemon = 0; daemon < system_->count(); ++daemon) {
            if (random_.below(3) == 0)
                system_->inject(daemon, fault);
        }
        system_->inject(random_.below(system_->count()), fault);
    }

    /** Daemons, faulty ones included, that admit the key. */
    std::size_t admitting(const char *key) const
    {
        std::size_t count = 0;
        for (std::size_t daemon = 0; daemon < system_->count(); ++daemon)
            count += admits(daemon, key) ? 1U : 0U;
        return count;
    }

    /** Daemons without a fault that refuse the good key, or cannot say that a key is unknown. */
    std::size_t uncertain() const
    {
        std::size_t count = 0;
        for (std::size_t daemon = 0; daemon < system_->count(); ++daemon) {
            const bool isUnknown =
                    std::holds_alternative<identity::Unauthorized>(decide(daemon, "never held"));
            const bool isCertain = admits(daemon, "good") && isUnknown;
            count += !system_->isFaulty(daemon) && !isCertain ? 1U : 0U;
        }
        return count;
    }

    /** Runs on, and checks all daemons without a fault at every step. */
    void runInTouch(Millis time)
    {
        for (Millis passed; passed < time; passed = passed + step) {
            system_->runFor(step);
            ASSERT_EQ(uncertain(), 0U) << "at " << system_->now().count() << " ms";
        }
    }

    std::unique_ptr<SimulatedFollowers> system_;
    base::Random random_{17};
    const std::shared_ptr<const model::Config> before_ = configOf(withdrawal - 1);
    const std::shared_ptr<const model::Config> after_ = configOf(withdrawal);
};

class RevocationAcrossDataCentres : public Revocation
{};

constexpr Fault allFaults[] = {Fault::CutFromLog, Fault::RefusedByLog, Fault::CutOff,
                               Fault::Paused};

} // namespace

TEST_P(Revocation, withdrawnKeyIsAdmittedNowhereAfterTheRevocationTime)
{
    for (const auto fault : allFaults) {
        for (std::int64_t delay = 0; delay <= 3000; delay += 1000) {
            start(static_cast<std::uint64_t>(delay) + 1);
            EXPECT_EQ(admitting("old"), system_->count());
            injectIntoSome(fault);
            system_->runFor(Millis(delay));
            system_->write();
            system_->runFor(revocationTime);
            for (int i = 0; i < 200; ++i) {
                ASSERT_EQ(admitting("old"), 0U) << "fault " << static_cast<int>(fault);
                system_->runFor(step);
            }
        }
    }
}

// An answer of the log from before the pause is evidence of that time only.
TEST_P(Revocation, daemonThatWakesDoesNotAdmitAKeyThatWasWithdrawnMeanwhile)
{
    for (std::int64_t pause = 5000; pause <= 20'000; pause += 5000) {
        start(3);
        injectIntoSome(Fault::Paused);
        system_->write();
        system_->runFor(Millis(pause));
        for (std::size_t daemon = 0; daemon < system_->count(); ++daemon) {
            if (!system_->isFaulty(daemon))
                continue;
            EXPECT_FALSE(admits(daemon, "old"));
            system_->mend(daemon);
            EXPECT_FALSE(admits(daemon, "old"));
        }
        for (int i = 0; i < 100; ++i) {
            system_->runFor(step);
            ASSERT_EQ(admitting("old"), 0U);
        }
    }
}

TEST_P(Revocation, daemonsInTouchAreNeverUncertain)
{
    start(4);
    runInTouch(Millis(30'000));
    system_->write();
    runInTouch(Millis(5000));
}

TEST_P(Revocation, daemonsInTouchAreNotUncertainWhileOthersAreOutOfTouch)
{
    for (const auto fault : allFaults) {
        start(5);
        injectIntoSome(fault);
        runInTouch(Millis(10'000));
    }
}

TEST_P(Revocation, daemonsInTouchAreNotUncertainWithoutReaders)
{
    for (const auto fault : allFaults) {
        start(6);
        for (std::size_t dataCentre = 0; dataCentre < GetParam().dataCentres_; ++dataCentre) {
            for (std::size_t rank = 0; rank < 2; ++rank)
                system_->inject(system_->daemon(dataCentre, rank), fault);
        }
        runInTouch(Millis(10'000));
    }
}

TEST_P(Revocation, daemonsRefusedByTheLogServeGoodKeysOnTheWordOfOthers)
{
    start(7);
    injectIntoSome(Fault::RefusedByLog);
    for (int i = 0; i < 600; ++i) {
        system_->runFor(step);
        ASSERT_EQ(admitting("good"), system_->count()) << "after " << i * step.count() << " ms";
    }
}

// A data centre whose daemons are all refused asks elsewhere before its evidence is too old.
TEST_P(RevocationAcrossDataCentres, refusedDataCentreServesGoodKeysOnTheWordOfOtherDataCentres)
{
    start(8);
    for (std::size_t rank = 0; rank < GetParam().daemons_; ++rank)
        system_->inject(system_->daemon(0, rank), Fault::RefusedByLog);
    for (int i = 0; i < 600; ++i) {
        system_->runFor(step);
        ASSERT_EQ(admitting("good"), system_->count()) << "after " << i * step.count() << " ms";
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, Revocation,
                         ::testing::Values(Size{1, 4}, Size{1, 79}, Size{3, 100}));

INSTANTIATE_TEST_SUITE_P(Sizes, RevocationAcrossDataCentres,
                         ::testing::Values(Size{2, 2}, Size{3, 26}, Size{3, 100}));
