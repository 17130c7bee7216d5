#include <bench/LogStore.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using base::Millis;
using bench::LogPage;
using bench::LogRetention;
using bench::LogStore;

RC_GTEST_PROP(LogStore, retainsNewestRecordsWithTheirOffsets,
              (std::uint8_t count, std::uint8_t kept))
{
    const std::size_t limit = kept + 1U;
    LogStore store(LogRetention{limit, Millis::max()});
    for (std::size_t i = 0; i < count; ++i) {
        RC_ASSERT(store.append("s", std::to_string(i), Millis(0)) == i);
    }
    const std::size_t first = count > limit ? count - limit : 0;
    const LogPage page = store.read("s", first, 1000);
    RC_ASSERT(page.firstOffset_ == first);
    RC_ASSERT(page.nextOffset_ == count);
    RC_ASSERT(page.records_.size() == count - first);
    for (const auto &record : page.records_) {
        RC_ASSERT(record.data_ == std::to_string(record.offset_));
    }
    if (first > 0) {
        RC_ASSERT(store.read("s", first - 1, 1000).trimmed_);
    }
}

TEST(LogStore, offsetsContinueAfterAllRecordsExpire)
{
    LogStore store(LogRetention{100, Millis(1000)});
    store.append("s", "a", Millis(0));
    store.expire(Millis(1001));
    EXPECT_EQ(store.append("s", "b", Millis(1001)), 1U);
    EXPECT_TRUE(store.read("s", 0, 10).trimmed_);
}

TEST(LogStore, trimStopsAtNextOffset)
{
    LogStore store(LogRetention{});
    store.append("s", "a", Millis(0));
    store.trim("s", 50);
    EXPECT_EQ(store.read("s", 1, 10), (LogPage{{}, 1, 1, false}));
}
