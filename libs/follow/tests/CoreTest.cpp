#include <follow/Core.h>

#include <gtest/gtest.h>

using follow::Command;
using follow::Core;
using follow::DeliverRecords;
using follow::LogStateChanged;
using follow::PeerAhead;
using follow::PeerNotifications;
using follow::ReadDue;
using follow::ReadEnded;
using follow::ReadFrom;
using follow::ReadNewest;
using follow::ScheduleRead;
using follow::Started;
using logclient::KeyedPage;
using logclient::KeyedRecord;

namespace {

const follow::Options options;

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
    EXPECT_EQ(core.handle(Started{}), (std::vector<Command>{ReadNewest{1, ""}}));
    const auto commands = core.handle(ReadEnded{1, page({{"config", "a", 4}}, 6)});
    EXPECT_EQ(commands, (std::vector<Command>{DeliverRecords{{{"config", "a", 4}}},
                                              ReadFrom{2, 6, options.longPollTimeout_}}));
    EXPECT_TRUE(core.isComplete());
    EXPECT_EQ(core.handle(ReadEnded{2, page({}, 6)}),
              (std::vector<Command>{ReadFrom{3, 6, options.longPollTimeout_}}));
}

TEST(FollowCore, continuesAtTopicEndOfFirstPage)
{
    Core core(options);
    core.handle(Started{});
    const auto second = core.handle(ReadEnded{1, page({{"a", "1", 3}}, 5, true)});
    ASSERT_NE(find<ReadNewest>(second), nullptr);
    EXPECT_EQ(find<ReadNewest>(second)->after_, "a");
    EXPECT_FALSE(core.isComplete());
    const auto last = core.handle(ReadEnded{2, page({{"b", "2", 8}}, 9)});
    ASSERT_NE(find<ReadFrom>(last), nullptr);
    EXPECT_EQ(find<ReadFrom>(last)->offset_, 5U);
}

TEST(FollowCore, failedReadIsRetriedAtSameOffset)
{
    Core core(options);
    core.handle(Started{});
    core.handle(ReadEnded{1, page({}, 7)});
    const auto commands = core.handle(failed(2));
    ASSERT_NE(find<ScheduleRead>(commands), nullptr);
    EXPECT_LE(find<ScheduleRead>(commands)->delay_, options.firstRetryDelay_);
    EXPECT_EQ(find<LogStateChanged>(commands)->isReachable_, false);
    const auto retried = core.handle(ReadDue{2});
    ASSERT_NE(find<ReadFrom>(retried), nullptr);
    EXPECT_EQ(find<ReadFrom>(retried)->offset_, 7U);
    EXPECT_EQ(find<LogStateChanged>(core.handle(failed(3))), nullptr);
    core.handle(ReadDue{3});
    EXPECT_EQ(find<LogStateChanged>(core.handle(ReadEnded{4, page({}, 7)}))->isReachable_, true);
}

TEST(FollowCore, trimmedRecordsRestartReading)
{
    Core core(options);
    core.handle(Started{});
    core.handle(ReadEnded{1, page({}, 7)});
    const ReadEnded trimmed{2, tl::unexpected(logclient::LogError(logclient::Trimmed{9, 9}))};
    EXPECT_EQ(core.handle(trimmed), (std::vector<Command>{ReadNewest{3, ""}}));
}

TEST(FollowCore, peerAheadAbandonsOutstandingRead)
{
    Core core(options);
    core.handle(Started{});
    core.handle(ReadEnded{1, page({}, 7)});
    EXPECT_EQ(core.handle(PeerAhead{}), (std::vector<Command>{ReadNewest{3, ""}}));
    EXPECT_TRUE(core.handle(ReadEnded{2, page({{"config", "old", 7}}, 8)}).empty());
    EXPECT_TRUE(core.handle(ReadDue{2}).empty());
}

TEST(FollowCore, emptyPageWithMoreFlagEndsPaging)
{
    Core core(options);
    core.handle(Started{});
    EXPECT_NE(find<ReadFrom>(core.handle(ReadEnded{1, page({}, 2, true)})), nullptr);
}

TEST(FollowCore, pollsAtLongIntervalsWhileNotified)
{
    Core core(options);
    core.handle(Started{});
    core.handle(PeerNotifications{true});
    // The first read continues, as no notification may have arrived yet.
    const auto commands = core.handle(ReadEnded{1, page({{"config", "a", 4}}, 6)});
    EXPECT_EQ(commands, (std::vector<Command>{DeliverRecords{{{"config", "a", 4}}},
                                              ScheduleRead{2, options.notifiedReadInterval_}}));
    EXPECT_EQ(core.handle(ReadDue{2}), (std::vector<Command>{ReadFrom{3, 6, base::Millis(0)}}));
    EXPECT_EQ(core.handle(ReadEnded{3, page({}, 6)}),
              (std::vector<Command>{ScheduleRead{4, options.notifiedReadInterval_}}));
}

TEST(FollowCore, resumesLongPollWhenNotificationsEnd)
{
    Core core(options);
    core.handle(Started{});
    core.handle(ReadEnded{1, page({}, 6)});
    EXPECT_EQ(core.handle(PeerNotifications{true}),
              (std::vector<Command>{ScheduleRead{3, options.notifiedReadInterval_}}));
    // The result of the abandoned read is ignored.
    EXPECT_TRUE(core.handle(ReadEnded{2, page({}, 6)}).empty());
    EXPECT_EQ(core.handle(PeerNotifications{false}),
              (std::vector<Command>{ReadFrom{4, 6, options.longPollTimeout_}}));
    EXPECT_TRUE(core.handle(ReadDue{3}).empty());
}
