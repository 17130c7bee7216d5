#include <model/Address.h>
#include <model/Config.h>

#include <gtest/gtest.h>

using model::Address;
using model::Config;
using model::RequestClass;

namespace {

Config walletConfig()
{
    Config config;
    config.classes_["any"] = {.name_ = "any", .service_ = "wallet", .pathPrefix_ = "/"};
    config.classes_["credit"] = {
            .name_ = "credit", .service_ = "wallet", .method_ = "POST", .pathPrefix_ = "/credit"};
    return config;
}

} // namespace

TEST(Config, longestPrefixWins)
{
    const auto config = walletConfig();
    EXPECT_EQ(config.classify("wallet", "POST", "/credit/7").name_, "credit");
    EXPECT_EQ(config.classify("wallet", "GET", "/credit/7").name_, "any");
}

TEST(Config, unmatchedRequestsGetTheLowestRank)
{
    EXPECT_EQ(walletConfig().classify("redeem", "GET", "/").rank_, RequestClass::lowestRank);
}

TEST(Address, parsesWhatItPrints)
{
    const auto address = Address::parse("127.0.0.1:8080");
    ASSERT_TRUE(address);
    EXPECT_EQ(address->text(), "127.0.0.1:8080");
}

TEST(Address, namesTheFault)
{
    EXPECT_EQ(Address::parse("localhost").error().code_, "bad-address");
    EXPECT_EQ(Address::parse("127.0.0.1:99999").error().code_, "bad-address");
    EXPECT_EQ(Address::parse("host:80").error().code_, "bad-address");
}
