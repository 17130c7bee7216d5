#include <bench/Echo.h>

#include <gtest/gtest.h>

namespace {

net::HttpRequest request(const std::string &id, const std::string &body)
{
    return {"POST", "/", {{"bench-request-id", id}, {"Bench-Answer-Bytes", "100"}}, body};
}

} // namespace

TEST(Echo, rejectsTruncatedAndMismatchedAnswers)
{
    const net::HttpRequest sent = request("7", "payload");
    const net::HttpResponse answer = bench::echoAnswer(sent);
    EXPECT_TRUE(bench::isEchoOf(sent, answer));

    net::HttpResponse truncated = answer;
    truncated.body_.pop_back();
    EXPECT_FALSE(bench::isEchoOf(sent, truncated));
    EXPECT_FALSE(bench::isEchoOf(sent, bench::echoAnswer(request("8", "payload"))));
    EXPECT_FALSE(bench::isEchoOf(sent, bench::echoAnswer(request("7", "other"))));
    EXPECT_FALSE(bench::isEchoOf(sent, net::HttpResponse{}));
}
