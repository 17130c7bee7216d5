#include <configcheck/Compare.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "RandomDraft.h"
#include <configcheck/Draft.h>
#include <rapidcheck/gtest.h>

namespace {

using configcheck::Difference;
using configcheck::EntryValue;
using configcheck::RouteEntry;
using enum Difference::Kind;
using Differences = std::vector<Difference>;

Differences changesOf(const EntryValue &before, const EntryValue &after)
{
    return configcheck::compare({.entries_ = {{"", before}}}, {.entries_ = {{"", after}}});
}

TEST(Compare, MarksWhatMayRefuseCallers)
{
    const RouteEntry before{"h",
                            {{.name_ = "a", .pathPrefix_ = "/"}, {{"s", 1}}, 2, base::Millis(5)}};
    auto after = before;
    after.route_.class_.deadline_ = base::Millis(700);
    after.route_.services_ = {{"s", 9}, {"t", 1}};
    const std::string title = "route \"h/\"";
    EXPECT_EQ(changesOf(before, after),
              (Differences{{Changed, title, "services", "s 1", "s 9, t 1", false},
                           {Changed, title, "deadline", "1000 ms", "700 ms", true}}));
    EXPECT_FALSE(changesOf(after, before).back().mayRefuseCallers_);
    EXPECT_EQ(configcheck::compare({.entries_ = {{"", before}}}, {}),
              (Differences{{Withdrawn, title, "", "", "", true}}));
    EXPECT_EQ(configcheck::compare({}, {.entries_ = {{"", before}}}),
              (Differences{{Added, title, "", "", "", false}}));
    EXPECT_EQ(configcheck::compare({}, {.requiresKeys_ = true}),
              (Differences{{Changed, "configuration", "needs keys", "no", "yes", true}}));
}

TEST(Compare, MarksLoweredAllowances)
{
    model::Customer none{.name_ = "c"};
    model::Customer low = none;
    low.allowance_ = {2, 10};
    model::Customer high = none;
    high.allowance_ = {2.5, 10};
    const std::string title = "customer \"c\"";
    EXPECT_EQ(changesOf(high, low), (Differences{{Changed, title, "rate", "2.5 requests a second",
                                                  "2 requests a second", true}}));
    EXPECT_FALSE(changesOf(low, high).front().mayRefuseCallers_);
    EXPECT_FALSE(changesOf(low, none).front().mayRefuseCallers_);
    EXPECT_EQ(changesOf(none, low),
              (Differences{{Changed, title, "rate", "no limit", "2 requests a second", true},
                           {Changed, title, "burst", "no limit", "10 requests", true}}));
}

TEST(Compare, MarksKeysThatNobodyHoldsAnyMore)
{
    const auto first = model::KeyDigest::of("1");
    const auto second = model::KeyDigest::of("2");
    const model::Customer before{.name_ = "c", .keys_ = {first}};
    const model::Customer after{.name_ = "c", .keys_ = {second}};
    const auto text = [](const auto &key) {
        return key.text().substr(0, 12) + "...";
    };
    const std::string title = "customer \"c\"";
    EXPECT_EQ(changesOf(before, after),
              (Differences{{Withdrawn, title, "key", text(first), "", true},
                           {Added, title, "key", "", text(second), false}}));
    const model::Customer renamed{.name_ = "d", .keys_ = {first}};
    EXPECT_FALSE(changesOf(before, renamed).front().mayRefuseCallers_);
}

RC_GTEST_PROP(Compare, findsNothingBetweenEqualEntriesInAnyOrder, ())
{
    auto draft = configcheck::test::randomDraft();
    RC_ASSERT(configcheck::compare(draft, draft).empty());
    // Of entries with one identity the first is compared, so only single ones may change places.
    std::set<std::size_t> kinds;
    std::erase_if(draft.entries_,
                  [&](const auto &entry) { return !kinds.insert(entry.value_.index()).second; });
    auto reversed = draft;
    std::ranges::reverse(reversed.entries_);
    RC_ASSERT(configcheck::compare(draft, reversed).empty());
}

RC_GTEST_PROP(Compare, reversesIntoAsManyDifferences, ())
{
    const auto before = configcheck::test::randomDraft();
    const auto after = configcheck::test::randomDraft();
    RC_ASSERT(configcheck::compare(before, after).size()
              == configcheck::compare(after, before).size());
}

} // namespace
