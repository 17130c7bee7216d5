#include <bench/CallSpec.h>
#include <bench/RequestMix.h>
#include <bench/RequestTarget.h>

#include <gtest/gtest.h>

using bench::CallSpec;
using bench::RequestMix;
using bench::RequestTarget;

TEST(CallSpec, parsesPathPrefixAndOnce)
{
    EXPECT_EQ(CallSpec::parse("/redemptions: wallet POST /debits once").value(),
              (CallSpec{"/redemptions", "wallet", "POST", "/debits", true}));
    EXPECT_EQ(CallSpec::parse("wallet GET /balance").value(),
              (CallSpec{"", "wallet", "GET", "/balance", false}));
    for (const char *text : {"", "wallet", "wallet GET balance", "wallet GET /x twice"}) {
        EXPECT_FALSE(CallSpec::parse(text)) << text;
    }
}

TEST(RequestMix, rejectsUnknownAndMissingFields)
{
    EXPECT_TRUE(RequestMix::parseText("classes: [{name: a, service: s}]"));
    const auto unknown = RequestMix::parseText("classes:\n  - {name: a, service: s, rate: 3}");
    ASSERT_FALSE(unknown);
    EXPECT_NE(unknown.error().message_.find("line 2"), std::string::npos);
    EXPECT_NE(unknown.error().message_.find("rate"), std::string::npos);
    for (const char *text : {"", "classes: []", "classes: [{name: a}]", "classes: [{",
                             "classes: [{name: a, service: s, weight: 0}]"}) {
        EXPECT_FALSE(RequestMix::parseText(text)) << text;
    }
}

TEST(RequestMix, picksByWeight)
{
    const RequestMix mix = RequestMix::parseText("classes: [{name: a, service: s, weight: 3}, "
                                                 "{name: b, service: s, weight: 1}]")
                                   .value();
    base::Random random(1);
    int first = 0;
    for (int i = 0; i < 4000; ++i) {
        first += mix.pick(random) == 0 ? 1 : 0;
    }
    EXPECT_GT(first, 2850); // 3000 expected; five standard deviations are 137
    EXPECT_LT(first, 3150);
}

TEST(RequestTarget, splitsPathAndQuery)
{
    EXPECT_EQ(RequestTarget::parse("/streams/a?from=3&max=4"),
              (RequestTarget{"/streams/a", {{"from", "3"}, {"max", "4"}}}));
    EXPECT_EQ(RequestTarget::parse("/x?flag&"), (RequestTarget{"/x", {{"flag", ""}}}));
    EXPECT_EQ(RequestTarget::parse("/x"), (RequestTarget{"/x", {}}));
}
