#include <dock/AttemptCodec.h>
#include <dock/HeaderNames.h>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

using dock::Attempt;
using dock::AttemptAnswer;

namespace {

/** Header fields of the protocol between daemons, with arbitrary values. */
net::Headers randomFields()
{
    using namespace dock::header;
    net::Headers headers = {{kind, *rc::gen::element<std::string>("run", "ask", "complete",
                                                                  "not-run", "unknown", "")}};
    for (const auto &name : {priority, timeLeftMicros, budget, depth, subKey, settledBelow, level,
                             retryAfterMs, queueingMicros, peerReason, flags}) {
        if (*rc::gen::arbitrary<bool>())
            headers.push_back({name, *rc::gen::arbitrary<std::string>()});
    }
    return headers;
}

} // namespace

RC_GTEST_PROP(AttemptCodec, decodedAttemptIsWithinBoundsOrRejected, ())
{
    const auto attempt = dock::decodeAttempt({.headers_ = randomFields()});
    if (!attempt) {
        RC_ASSERT(attempt.error().code_ == "bad-attempt");
        return;
    }
    RC_ASSERT(attempt->timeLeft_ >= base::Millis(0));
    RC_ASSERT(attempt->timeLeft_ <= base::Millis(3'600'000));
    RC_ASSERT(attempt->budget_ <= 1000U);
    RC_ASSERT(attempt->priority_.rank_ >= 0 && attempt->priority_.rank_ <= 9);
}

RC_GTEST_PROP(AttemptCodec, decodedAnswerIsWithinBoundsOrRejected, ())
{
    const auto answer = dock::decodeAnswer({.headers_ = randomFields()});
    if (!answer) {
        RC_ASSERT(answer.error().code_ == "bad-answer");
        return;
    }
    RC_ASSERT(answer->budgetLeft_ <= 1000U);
    RC_ASSERT(answer->levels_.instance_ <= admission::Level::all());
    RC_ASSERT(answer->queueing_ >= base::Millis(0));
}

RC_GTEST_PROP(AttemptCodec, attemptRoundTrip, (std::uint32_t budget, std::uint32_t depth))
{
    Attempt attempt{.service_ = "wallet",
                    .requestClass_ = "redeem",
                    .customer_ = "schools",
                    .priority_ = admission::Priority::ofRoot(3, "key"),
                    .timeLeft_ = base::Millis::fromMicros(1'234'567),
                    .budget_ = budget % 1000,
                    .depth_ = depth % 1000,
                    .maxWait_ = base::Millis(12),
                    .completedCalls_ = budget % 3,
                    .subKey_ = once::SubKey{{"home", 7}, 9, {"executor", 8}},
                    .settledBelow_ = 5};
    attempt.request_ = {.method_ = "POST", .target_ = "/r", .headers_ = {{"x", "y"}}, .body_ = "b"};
    const auto decoded = dock::decodeAttempt(dock::encodeAttempt(attempt));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == attempt);
}

TEST(AttemptCodec, queriesAndRecallsRequireASubKey)
{
    for (const auto kind : {dock::AttemptKind::QueryOutcome, dock::AttemptKind::Recall}) {
        Attempt attempt{.kind_ = kind, .timeLeft_ = base::Millis(1000)};
        EXPECT_FALSE(dock::decodeAttempt(dock::encodeAttempt(attempt)));
        attempt.subKey_ = once::SubKey{{"home", 7}, 9, {"executor", 8}};
        const auto decoded = dock::decodeAttempt(dock::encodeAttempt(attempt));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->kind_, kind);
    }
}

TEST(AttemptCodec, answerRoundTrip)
{
    const once::Outcome outcomes[] = {once::NotRun{once::Reason::Overloaded, base::Millis(20)},
                                      once::Unknown{once::Reason::AnswerLost}};
    for (const auto &outcome : outcomes) {
        const AttemptAnswer answer{.outcome_ = outcome,
                                   .levels_ = {admission::Level::none(), admission::Level::all(),
                                               admission::Level::fromNumber(300),
                                               admission::Level::fromNumber(40)},
                                   .completedCalls_ = 7,
                                   .budgetLeft_ = 2,
                                   .queueing_ = base::Millis(3),
                                   .load_ = balance::LoadReport{7, 5, base::Millis(40)},
                                   .isDraining_ = true};
        const auto decoded = dock::decodeAnswer(dock::encodeAnswer(answer));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, answer);
    }
}

// Nothing is added to messages while no service has too few repeats.
TEST(AttemptCodec, defaultsOfRepeatsAreNotSent)
{
    const auto response = dock::encodeAnswer({.outcome_ = once::Unknown{}});
    EXPECT_EQ(net::headerValue(response.headers_, dock::header::level), "1279 1279 1279");
    EXPECT_EQ(net::headerValue(response.headers_, dock::header::completedCalls), "");
    const auto request = dock::encodeAttempt(Attempt());
    EXPECT_EQ(net::headerValue(request.headers_, dock::header::completedCalls), "");
}
