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

TEST(Address, textRoundTrips)
{
    const auto address = Address::parse("127.0.0.1:8080");
    ASSERT_TRUE(address);
    EXPECT_EQ(address->text(), "127.0.0.1:8080");
}

TEST(Address, rejectsInvalidAddresses)
{
    EXPECT_EQ(Address::parse("localhost").error().code_, "bad-address");
    EXPECT_EQ(Address::parse("127.0.0.1:99999").error().code_, "bad-address");
    EXPECT_EQ(Address::parse("host:80").error().code_, "bad-address");
}

namespace {

Config routedConfig()
{
    Config config;
    for (const auto *prefix : {"/", "/a/", "/a/b/"})
        config.routes_["one.example"][prefix].class_.name_ = prefix;
    return config;
}

std::string routeName(const Config &config, std::string_view host, std::string_view path)
{
    const auto *route = config.route(host, path);
    return route != nullptr ? route->class_.name_ : "none";
}

} // namespace

TEST(Route, longestPrefixOfTheHostWins)
{
    const auto config = routedConfig();
    EXPECT_EQ(routeName(config, "one.example", "/a/b/c"), "/a/b/");
    EXPECT_EQ(routeName(config, "one.example", "/a/b"), "/a/");
    EXPECT_EQ(routeName(config, "one.example", "/ab/c"), "/");
    EXPECT_EQ(routeName(config, "two.example", "/a/b/c"), "none");
    EXPECT_EQ(routeName(config, "one.example", ""), "none");
    EXPECT_EQ(routeName(config, "one.example", "a"), "none");
}

TEST(Route, selectsServicesByWeight)
{
    const model::Route route{.services_ = {{"wallet", 90}, {"catalog", 10}}};
    EXPECT_EQ(route.selectService(0), "wallet");
    EXPECT_EQ(route.selectService(0.89), "wallet");
    EXPECT_EQ(route.selectService(0.91), "catalog");
    EXPECT_EQ(route.selectService(0.999), "catalog");
    EXPECT_EQ((model::Route{.services_ = {{"wallet", 0}, {"catalog", 1}}}.selectService(0)),
              "catalog");
}

TEST(Config, aKeyStaysWithTheCustomerThatHoldsIt)
{
    model::Config config;
    const auto key = model::KeyDigest::of("k");
    config.addCustomer({.name_ = "first", .keys_ = {key}});
    config.addCustomer({.name_ = "second", .keys_ = {key}});
    EXPECT_TRUE(config.requiresKeys_);
    EXPECT_EQ(config.customerOf(key)->name_, "first");
    config.addCustomer({.name_ = "second"});
    EXPECT_EQ(config.customerOf(key)->name_, "first");
    config.addCustomer({.name_ = "first"});
    EXPECT_EQ(config.customerOf(key), nullptr);
}
