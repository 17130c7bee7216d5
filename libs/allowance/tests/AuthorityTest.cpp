#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <allowance/Authority.h>

using namespace allowance;
using base::Millis;

namespace {

/** The partition of a group: conditional appends, repetitions get the first result. */
class Partition
{
public:
    AppendResult append(int sender, const Append &append)
    {
        const auto key = std::tuple(sender, append.series_, append.sequence_);
        if (const auto known = appended_.find(key); known != appended_.end())
            return Appended{known->second};
        if (append.expectedEnd_ != end_)
            return EndMoved{end_};
        appended_[key] = ++end_;
        return Appended{end_};
    }

    std::uint64_t end() const { return end_; }

private:
    std::uint64_t end_ = 0;
    std::map<std::tuple<int, std::uint64_t, std::uint64_t>, std::uint64_t> appended_;
};

/** Sends what is due and gives the result back at once. */
void run(Authority &authority, int sender, Partition &partition, Millis now)
{
    while (const auto append = authority.due(now))
        authority.onResult(*append, partition.append(sender, *append), now);
}

struct Sent
{
    int sender_ = 0;
    Append append_;
    Millis executesAt_;
    Millis answeredAt_;
    bool isExecuted_ = false;
    bool isAnswered_ = false;
    AppendResult result_ = NoAnswer{};
};

} // namespace

TEST(Authority, isTakenAtOnceFromAProcessThatHasEnded)
{
    const Settings settings;
    Partition partition;
    Authority former(settings);
    former.claim(Millis(0));
    run(former, 1, partition, Millis(0));
    Authority next(settings);
    next.claim(Millis(100));
    run(next, 2, partition, Millis(100));
    ASSERT_FALSE(next.tenure(Millis(100)));
    ASSERT_EQ(next.awaitedEnd(Millis(100)), partition.end());
    next.onHolderEnded(partition.end() + 1, Millis(110));
    run(next, 2, partition, Millis(110));
    ASSERT_FALSE(next.tenure(Millis(110))) << "the proof is of another record";
    next.onHolderEnded(partition.end(), Millis(120));
    run(next, 2, partition, Millis(120));
    const auto tenure = next.tenure(Millis(120));
    ASSERT_TRUE(tenure);
    EXPECT_EQ(tenure->quietUntil_, Millis(120) + settings.partValidity_ + settings.margin_);
}

TEST(Authority, isTakenALeaseAfterTheLastAnnouncement)
{
    const Settings settings;
    Partition partition;
    Authority former(settings);
    former.claim(Millis(0));
    run(former, 1, partition, Millis(0));
    Authority next(settings);
    next.onEndHeard(partition.end(), Millis(5));
    next.claim(Millis(1000));
    const auto over = Millis(5) + settings.lease_ + settings.margin_;
    run(next, 2, partition, over - Millis(1));
    EXPECT_FALSE(next.tenure(over - Millis(1)));
    run(next, 2, partition, over);
    EXPECT_TRUE(next.tenure(over));
}

TEST(Authority, isNotTakenByAnAnnouncementThatCameBeforeAnOutageOfTheLog)
{
    const Settings settings;
    Partition partition;
    Authority former(settings);
    former.claim(Millis(0));
    run(former, 1, partition, Millis(0));
    Authority next(settings);
    next.onEndHeard(partition.end(), Millis(5));
    next.claim(Millis(3000));
    const auto unanswered = next.due(Millis(3000));
    ASSERT_TRUE(unanswered);
    next.onResult(*unanswered, NoAnswer{}, Millis(3400));
    run(next, 2, partition, Millis(3500));
    EXPECT_FALSE(next.tenure(Millis(3500))) << "the former allotter has its ledger and goes first";
    EXPECT_EQ(next.awaitedEnd(Millis(3500)), partition.end());
}

TEST(Authority, isHeldAtOnceOnAnEmptyPartition)
{
    Partition partition;
    Authority authority{Settings()};
    EXPECT_FALSE(authority.due(Millis(5)));
    authority.claim(Millis(10));
    run(authority, 1, partition, Millis(10));
    const auto tenure = authority.tenure(Millis(10));
    ASSERT_TRUE(tenure);
    EXPECT_EQ(tenure->quietUntil_, Millis(10));
    EXPECT_EQ(tenure->validUntil_, Millis(10) + Settings().lease_);
}

TEST(Authority, isCountedFromTheFirstSendingOfARepeatedAppend)
{
    Partition partition;
    Authority authority{Settings()};
    authority.claim(Millis(0));
    const auto first = *authority.due(Millis(0));
    partition.append(1, first);
    authority.onResult(first, NoAnswer{}, Millis(400));
    EXPECT_FALSE(authority.due(Millis(500)));
    const auto second = *authority.due(Millis(600));
    EXPECT_EQ(second, first);
    authority.onResult(second, partition.append(1, second), Millis(601));
    EXPECT_EQ(authority.tenure(Millis(601))->validUntil_, Settings().lease_);
}

TEST(Authority, passesToAChallengerOnlyAfterTheLease)
{
    Partition partition;
    Authority holder{Settings()};
    Authority challenger{Settings()};
    holder.claim(Millis(0));
    run(holder, 1, partition, Millis(0));
    challenger.claim(Millis(100));
    run(challenger, 2, partition, Millis(100));
    EXPECT_FALSE(challenger.tenure(Millis(100)));
    for (Millis now(100); now < Millis(2800); now = now + Millis(50)) {
        run(challenger, 2, partition, now);
        EXPECT_FALSE(challenger.tenure(now)) << now.count();
    }
    run(challenger, 2, partition, Millis(2800));
    const auto tenure = challenger.tenure(Millis(2800));
    ASSERT_TRUE(tenure);
    EXPECT_GE(tenure->quietUntil_, Settings().lease_ + Settings().partValidity_);
    holder.claim(Millis(2900));
    run(holder, 1, partition, Millis(2900));
    EXPECT_FALSE(holder.tenure(Millis(2900)));
}

TEST(Authority, isNotTakenFromAHolderThatRenews)
{
    Partition partition;
    Authority holder{Settings()};
    Authority challenger{Settings()};
    for (Millis now(0); now < Millis(20'000); now = now + Millis(50)) {
        holder.claim(now);
        run(holder, 1, partition, now);
        challenger.claim(now);
        run(challenger, 2, partition, now);
        ASSERT_TRUE(holder.tenure(now)) << now.count();
    }
}

TEST(Authority, resumesTheTenureIfNobodyElseHadIt)
{
    Partition partition;
    Authority holder{Settings()};
    holder.claim(Millis(0));
    run(holder, 1, partition, Millis(0));
    const auto fence = holder.tenure(Millis(0))->fence_;
    holder.claim(Millis(60'000));
    EXPECT_FALSE(holder.tenure(Millis(60'000)));
    run(holder, 1, partition, Millis(60'000));
    ASSERT_TRUE(holder.tenure(Millis(60'000)));
    EXPECT_EQ(holder.tenure(Millis(60'000))->fence_, fence);
}

TEST(Authority, isHandedOverAtOnceAndOnlyIfNobodyCameBetween)
{
    Partition partition;
    Authority leaving{Settings()};
    Authority successor{Settings()};
    Authority late{Settings()};
    leaving.claim(Millis(0));
    run(leaving, 1, partition, Millis(0));
    const auto end = leaving.release();
    ASSERT_TRUE(end);
    EXPECT_FALSE(leaving.tenure(Millis(1)));
    leaving.claim(Millis(1));
    EXPECT_FALSE(leaving.due(Millis(1)));
    successor.claimAfterHandOver(*end, Millis(10));
    run(successor, 2, partition, Millis(10));
    ASSERT_TRUE(successor.tenure(Millis(10)));
    EXPECT_EQ(successor.tenure(Millis(10))->quietUntil_, Millis(10));
    late.claimAfterHandOver(*end, Millis(20));
    run(late, 3, partition, Millis(20));
    EXPECT_FALSE(late.tenure(Millis(20)));
    // A repeated message does not cost the successor its authority.
    successor.claimAfterHandOver(*end, Millis(30));
    run(successor, 2, partition, Millis(30));
    EXPECT_TRUE(successor.tenure(Millis(30)));
}

RC_GTEST_PROP(AuthorityProperty, neverHasTwoHolders, ())
{
    constexpr int claimants = 3;
    Partition partition;
    std::vector<Authority> authorities(claimants, Authority{Settings()});
    std::vector<Millis> frozenUntil(claimants);
    std::vector<Sent> calls;
    int holders = 0;
    for (Millis now(0); now < Millis(60'000); now = now + Millis(50)) {
        for (auto &call : calls) {
            if (!call.isExecuted_ && now >= call.executesAt_) {
                call.isExecuted_ = true;
                call.result_ = partition.append(call.sender_, call.append_);
            }
            const auto index = static_cast<std::size_t>(call.sender_);
            if (!call.isAnswered_ && now >= call.answeredAt_ && now >= frozenUntil[index]) {
                call.isAnswered_ = true;
                authorities[index].onResult(call.append_, call.result_, now);
            }
        }
        std::erase_if(calls, [](const Sent &call) { return call.isExecuted_ && call.isAnswered_; });
        holders = 0;
        for (int i = 0; i < claimants; ++i) {
            const auto index = static_cast<std::size_t>(i);
            holders += authorities[index].tenure(now) ? 1 : 0;
            if (now < frozenUntil[index])
                continue;
            if (*rc::gen::inRange(0, 200) == 0)
                frozenUntil[index] = now + Millis(*rc::gen::inRange(100, 6000));
            authorities[index].claim(now);
            if (const auto append = authorities[index].due(now)) {
                const auto executes = now + Millis(*rc::gen::element(0, 0, 50, 300, 2000, 6000));
                calls.push_back({i, *append, executes, now + Millis(400)});
            }
        }
        RC_ASSERT(holders <= 1);
    }
}
