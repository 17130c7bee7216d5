#include <bench/Echo.h>

#include <gtest/gtest.h>

namespace {

net::HttpRequest request(const std::string &id, const std::string &body)
{
    return {"POST", "/", {{"bench-request-id", id}, {"Bench-Answer-Bytes", "100"}}, body};
}

} // namespace

TEST(Echo, rejectsCutForeignAndStaleAnswers)
{
    const net::HttpRequest mine = request("7", "payload");
    const net::HttpResponse answer = bench::echoAnswer(mine);
    EXPECT_TRUE(bench::isEchoOf(mine, answer));

    net::HttpResponse cut = answer;
    cut.body_.pop_back();
    EXPECT_FALSE(bench::isEchoOf(mine, cut));
    EXPECT_FALSE(bench::isEchoOf(mine, bench::echoAnswer(request("8", "payload"))));
    EXPECT_FALSE(bench::isEchoOf(mine, bench::echoAnswer(request("7", "other"))));
    EXPECT_FALSE(bench::isEchoOf(mine, net::HttpResponse{}));
}
