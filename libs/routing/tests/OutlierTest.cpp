#include <Fixture.h>

#include <base/Random.h>
#include <gtest/gtest.h>

using namespace routing;
using namespace routing::tests;
using admission::Level;
using admission::Priority;
using base::Millis;

namespace {

constexpr Priority mediumPriority = {.rank_ = 5};

/** One local instance and two in other data centres, each failing a given share of its calls. */
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

    /** Shares of the calls that failed, and that went to the local data centre. */
    struct Shares
    {
        double failed_ = 0;
        double local_ = 0;
    };

    Shares sendCalls(const std::map<std::string, double> &failures, int calls = 2000)
    {
        Shares shares;
        for (int i = 0; i < calls; ++i) {
            now_ = now_ + Millis(5);
            const auto choice = core_.choose("wallet", mediumPriority, {}, now_);
            if (!choice) {
                ADD_FAILURE() << "no choice";
                continue;
            }
            const auto id = choice->member_->id_;
            core_.handle(CallSent{id, mediumPriority}, now_);
            const bool hasFailed = random_.unit() < failures.at(id);
            core_.handle(CallAnswered{id, hasFailed ? AnswerKind::Failed : AnswerKind::Complete,
                                      mediumPriority, Level::all()},
                         now_);
            shares.failed_ += (hasFailed ? 1.0 : 0.0) / calls;
            shares.local_ += (id == "w0" ? 1.0 : 0.0) / calls;
        }
        return shares;
    }

    Core core_{localOptions()};
    base::Random random_{1};
    Millis now_ = Millis(1);
};

} // namespace

TEST_F(Outliers, healthyLocalInstanceGetsNearlyAllCalls)
{
    EXPECT_GT(sendCalls({{"w0", 0.02}, {"w1", 0}, {"w2", 0}}).local_, 0.999);
}

// Gray failure: an instance fails 45 % of its requests while its health probes succeed, as seen on
// the users' days with srv_grey. A request that makes five calls would succeed in 5 % of cases.
TEST_F(Outliers, outlierGetsFewCalls)
{
    const std::map<std::string, double> failures = {{"w0", 0.45}, {"w1", 0.01}, {"w2", 0.01}};
    sendCalls(failures, 200);
    const auto shares = sendCalls(failures);
    EXPECT_LT(shares.failed_, 0.12);
    EXPECT_GT(shares.local_, 0.05) << "too few calls to detect its recovery";
}

TEST_F(Outliers, recoveredOutlierRegainsItsCalls)
{
    sendCalls({{"w0", 0.45}, {"w1", 0}, {"w2", 0}}, 400);
    sendCalls({{"w0", 0}, {"w1", 0}, {"w2", 0}}, 600);
    EXPECT_GT(sendCalls({{"w0", 0}, {"w1", 0}, {"w2", 0}}, 400).local_, 0.95);
}

// A shared downstream service fails, so moving calls to other instances would not help.
TEST_F(Outliers, failuresOfAllInstancesMoveNoCalls)
{
    const std::map<std::string, double> failures = {{"w0", 0.5}, {"w1", 0.5}, {"w2", 0.5}};
    sendCalls(failures, 400);
    EXPECT_GT(sendCalls(failures).local_, 0.8);
}
