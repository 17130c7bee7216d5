#include <follow/Core.h>

#include <gtest/gtest.h>

using base::Millis;
using follow::Command;
using follow::Core;
using follow::DeliverRecords;
using follow::DutyChanged;
using follow::EvidenceAdvanced;
using follow::Inquire;
using follow::InquiryEnded;
using follow::LogStateChanged;
using follow::PeerAhead;
using follow::PeersChanged;
using follow::ReadEnded;
using follow::ReadFrom;
using follow::ReadNewest;
using follow::RecordsHandled;
using follow::Started;
using follow::TimerExpired;
using follow::WakeAt;
using logclient::KeyedPage;
using logclient::KeyedRecord;

namespace {

const follow::Options options;
const model::Address reader = {"10.0.0.1", 1};

template<typename Wanted>
const Wanted *find(const std::vector<Command> &commands)
{
    for (const auto &command : commands) {
        if (const auto *found = std::get_if<Wanted>(&command))
            return found;
    }
    return nullptr;
}

KeyedPage page(std::vector<KeyedRecord> records, std::uint64_t next, bool hasMore = false)
{
    return {std::move(records), hasMore, next};
}

ReadEnded failed(std::uint64_t read)
{
    return {read, tl::unexpected(logclient::LogError(logclient::NoAnswer{"silent"}))};
}

} // namespace

TEST(FollowCore, readsNewestRecordsThenLongPolls)
{
    Core core(options);
    EXPECT_EQ(core.handle(Started{}, Millis(0)), (std::vector<Command>{ReadNewest{1, ""}}));
    const auto commands = core.handle(ReadEnded{1, page({{"config", "a", 4}}, 6)}, Millis(5));
    EXPECT_EQ(commands, (std::vector<Command>{DeliverRecords{{{"config", "a", 4}}},
                                              ReadFrom{2, 6, options.readWait_}}));
    EXPECT_TRUE(core.isComplete());
    EXPECT_EQ(core.handle(RecordsHandled{}, Millis(6)),
              (std::vector<Command>{EvidenceAdvanced{Millis(0)}}));
    EXPECT_EQ(core.handle(ReadEnded{2, page({}, 6)}, options.readWait_ + Millis(10)),
              (std::vector<Command>{EvidenceAdvanced{Millis(5) + options.readWait_},
                                    ReadFrom{3, 6, options.readWait_}}));
}

// The record may withdraw something, so nothing is confirmed until a later one can be applied.
TEST(FollowCore, nothingIsConfirmedWhileTheNewestRecordCannotBeApplied)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    core.handle(ReadEnded{1, page({{"config", "damaged", 4}}, 6)}, Millis(5));
    EXPECT_EQ(find<EvidenceAdvanced>(core.handle(RecordsHandled{false}, Millis(5))), nullptr);
    const auto next = core.handle(ReadEnded{2, page({}, 6)}, options.readWait_ + Millis(10));
    EXPECT_EQ(find<EvidenceAdvanced>(next), nullptr);
    EXPECT_EQ(core.confirmation(Millis(2000)), std::nullopt);
    EXPECT_EQ(find<ReadFrom>(next)->wait_, options.readWait_) << "reads at the usual pace";
    core.handle(ReadEnded{3, page({{"config", "valid", 6}}, 7)}, Millis(1500));
    EXPECT_NE(find<EvidenceAdvanced>(core.handle(RecordsHandled{true}, Millis(1500))), nullptr);
}

TEST(FollowCore, continuesAtTopicEndOfFirstPage)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    const auto second = core.handle(ReadEnded{1, page({{"a", "1", 3}}, 5, true)}, Millis(0));
    ASSERT_NE(find<ReadNewest>(second), nullptr);
    EXPECT_EQ(find<ReadNewest>(second)->after_, "a");
    EXPECT_FALSE(core.isComplete());
    const auto last = core.handle(ReadEnded{2, page({{"b", "2", 8}}, 9)}, Millis(0));
    ASSERT_NE(find<ReadFrom>(last), nullptr);
    EXPECT_EQ(find<ReadFrom>(last)->offset_, 5U);
}

TEST(FollowCore, failedReadIsRetriedAtSameOffset)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    core.handle(ReadEnded{1, page({}, 7)}, Millis(0));
    const auto commands = core.handle(failed(2), Millis(1000));
    ASSERT_NE(find<WakeAt>(commands), nullptr);
    const auto retryAt = find<WakeAt>(commands)->time_;
    EXPECT_LE(retryAt, Millis(1000) + options.firstRetryDelay_);
    EXPECT_EQ(find<LogStateChanged>(commands)->isReachable_, false);
    const auto retried = core.handle(TimerExpired{}, retryAt);
    ASSERT_NE(find<ReadFrom>(retried), nullptr);
    EXPECT_EQ(find<ReadFrom>(retried)->offset_, 7U);
    const auto again = core.handle(failed(3), Millis(2000));
    EXPECT_EQ(find<LogStateChanged>(again), nullptr);
    ASSERT_NE(find<WakeAt>(again), nullptr);
    core.handle(TimerExpired{}, find<WakeAt>(again)->time_);
    const auto regained = core.handle(ReadEnded{4, page({}, 7)}, Millis(3000));
    ASSERT_NE(find<LogStateChanged>(regained), nullptr);
    EXPECT_EQ(find<LogStateChanged>(regained)->isReachable_, true);
}

TEST(FollowCore, timerThatExpiresEarlyIsRequestedAgain)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    const auto wake = core.handle(failed(1), Millis(0));
    ASSERT_NE(find<WakeAt>(wake), nullptr);
    const auto retryAt = find<WakeAt>(wake)->time_;
    EXPECT_EQ(core.handle(TimerExpired{}, retryAt - Millis(1)),
              (std::vector<Command>{WakeAt{retryAt}}));
}

TEST(FollowCore, trimmedRecordsRestartReading)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    core.handle(ReadEnded{1, page({}, 7)}, Millis(0));
    const ReadEnded trimmed{2, tl::unexpected(logclient::LogError(logclient::Trimmed{9, 9}))};
    EXPECT_EQ(core.handle(trimmed, Millis(0)), (std::vector<Command>{ReadNewest{3, ""}}));
}

TEST(FollowCore, peerAheadAbandonsOutstandingRead)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    core.handle(ReadEnded{1, page({}, 7)}, Millis(0));
    EXPECT_EQ(core.handle(PeerAhead{}, Millis(0)), (std::vector<Command>{ReadNewest{3, ""}}));
    EXPECT_TRUE(core.handle(ReadEnded{2, page({{"config", "old", 7}}, 8)}, Millis(0)).empty());
    EXPECT_TRUE(core.handle(TimerExpired{}, Millis(0)).empty());
}

TEST(FollowCore, emptyPageWithMoreFlagEndsPaging)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    EXPECT_NE(find<ReadFrom>(core.handle(ReadEnded{1, page({}, 2, true)}, Millis(0))), nullptr);
}

// The evidence of a read that returned a record is as old as its start.
TEST(FollowCore, readAfterARecordDoesNotWait)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    core.handle(ReadEnded{1, page({}, 6)}, Millis(0));
    const auto commands =
            core.handle(ReadEnded{2, page({{"config", "b", 6}}, 7)}, options.readWait_);
    ASSERT_NE(find<ReadFrom>(commands), nullptr);
    EXPECT_EQ(*find<ReadFrom>(commands), (ReadFrom{3, 7, Millis(0)}));
}

TEST(FollowCore, doesNotReadWhileAReaderConfirms)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    core.handle(ReadEnded{1, page({}, 6)}, Millis(0));
    auto commands = core.handle(PeersChanged{{{reader}, 2}}, Millis(100));
    // It reads on until the first confirmation.
    EXPECT_EQ(find<ReadFrom>(commands), nullptr);
    ASSERT_NE(find<Inquire>(commands), nullptr);
    commands = core.handle(InquiryEnded{1, follow::Confirmation{0, Millis(10)}}, Millis(110));
    ASSERT_NE(find<DutyChanged>(commands), nullptr);
    EXPECT_FALSE(find<DutyChanged>(commands)->isReading_);
    EXPECT_EQ(find<ReadFrom>(core.handle(ReadEnded{2, page({}, 6)}, options.readWait_)), nullptr);
}

TEST(FollowCore, readsForItselfWhenNobodyConfirms)
{
    Core core(options);
    core.handle(Started{}, Millis(0));
    core.handle(PeersChanged{{{reader}, 2}}, Millis(0));
    core.handle(ReadEnded{1, page({}, 6)}, Millis(0));
    core.handle(InquiryEnded{1, follow::Confirmation{0, Millis(0)}}, Millis(0));
    core.handle(ReadEnded{2, page({}, 6)}, options.readWait_);
    auto now = options.readWait_;
    std::vector<Command> commands;
    for (; find<ReadFrom>(commands) == nullptr && now < Millis(3000); now = now + Millis(10))
        commands = core.handle(TimerExpired{}, now);
    ASSERT_NE(find<ReadFrom>(commands), nullptr);
    EXPECT_EQ(find<ReadFrom>(commands)->wait_, Millis(0));
    EXPECT_LE(now, options.readWait_ + options.maxAge_ + options.lastInquiry_ + Millis(20));
    ASSERT_NE(find<DutyChanged>(commands), nullptr);
    EXPECT_FALSE(find<DutyChanged>(commands)->isElected_);
}
