#include <follow/ReadDuty.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using base::Millis;
using follow::Confirmation;
using follow::FetchConfig;
using follow::Inquire;
using follow::ReadDuty;

namespace {

const follow::Options options;

model::Address peer(std::size_t rank)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(rank + 1)};
}

/** The duty of a daemon of the given rank that has revision 5 in force and relies on others. */
ReadDuty relying(std::size_t rank)
{
    ReadDuty duty(options);
    follow::Peers peers;
    for (std::size_t i = 0; i < rank; ++i)
        peers.higherRanked_.push_back(peer(i));
    peers.members_ = rank + 1;
    duty.setPeers(std::move(peers), Millis(0));
    duty.setRevision(5);
    const auto asked = duty.advance(Millis(0));
    duty.onAnswer({asked.at(0).inquiry_, Confirmation{5, Millis(0)}}, Millis(0));
    return duty;
}

} // namespace

TEST(ReadDuty, confirmationsGrowOlderWithEachHopAndOnTheWay)
{
    auto duty = relying(3);
    const auto asked = duty.advance(Millis(800));
    ASSERT_EQ(asked.size(), 1U);
    duty.onAnswer({asked[0].inquiry_, Confirmation{5, Millis(300)}}, Millis(850));
    EXPECT_EQ(duty.confirmation(Millis(900)), (Confirmation{5, Millis(400)}));
}

TEST(ReadDuty, confirmationOfAnOlderRevisionIsNoEvidence)
{
    auto duty = relying(3);
    const auto asked = duty.advance(Millis(800));
    EXPECT_FALSE(duty.onAnswer({asked.at(0).inquiry_, Confirmation{4, Millis(0)}}, Millis(810)));
    EXPECT_EQ(duty.evidenceAge(Millis(810)), Millis(810));
}

TEST(ReadDuty, confirmationOfANewerRevisionIsFetchedAndNoEvidence)
{
    auto duty = relying(3);
    const auto asked = duty.advance(Millis(800));
    EXPECT_EQ(duty.onAnswer({asked.at(0).inquiry_, Confirmation{6, Millis(0)}}, Millis(810)),
              (FetchConfig{asked.at(0).to_, 6}));
    EXPECT_EQ(duty.evidenceAge(Millis(810)), Millis(810));
}

TEST(ReadDuty, secondAnswerToAnInquiryIsIgnored)
{
    auto duty = relying(3);
    const auto asked = duty.advance(Millis(800));
    duty.onAnswer({asked.at(0).inquiry_, std::nullopt}, Millis(900));
    duty.onAnswer({asked.at(0).inquiry_, Confirmation{5, Millis(0)}}, Millis(900));
    EXPECT_EQ(duty.evidenceAge(Millis(900)), Millis(900));
}

TEST(ReadDuty, unansweredInquiryIsFollowedByOneAtAnotherDaemon)
{
    auto duty = relying(3);
    const auto first = duty.advance(Millis(800));
    duty.onAnswer({first.at(0).inquiry_, std::nullopt}, Millis(1050));
    const auto second = duty.advance(Millis(1050));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].to_, first[0].to_);
}

TEST(ReadDuty, severalDaemonsAreAskedBeforeAReadOfItsOwn)
{
    auto duty = relying(4);
    const auto end = options.maxAge_ + options.maxRankDelay_;
    const auto asked = duty.advance(end);
    EXPECT_EQ(asked.size(), options.maxInquiries_);
    EXPECT_FALSE(duty.isReading());
    duty.advance(end + options.lastInquiry_);
    EXPECT_TRUE(duty.isReading());
}

TEST(ReadDuty, daemonsOfAHigherRankReadFirst)
{
    for (std::size_t rank = options.minReaders_; rank < options.minReaders_ + 2; ++rank) {
        auto higher = relying(rank);
        auto lower = relying(rank + 1);
        Millis now;
        for (; !higher.isReading(); now = now + Millis(10)) {
            higher.advance(now);
            lower.advance(now);
            ASSERT_FALSE(lower.isReading());
        }
    }
}

TEST(ReadDuty, demotedReaderReadsOnUntilItIsConfirmed)
{
    ReadDuty duty(options);
    EXPECT_TRUE(duty.isElected());
    duty.setPeers({{peer(0)}, 2}, Millis(10'000));
    EXPECT_FALSE(duty.isElected());
    EXPECT_TRUE(duty.isReading());
}

TEST(ReadDuty, nothingIsConfirmedWithoutEvidence)
{
    EXPECT_EQ(ReadDuty(options).confirmation(Millis(1000)), std::nullopt);
}

// Whatever others answer, a daemon reads in time after its evidence has become too old.
RC_GTEST_PROP(ReadDuty, neverReliesOnOldEvidence, ())
{
    const auto rank = *rc::gen::inRange<std::size_t>(options.minReaders_, 40);
    auto duty = relying(rank);
    const auto longest = options.maxAge_ + options.maxRankDelay_ + options.lastInquiry_;
    std::vector<Inquire> open;
    Millis now;
    for (int step = 0; step < 200; ++step) {
        now = std::min(now + Millis(*rc::gen::inRange(1, 120)), std::max(now, duty.nextStep()));
        for (const auto &inquiry : duty.advance(now))
            open.push_back(inquiry);
        RC_ASSERT(duty.isReading() || duty.evidenceAge(now) <= longest);
        if (open.empty() || !*rc::gen::arbitrary<bool>())
            continue;
        const auto revision = *rc::gen::inRange<model::Revision>(4, 7);
        const Confirmation confirmation{revision, Millis(*rc::gen::inRange(0, 3000))};
        duty.onAnswer({open.back().inquiry_, confirmation}, now);
        open.pop_back();
    }
}
