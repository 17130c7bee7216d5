#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <logclient/Backoff.h>
#include <logclient/HttpLogClient.h>
#include <logclient/TokenBucket.h>

namespace {

using namespace logclient;

net::CallResult response(int status, std::string body)
{
    return net::HttpResponse{status, {}, std::move(body)};
}

const char *const page = R"({"records":[{"offset":4,"data":"a"},{"offset":6,"data":"b"}],)"
                         R"("first":2,"next":9})";

TEST(LogProtocol, ParsesPagesAndTrimming)
{
    EXPECT_EQ(parseReadResponse(response(200, page), 4), (LogPage{{{4, "a"}, {6, "b"}}, 2, 9}));
    EXPECT_EQ(parseReadResponse(response(410, R"({"first":7,"next":9})"), 4).error(),
              LogError(Trimmed{7, 9}));
    EXPECT_EQ(parseAppendResponse(response(200, R"({"offset":7})")), 7U);
}

TEST(LogProtocol, PossiblyAppendedIsNeverUnavailable)
{
    const auto isNoAnswer = [](const net::CallResult &callResult) {
        const auto result = parseAppendResponse(callResult);
        return !result && std::holds_alternative<NoAnswer>(result.error());
    };
    using net::FailureKind;
    EXPECT_FALSE(isNoAnswer(tl::unexpected(net::Failure{FailureKind::NotSent, ""})));
    EXPECT_TRUE(isNoAnswer(tl::unexpected(net::Failure{FailureKind::Lost, ""})));
    EXPECT_TRUE(isNoAnswer(tl::unexpected(net::Failure{FailureKind::TimedOut, ""})));
    EXPECT_TRUE(isNoAnswer(response(503, "")));
    EXPECT_TRUE(isNoAnswer(response(200, "{}")));
    EXPECT_FALSE(isNoAnswer(response(404, "")));
}

TEST(LogProtocol, RejectsMalformedPages)
{
    const char *const bad[] = {
            "",
            "[]",
            "{}",
            R"({"records":[],"first":0})",
            R"({"records":{},"first":0,"next":1})",
            R"({"records":[{"offset":3,"data":"before the requested offset"}],"first":0,"next":9})",
            R"({"records":[{"offset":9,"data":"past the end"}],"first":0,"next":9})",
            R"({"records":[{"offset":5,"data":"a"},{"offset":5,"data":"b"}],"first":0,"next":9})",
            R"({"records":[{"offset":-5,"data":"a"}],"first":0,"next":9})",
            R"({"records":[{"offset":5,"data":1}],"first":0,"next":9})"};
    for (const auto *body : bad)
        EXPECT_FALSE(parseReadResponse(response(200, body), 4)) << body;
}

RC_GTEST_PROP(LogProtocol, ArbitraryBytesGiveAResult,
              (const std::string &bytes, std::uint64_t seed))
{
    base::Random random(seed);
    (void)parseReadResponse(response(200, bytes), 0);
    (void)parseAppendResponse(response(200, bytes));
    std::string body = page;
    body[random.below(body.size())] = static_cast<char>(random.below(256));
    if (const auto read = parseReadResponse(response(200, body), 4)) {
        for (const auto &record : read->records_)
            RC_ASSERT(record.offset_ >= 4 && record.offset_ < read->next_);
    }
}

RC_GTEST_PROP(Backoff, DelaysDoubleToCapWithJitter, (std::uint64_t seed))
{
    Backoff backoff(base::Millis(100), base::Millis(5000), seed);
    base::Millis bound(100);
    for (int i = 0; i < 12; ++i) {
        const auto delay = backoff.nextDelay();
        RC_ASSERT(delay >= bound / 2 && delay <= bound);
        bound = std::min(bound * 2, base::Millis(5000));
    }
    backoff.reset();
    RC_ASSERT(backoff.nextDelay() <= base::Millis(100));
}

RC_GTEST_PROP(TokenBucket, TakenTokensMatchRate, (std::uint64_t seed))
{
    base::Random random(seed);
    TokenBucket bucket(3, base::Millis(1000));
    base::Millis now(0);
    std::int64_t taken = 0;
    for (int i = 0; i < 200; ++i) {
        now = now + base::Millis(static_cast<std::int64_t>(random.below(700)));
        taken += bucket.take(now) ? 1 : 0;
        RC_ASSERT(taken <= 3 + now.count() / 1000 + 1);
    }
    RC_ASSERT(taken >= now.count() / 1000 - 1);
}

} // namespace
