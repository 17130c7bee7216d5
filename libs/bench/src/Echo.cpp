#include <bench/Echo.h>

#include <algorithm>
#include <charconv>

#include <base/Hash.h>

namespace bench {

namespace {

constexpr std::size_t maxAnswerBytes = 16UL * 1024 * 1024;

std::size_t answerLength(const net::HttpRequest &request)
{
    const auto text = net::headerValue(request.headers_, echo::answerBytes);
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return std::min(length, maxAnswerBytes);
}

} // namespace

std::string echoBody(std::string_view id, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + id.size() + 1);
    while (body.size() < bytes) {
        body += id;
        body += '|';
    }
    body.resize(bytes);
    return body;
}

std::string bodyHash(std::string_view body)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t value = base::hash64(body);
    std::string text(2 * sizeof value, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[value & 0xF];
        value >>= 4;
    }
    return text;
}

net::HttpResponse echoAnswer(const net::HttpRequest &request)
{
    const std::string id(net::headerValue(request.headers_, echo::requestId));
    net::HttpResponse response;
    response.headers_.push_back({std::string(echo::requestId), id});
    response.headers_.push_back({std::string(echo::requestHash), bodyHash(request.body_)});
    response.body_ = echoBody(id, answerLength(request));
    return response;
}

bool isEchoOf(const net::HttpRequest &request, const net::HttpResponse &response)
{
    const net::HttpResponse expected = echoAnswer(request);
    for (const net::Header &header : expected.headers_) {
        if (net::headerValue(response.headers_, header.name_) != header.value_) {
            return false;
        }
    }
    return response.body_ == expected.body_;
}

} // namespace bench
