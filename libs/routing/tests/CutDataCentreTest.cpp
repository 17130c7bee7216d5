#include <Fixture.h>

#include <deque>

#include <base/Random.h>
#include <gtest/gtest.h>

using namespace routing;
using namespace routing::tests;
using base::Millis;

namespace {

constexpr admission::Priority priority = {.rank_ = 2};
constexpr Millis callInterval(5);
constexpr Millis answerTime(30);
constexpr Millis connectTimeout(500);

/** Calls to a service without local instances; five instances in each of two data centres. */
class CutDataCentre : public testing::Test
{
protected:
    CutDataCentre()
    {
        std::vector<model::Member> members;
        for (int i = 0; i < 10; ++i)
            members.push_back(walletInstance(i, i < 5 ? "b" : "c", 100));
        core_.handle(MembersChanged{members}, now_);
        play(Millis(2000));
    }

    /** Returns the share of the calls of that time that were sent to "b". */
    double play(Millis duration)
    {
        int calls = 0;
        int callsToB = 0;
        for (const auto end = now_ + duration; now_ < end; now_ = now_ + callInterval) {
            endCalls();
            const auto choice = core_.choose("wallet", priority, {}, now_);
            if (!choice) {
                ADD_FAILURE() << "no choice";
                continue;
            }
            const auto &member = *choice->member_;
            const bool isToB = member.dataCentre_ == "b";
            const bool isLost = (isToB && isCut_) || member.id_ == deadInstance_;
            core_.handle(CallSent{member.id_, priority}, now_);
            (isLost ? lost_ : answered_).push_back({member.id_, now_});
            ++calls;
            callsToB += isToB ? 1 : 0;
        }
        return static_cast<double>(callsToB) / calls;
    }

    bool isCut_ = false;
    std::string deadInstance_;

private:
    struct OpenCall
    {
        std::string instance_;
        Millis sentAt_;
    };

    void endCalls()
    {
        for (; !answered_.empty() && answered_.front().sentAt_ + answerTime <= now_;
             answered_.pop_front())
            core_.handle(CallAnswered{.instance_ = answered_.front().instance_,
                                      .priority_ = priority,
                                      .level_ = admission::Level::all()},
                         now_);
        for (; !lost_.empty() && lost_.front().sentAt_ + connectTimeout <= now_; lost_.pop_front())
            core_.handle(CallFailed{lost_.front().instance_, FailureKind::NotSent}, now_);
    }

    Core core_{localOptions()};
    Millis now_ = Millis(1);
    std::deque<OpenCall> answered_;
    std::deque<OpenCall> lost_;
};

} // namespace

// A lost call costs its caller half a second, which is more than most requests take. Once the first
// calls have failed, one call a second is enough to notice the end of the cut.
TEST_F(CutDataCentre, losesOneCallASecond)
{
    isCut_ = true;
    play(connectTimeout + Millis(100));
    EXPECT_LE(play(Millis(5000)), 0.01);
}

TEST_F(CutDataCentre, regainsItsCallsOnceItAnswers)
{
    const double usual = play(Millis(2000));
    isCut_ = true;
    play(Millis(5000));
    isCut_ = false;
    play(Millis(2000));
    EXPECT_GT(play(Millis(2000)), 0.8 * usual);
}

TEST_F(CutDataCentre, oneDeadInstanceAvoidsNoOther)
{
    deadInstance_ = "w0";
    play(Millis(3000));
    EXPECT_GT(play(Millis(2000)), 0.35);
}
