#include <bench/TraceLine.h>

#include <charconv>
#include <sstream>

namespace bench {

namespace {

constexpr std::string_view emptyPlaceholder = "-";

base::Result<base::Millis> parseMillis(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0) {
        return base::fail("bad-trace", "expected a time in ms, got \"" + std::string(text) + "\"");
    }
    return base::Millis(value);
}

std::string placeholderIfEmpty(const std::string &text)
{
    return text.empty() ? std::string(emptyPlaceholder) : text;
}

std::string emptyIfPlaceholder(const std::string &text)
{
    return text == emptyPlaceholder ? "" : text;
}

} // namespace

std::string serviceTimesText(const std::map<std::string, base::Millis> &work)
{
    std::string text;
    for (const auto &[service, time] : work) {
        text += (text.empty() ? "" : ",") + service + ":" + std::to_string(time.count());
    }
    return placeholderIfEmpty(text);
}

base::Result<std::map<std::string, base::Millis>> parseServiceTimes(std::string_view text)
{
    std::map<std::string, base::Millis> work;
    std::istringstream stream(emptyIfPlaceholder(std::string(text)));
    for (std::string part; std::getline(stream, part, ',');) {
        const auto colon = part.find(':');
        const auto time = parseMillis(
                colon == std::string::npos ? "" : std::string_view(part).substr(colon + 1));
        if (!time || colon == 0) {
            return base::fail("bad-work", "expected SERVICE:MS, got \"" + part + "\"");
        }
        work[part.substr(0, colon)] = *time;
    }
    return work;
}

base::Result<TraceLine> TraceLine::parse(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    TraceLine line;
    std::string at;
    std::string deadline;
    std::string work;
    std::string rest;
    stream >> at >> line.method_ >> line.service_ >> line.path_ >> line.class_ >> line.customer_
            >> deadline >> line.keyGroup_ >> work;
    if (!stream || stream >> rest) {
        return base::fail("bad-trace", "expected 9 fields");
    }
    const auto atTime = parseMillis(at);
    const auto deadlineTime = parseMillis(deadline);
    auto workTimes = parseServiceTimes(work);
    if (!atTime || !deadlineTime) {
        return tl::unexpected(atTime ? deadlineTime.error() : atTime.error());
    }
    if (!workTimes) {
        return tl::unexpected(workTimes.error());
    }
    line.sendOffset_ = *atTime;
    line.deadline_ = *deadlineTime;
    line.customer_ = emptyIfPlaceholder(line.customer_);
    line.keyGroup_ = emptyIfPlaceholder(line.keyGroup_);
    line.serviceTimes_ = std::move(*workTimes);
    return line;
}

base::Result<std::vector<TraceLine>> TraceLine::parseAll(const std::string &text)
{
    std::vector<TraceLine> lines;
    std::istringstream stream(text);
    std::size_t number = 0;
    for (std::string part; std::getline(stream, part);) {
        ++number;
        if (part.empty() || part.front() == '#') {
            continue;
        }
        auto line = parse(part);
        if (!line) {
            return base::fail("bad-trace",
                              "line " + std::to_string(number) + ": " + line.error().message_);
        }
        lines.push_back(std::move(*line));
    }
    return lines;
}

std::string TraceLine::text() const
{
    return std::to_string(sendOffset_.count()) + " " + method_ + " " + service_ + " " + path_ + " "
           + class_ + " " + placeholderIfEmpty(customer_) + " " + std::to_string(deadline_.count())
           + " " + placeholderIfEmpty(keyGroup_) + " " + serviceTimesText(serviceTimes_);
}

} // namespace bench
