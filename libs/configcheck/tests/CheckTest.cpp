#include <configcheck/Check.h>

#include <gtest/gtest.h>

#include <algorithm>

#include "RandomDraft.h"
#include <rapidcheck/gtest.h>

namespace {

using configcheck::Draft;
using configcheck::EntryValue;
using configcheck::RetryEntry;
using configcheck::RouteEntry;
using enum configcheck::Severity;

const model::Service wallet{"wallet"};
const model::RequestClass read{"read", "wallet", "GET", "/"};
const model::KeyDigest key = model::KeyDigest::of("k1");

Draft draftOf(const std::vector<EntryValue> &values)
{
    Draft draft;
    for (const auto &value : values)
        draft.entries_.push_back({"#" + std::to_string(draft.entries_.size()), value});
    return draft;
}

RouteEntry route(const std::string &name, const std::string &path = "/x/")
{
    return {"h", {{.name_ = name, .pathPrefix_ = path}, {{"wallet", 1}}, 1, base::Millis(500)}};
}

using Lines = std::vector<std::string>;

Lines linesOf(const Draft &draft)
{
    Lines lines;
    for (const auto &[severity, place, text] : configcheck::check(draft))
        lines.push_back((severity == Error ? "error " : "warning ") + place + ": " + text);
    return lines;
}

/** Findings of a configuration with the service and the values, which are #1, #2 and so on. */
Lines findingsOf(std::vector<EntryValue> values)
{
    values.insert(values.begin(), wallet);
    return linesOf(draftOf(values));
}

TEST(Check, FindsNothingInAValidConfiguration)
{
    const model::Customer school{.name_ = "school", .keys_ = {key}, .allowance_ = {{0.1, 2}}};
    auto draft = draftOf({wallet, read, model::RequestClass{"any", "wallet", "", "/"}, route("a"),
                          route("b", "/y/"), school, RetryEntry{{"read", 2, 0.1}}});
    draft.requiresKeys_ = true;
    EXPECT_EQ(linesOf(draft), Lines{});
}

TEST(Check, FindsEntriesThatCanNeverMatch)
{
    auto hidden = read;
    hidden.name_ = "hidden";
    EXPECT_EQ(findingsOf({read, hidden}),
              Lines{"error #2: has the same service, method and path as #1: one of the two can "
                    "never match"});
    EXPECT_EQ(findingsOf({route("a"), route("b")}),
              Lines{"error #2: has the same host and path as #1: one of the two can never match"});
    EXPECT_EQ(findingsOf({route("a"), route("a", "/y/")}),
              Lines{"error #2: the route \"a\" is given twice, first at #1"});
    auto lost = route("a");
    lost.route_.services_ = {{"other", 1}, {"wallet", 0}};
    EXPECT_EQ(findingsOf({lost}),
              (Lines{"error #1: the service \"other\" does not exist",
                     "warning #1: the service \"wallet\" has a weight of 0 and gets no requests"}));
    EXPECT_EQ(findingsOf({RetryEntry{{"read", 1, 0.1}}}),
              Lines{"error #1: the class \"read\" does not exist"});
}

TEST(Check, FindsLimitsThatContradictEachOther)
{
    auto impossible = route("a");
    impossible.route_.class_.deadline_ = base::Millis(400);
    impossible.route_.class_.rank_ = 10;
    impossible.route_.services_ = {{"wallet", 0}};
    impossible.route_.maxAttempts_ = 0;
    EXPECT_EQ(findingsOf({impossible}),
              (Lines{"error #1: the weights of its services sum to 0",
                     "error #1: the rank 10 is not 0 to 9",
                     "warning #1: the deadline of 400 ms is below the target latency of 500 ms",
                     "error #1: allows no attempt; the number of attempts must be 1 or more"}));
    auto once = read;
    once.idempotent_ = false;
    EXPECT_EQ(findingsOf({once, RetryEntry{{"read", 1, 0.1}}}),
              Lines{"error #2: allows retries of the class \"read\", whose requests run at most "
                    "once"});
    EXPECT_EQ(findingsOf({once, RetryEntry{{"read", 1, 0.1}, true}}), Lines{});
    EXPECT_EQ(findingsOf({model::Customer{.name_ = "small", .allowance_ = {{0.1, 0.4}}}}),
              Lines{"error #1: the allowance is less than one request in 5000 ms, so that all may "
                    "be refused"});
}

TEST(Check, FindsABurstThatHoldsNoRequest)
{
    EXPECT_EQ(
            findingsOf({model::Customer{.name_ = "none", .allowance_ = {{0.3, 0}}},
                        model::Customer{.name_ = "half", .allowance_ = {{0.5, 0}}},
                        model::Customer{.name_ = "quick", .allowance_ = {{5, 0}}}}),
            (Lines{"warning #1: the burst of 0 has no room for one request: all are refused unless "
                   "the settings tolerate an excess",
                   "warning #2: the burst of 0 has no room for two requests: only 50 % of the rate "
                   "is admitted unless the settings tolerate an excess"}));
}

TEST(Check, FindsALimitOfOneInstanceAboveAllThatIsAdmitted)
{
    const auto customer = [](std::uint32_t maxConcurrent) {
        return model::Customer{
                .name_ = "c", .maxConcurrent_ = maxConcurrent, .allowance_ = {{10, 20}}};
    };
    EXPECT_EQ(findingsOf({customer(70)}), Lines{});
    EXPECT_EQ(findingsOf({customer(71)}),
              Lines{"warning #1: the limit of 71 concurrent requests is never reached: the "
                    "allowance admits 70 in 5000 ms"});
    auto slow = read;
    slow.deadline_ = base::Millis(6000);
    EXPECT_EQ(findingsOf({customer(71), slow}), Lines{}) << "that is counted for a deadline";
}

TEST(Check, FindsKeysThatContradictEachOther)
{
    EXPECT_EQ(findingsOf({model::Customer{.name_ = "a", .keys_ = {model::KeyDigest::of("")}}}),
              Lines{"error #1: holds an empty key, which no request can carry"});
    const auto start = key.text().substr(0, 12);
    EXPECT_EQ(findingsOf({model::Customer{.name_ = "one", .keys_ = {key, key}},
                          model::Customer{.name_ = "two", .keys_ = {key}}}),
              (Lines{"warning #1: the key " + start + "... is given twice",
                     "error #2: the key " + start + "... is also held by #1"}));
    auto draft = draftOf({model::Customer{.name_ = "none"}});
    EXPECT_EQ(linesOf(draft), Lines{});
    draft.requiresKeys_ = true;
    EXPECT_EQ(linesOf(draft).size(), 2U);
}

RC_GTEST_PROP(Check, keepsAllFaultsAndShowsNoWholeDigest, ())
{
    auto draft = configcheck::test::randomDraft();
    draft.faults_ = {{Error, "x", "y"}};
    const auto findings = configcheck::check(draft);
    RC_ASSERT(std::ranges::count(findings, draft.faults_.front()) == 1);
    for (const auto &finding : findings) {
        for (const auto *name : {"", "a", "b", "c"})
            RC_ASSERT(finding.text_.find(model::KeyDigest::of(name).text()) == std::string::npos);
    }
}

} // namespace
