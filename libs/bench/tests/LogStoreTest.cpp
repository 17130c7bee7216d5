#include <bench/LogStore.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using base::Millis;
using bench::LogPage;
using bench::LogRetention;
using bench::LogStore;

RC_GTEST_PROP(LogStore, keepsTheNewestRecordsWithTheirOffsets,
              (std::uint8_t count, std::uint8_t kept))
{
    const std::size_t limit = kept + 1U;
    LogStore store(LogRetention{limit, Millis::max()});
    for (std::size_t i = 0; i < count; ++i) {
        RC_ASSERT(store.append("s", std::to_string(i), Millis(0)) == i);
    }
    const std::size_t first = count > limit ? count - limit : 0;
    const LogPage page = store.page("s", first, 1000);
    RC_ASSERT(page.first_ == first);
    RC_ASSERT(page.next_ == count);
    RC_ASSERT(page.records_.size() == count - first);
    for (const auto &record : page.records_) {
        RC_ASSERT(record.data_ == std::to_string(record.offset_));
    }
    if (first > 0) {
        RC_ASSERT(store.page("s", first - 1, 1000).trimmed_);
    }
}

TEST(LogStore, offsetsGoOnAfterAllRecordsExpired)
{
    LogStore store(LogRetention{100, Millis(1000)});
    store.append("s", "a", Millis(0));
    store.expire(Millis(1001));
    EXPECT_EQ(store.append("s", "b", Millis(1001)), 1U);
    EXPECT_TRUE(store.page("s", 0, 10).trimmed_);
}

TEST(LogStore, trimNeverPassesTheEnd)
{
    LogStore store(LogRetention{});
    store.append("s", "a", Millis(0));
    store.trim("s", 50);
    EXPECT_EQ(store.page("s", 1, 10), (LogPage{{}, 1, 1, false}));
}
