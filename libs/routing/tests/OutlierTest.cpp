#include <Fixture.h>

#include <base/Random.h>
#include <gtest/gtest.h>

using namespace routing;
using namespace routing::tests;
using admission::Level;
using admission::Priority;
using base::Millis;

namespace {

constexpr Priority middle = {.rank_ = 5};

/** An instance in the own data centre and two in others, each of which fails a part of its calls.
 */
class Outliers : public testing::Test
{
protected:
    Outliers()
    {
        auto second = walletInstance(1);
        auto third = walletInstance(2);
        second.dataCentre_ = "elsewhere-1";
        third.dataCentre_ = "elsewhere-2";
        core_.handle(MembersChanged{{walletInstance(0), second, third}}, now_);
    }

    /** Part of the calls that fail, and that go to the own data centre, of a number of calls. */
    struct Shares
    {
        double failed_ = 0;
        double own_ = 0;
    };

    Shares play(const std::map<std::string, double> &failures, int calls = 2000)
    {
        Shares shares;
        for (int i = 0; i < calls; ++i) {
            now_ = now_ + Millis(5);
            const auto choice = core_.choose("wallet", middle, {}, now_);
            if (!choice) {
                ADD_FAILURE() << "no choice";
                continue;
            }
            const auto id = choice->member_->id_;
            core_.handle(Sent{id, middle}, now_);
            const bool hasFailed = random_.unit() < failures.at(id);
            core_.handle(Answered{id, hasFailed ? AnswerKind::Failed : AnswerKind::Complete, middle,
                                  Level::all()},
                         now_);
            shares.failed_ += (hasFailed ? 1.0 : 0.0) / calls;
            shares.own_ += (id == "w0" ? 1.0 : 0.0) / calls;
        }
        return shares;
    }

    Core core_{ownOptions()};
    base::Random random_{1};
    Millis now_ = Millis(1);
};

} // namespace

TEST_F(Outliers, theOwnDataCentreServesWhatItCan)
{
    EXPECT_GT(play({{"w0", 0.02}, {"w1", 0}, {"w2", 0}}).own_, 0.999);
}

// An instance that fails 45 of 100 requests while its probes are good, as on the users' days with
// srv_grey: a request of five calls would be complete for 5 in 100.
TEST_F(Outliers, anInstanceThatFailsMoreThanOthersGetsFewCalls)
{
    const std::map<std::string, double> failures = {{"w0", 0.45}, {"w1", 0.01}, {"w2", 0.01}};
    play(failures, 200);
    const auto shares = play(failures);
    EXPECT_LT(shares.failed_, 0.12);
    EXPECT_GT(shares.own_, 0.05) << "its recovery must be noticed";
}

TEST_F(Outliers, itGetsItsCallsBackWhenItHasRecovered)
{
    play({{"w0", 0.45}, {"w1", 0}, {"w2", 0}}, 400);
    play({{"w0", 0}, {"w1", 0}, {"w2", 0}}, 600);
    EXPECT_GT(play({{"w0", 0}, {"w1", 0}, {"w2", 0}}, 400).own_, 0.95);
}

// A service that all instances call has failed: going elsewhere would not help.
TEST_F(Outliers, failuresOfAllMoveNoCalls)
{
    const std::map<std::string, double> failures = {{"w0", 0.5}, {"w1", 0.5}, {"w2", 0.5}};
    play(failures, 400);
    EXPECT_GT(play(failures).own_, 0.8);
}
