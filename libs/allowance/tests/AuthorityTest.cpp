#include <algorithm>
#include <array>
#include <functional>
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

/** Processes that claim one group, with calls, announcements and proofs that take any time. */
class Claimants
{
public:
    void step(Millis now)
    {
        executeAndAnswer(now);
        std::erase_if(notices_, [&](const Notice &notice) { return deliver(notice, now); });
        for (std::size_t index = 0; index < processes_.size(); ++index) {
            checkTenure(index, now);
            if (now >= processes_[index].frozenUntil_)
                act(index, now);
        }
        const auto holders =
                std::count_if(processes_.begin(), processes_.end(), [now](const Process &process) {
                    return process.authority_.tenure(now).has_value();
                });
        RC_ASSERT(holders <= 1);
    }

private:
    struct Process
    {
        int id_ = 0;
        Authority authority_{Settings()};
        Millis frozenUntil_;
        bool isLeaving_ = false;
        std::uint64_t fence_ = 0; ///< of the last tenure that was checked
    };

    /** Something that a process is told. */
    struct Notice
    {
        int to_ = 0;
        Millis at_;
        std::function<void(Authority &, Millis)> tell_;
    };

    void executeAndAnswer(Millis now)
    {
        for (auto &call : calls_) {
            if (!call.isExecuted_ && now >= call.executesAt_) {
                call.isExecuted_ = true;
                const auto end = partition_.end();
                call.result_ = partition_.append(call.sender_, call.append_);
                if (partition_.end() != end)
                    lastSender_ = call.sender_;
            }
            auto *sender = find(call.sender_);
            if (sender == nullptr) {
                call.isAnswered_ = true;
            } else if (!call.isAnswered_ && now >= call.answeredAt_
                       && now >= sender->frozenUntil_) {
                call.isAnswered_ = true;
                sender->authority_.onResult(call.append_, call.result_, now);
            }
        }
        std::erase_if(calls_,
                      [](const Sent &call) { return call.isExecuted_ && call.isAnswered_; });
    }

    bool deliver(const Notice &notice, Millis now)
    {
        auto *to = find(notice.to_);
        if (to == nullptr)
            return true;
        if (now < notice.at_ || now < to->frozenUntil_)
            return false;
        notice.tell_(to->authority_, now);
        return true;
    }

    /** Whatever the former allotters granted has to be covered by the new tenure. */
    void checkTenure(std::size_t index, Millis now)
    {
        auto &process = processes_[index];
        const auto tenure = process.authority_.tenure(now);
        if (!tenure)
            return;
        if (tenure->fence_ != process.fence_) {
            process.fence_ = tenure->fence_;
            const Settings settings;
            const bool coversGrants = tenure->quietUntil_ >= grantedAt_ + settings.partValidity_
                                      && tenure->since_ >= grantedAt_ + settings.grantAge_;
            // Less is needed only if nobody granted anything since a hand-over.
            const auto released = released_.find(tenure->fence_ - 1);
            const bool isHandedOver = released != released_.end() && grantedAt_ <= released->second;
            RC_ASSERT(tenure->fence_ == 1 || coversGrants || isHandedOver);
        }
        grantedAt_ = now;
    }

    void act(std::size_t index, Millis now)
    {
        auto &process = processes_[index];
        if (*rc::gen::inRange(0, 200) == 0)
            process.frozenUntil_ = now + Millis(*rc::gen::inRange(100, 6000));
        if (*rc::gen::inRange(0, process.isLeaving_ ? 20 : 150) == 0) {
            process = Process{.id_ = ++lastId_};
            return;
        }
        if (!process.isLeaving_ && *rc::gen::inRange(0, 300) == 0)
            leave(index, now);
        process.authority_.claim(now);
        if (const auto append = process.authority_.due(now)) {
            const auto executes = now + Millis(*rc::gen::element(0, 0, 50, 300, 2000, 6000));
            const auto answered =
                    std::min(now + Millis(400), executes + Millis(*rc::gen::element(10, 400)));
            calls_.push_back({process.id_, *append, executes, answered});
        }
        if (const auto end = process.authority_.awaitedEnd(now);
            end && *end == partition_.end() && find(lastSender_) == nullptr)
            tell(process.id_, now, [end = *end](Authority &authority, Millis at) {
                authority.onHolderEnded(end, at);
            });
        if (const auto tenure = process.authority_.tenure(now);
            tenure && *rc::gen::inRange(0, 10) == 0) {
            for (const auto &other : processes_) {
                if (other.id_ != process.id_)
                    tell(other.id_, now, [end = tenure->end_](Authority &authority, Millis at) {
                        authority.onEndHeard(end, at);
                    });
            }
        }
    }

    void leave(std::size_t index, Millis now)
    {
        auto &process = processes_[index];
        process.isLeaving_ = true;
        if (const auto end = process.authority_.release()) {
            released_[*end] = now;
            const auto successor = processes_[(index + 1) % processes_.size()].id_;
            tell(successor, now, [end = *end](Authority &authority, Millis at) {
                authority.claimAfterHandOver(end, at);
            });
        }
    }

    /** Once or twice, soon or late. */
    void tell(int to, Millis now, std::function<void(Authority &, Millis)> what)
    {
        for (int copy = 0; copy < *rc::gen::element(1, 1, 1, 2); ++copy)
            notices_.push_back({to, now + Millis(*rc::gen::element(0, 0, 50, 300, 3000)), what});
    }

    Process *find(int id)
    {
        const auto found = std::find_if(processes_.begin(), processes_.end(),
                                        [id](const Process &process) { return process.id_ == id; });
        return found != processes_.end() ? &*found : nullptr;
    }

    std::array<Process, 3> processes_{Process{.id_ = 0}, Process{.id_ = 1}, Process{.id_ = 2}};
    Partition partition_;
    std::vector<Sent> calls_;
    std::vector<Notice> notices_;
    std::map<std::uint64_t, Millis> released_; ///< when the authority was released, by the end
    Millis grantedAt_ = Millis(-1);            ///< the last time at which a process had authority
    int lastId_ = 2;
    int lastSender_ = -1;
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

TEST(Authority, givesNothingWhileTokensOfAProcessThatHasEndedMayBeOnTheirWay)
{
    const Settings settings;
    Partition partition;
    Authority former(settings);
    former.claim(Millis(0));
    run(former, 1, partition, Millis(0));
    Authority next(settings);
    next.claim(Millis(100));
    run(next, 2, partition, Millis(100));
    next.onHolderEnded(partition.end(), Millis(120));
    run(next, 2, partition, Millis(120));
    const auto tenure = next.tenure(Millis(120));
    ASSERT_TRUE(tenure);
    EXPECT_GE(tenure->since_, Millis(120) + settings.grantAge_);
}

TEST(Authority, isNotLostByAHandOverThatComesAfterTheProof)
{
    Partition partition;
    Authority former{Settings()};
    former.claim(Millis(0));
    run(former, 1, partition, Millis(0));
    Authority next{Settings()};
    next.claim(Millis(100));
    run(next, 2, partition, Millis(100));
    const auto end = former.release();
    ASSERT_TRUE(end);
    next.onHolderEnded(*end, Millis(120));
    const auto append = next.due(Millis(120));
    ASSERT_TRUE(append);
    next.claimAfterHandOver(*end, Millis(121));
    next.onResult(*append, partition.append(2, *append), Millis(122));
    run(next, 2, partition, Millis(123));
    EXPECT_TRUE(next.tenure(Millis(123)));
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
    const Millis interval(*rc::gen::element(10, 50));
    Claimants claimants;
    for (Millis now(0); now < Millis(60'000); now = now + interval)
        claimants.step(now);
}
