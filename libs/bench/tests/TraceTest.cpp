#include <bench/ExpectedOutcomes.h>
#include <bench/TraceLine.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using base::Millis;
using bench::ExpectedOutcomes;
using bench::RequestOutcome;
using bench::TraceLine;

RC_GTEST_PROP(TraceLine, parseInvertsText, (std::uint16_t at, std::uint8_t work, bool once))
{
    const TraceLine line{Millis(at),
                         "POST",
                         "redeem",
                         "/redemptions",
                         "redemption",
                         once ? "north" : "",
                         Millis(2000),
                         once ? "k1" : "",
                         work == 0 ? std::map<std::string, Millis>{}
                                   : std::map<std::string, Millis>{{"redeem", Millis(work)},
                                                                   {"wallet", Millis(1)}}};
    RC_ASSERT(TraceLine::parse(line.text()).value() == line);
}

RC_GTEST_PROP(TraceLine, parseHandlesArbitraryText, (const std::string &text))
{
    if (const auto line = TraceLine::parse(text); line) {
        RC_ASSERT(TraceLine::parse(line->text()).value() == *line);
    }
}

TEST(TraceLine, errorNamesInvalidLine)
{
    const std::string good = "0 GET a /x c - 100 - a:5\n";
    EXPECT_EQ(TraceLine::parseAll("# comment\n\n" + good + good)->size(), 2U);
    for (const std::string bad :
         {"0 GET a /x c - 100 -", "0 GET a /x c - 100 - a:5 more", "x GET a /x c - 100 - a:5",
          "0 GET a /x c - -1 - a:5", "0 GET a /x c - 100 - a", "0 GET a /x c - 100 - :5"}) {
        const auto lines = TraceLine::parseAll(good + bad);
        ASSERT_FALSE(lines) << bad;
        EXPECT_NE(lines.error().message_.find("line 2"), std::string::npos);
    }
}

TEST(ExpectedOutcomes, reportsOutcomesOutsideBounds)
{
    const auto expected = ExpectedOutcomes::parse(
            "note: n\nregion: r\ndataCentres: [a]\n"
            "services: [{name: s, instances: 1, slots: 1, connections: 1}]\n"
            "outcomes: {bid: {complete: {min: 0.9}, unknown: {max: 0}}, view: {wrong: {max: 0}}}");
    ASSERT_TRUE(expected) << expected.error().message_;
    const std::vector<RequestOutcome> allComplete(10, RequestOutcome::Complete);
    std::vector<RequestOutcome> oneUnknown = allComplete;
    oneUnknown[3] = RequestOutcome::Unknown;
    EXPECT_TRUE(expected->deviations({{"bid", allComplete}, {"view", oneUnknown}}).empty());
    EXPECT_EQ(expected->deviations({{"bid", oneUnknown}, {"view", allComplete}}).size(), 1U);
    EXPECT_EQ(expected->deviations({{"bid", allComplete}}).size(), 1U);
    EXPECT_EQ(expected->deviations(
                              {{"bid", allComplete}, {"view", allComplete}, {"new", allComplete}})
                      .size(),
              1U);
}

TEST(ExpectedOutcomes, outcomesHaveStableNames)
{
    EXPECT_EQ(bench::outcomeName(RequestOutcome::NotRun), "not-run");
    EXPECT_EQ(bench::outcomeName(RequestOutcome::Wrong), "wrong");
}
