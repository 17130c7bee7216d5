#include "AllotterAnnouncement.h"

#include <charconv>
#include <string_view>

#include <allowance/Group.h>
#include <dock/HeaderNames.h>

namespace dock::details {

namespace {

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = error == std::errc() && rest == text.data() + text.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

} // namespace

// The end is in a header, as earlier versions take all of the body after the group for the id.
net::HttpRequest AllotterAnnouncement::encode() const
{
    net::HttpRequest request{.method_ = "POST",
                             .target_ = "/",
                             .headers_ = {{header::kind, kind}},
                             .body_ = std::to_string(group_) + " " + id_};
    if (end_)
        request.headers_.push_back({header::partitionEnd, std::to_string(*end_)});
    return request;
}

std::optional<AllotterAnnouncement> AllotterAnnouncement::parse(const net::HttpRequest &request)
{
    const std::string_view body = request.body_;
    const auto space = body.find(' ');
    if (space == std::string_view::npos || space + 1 == body.size())
        return std::nullopt;
    const auto group = parseNumber<std::uint32_t>(body.substr(0, space));
    if (!group || *group >= allowance::groupCount)
        return std::nullopt;
    return AllotterAnnouncement{
            *group, std::string(body.substr(space + 1)),
            parseNumber<std::uint64_t>(net::headerValue(request.headers_, header::partitionEnd))};
}

} // namespace dock::details
